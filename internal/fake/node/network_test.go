package node

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"
)

type valueKey struct{}

// A handler's context ends with its caller's and carries none of its values.
func TestContextsOfHandlers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewNetwork(time.Millisecond)
		addr := netip.MustParseAddrPort("10.0.0.1:80")
		value := make(chan any, 1)
		ended := make(chan struct{})
		n.Serve("server", addr, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			value <- r.Context().Value(valueKey{})
			<-r.Context().Done()
			close(ended)
		}))
		ctx, cancel := context.WithTimeout(context.WithValue(t.Context(), valueKey{}, "caller's"), time.Second)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/", nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := n.Client("client").Do(r); err == nil {
			t.Error("a call that its caller gave up got an answer")
		}
		if got := <-value; got != nil {
			t.Errorf("value in the handler's context: got %v, want none", got)
		}
		<-ended
	})
}
