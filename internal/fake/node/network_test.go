package node

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-chi/chi/v5"
)

// A handler's context must end with its caller's and must not carry the caller's route context. The router would
// reset that route context while the caller's own router still reads it.
func TestHandlerContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewNetwork(time.Millisecond)
		addr := netip.MustParseAddrPort("10.0.0.1:80")
		route := make(chan *chi.Context, 1)
		ended := make(chan struct{})
		n.Serve("server", addr, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			route <- chi.RouteContext(r.Context())
			<-r.Context().Done()
			close(ended)
		}))
		ctx, cancel := context.WithTimeout(context.WithValue(t.Context(), chi.RouteCtxKey, chi.NewRouteContext()), time.Second)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/", nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := n.Client("client").Do(r); err == nil {
			t.Error("call got an answer after its context timed out")
		}
		if got := <-route; got != nil {
			t.Errorf("route context of the handler: got %v, want none", got)
		}
		<-ended
	})
}
