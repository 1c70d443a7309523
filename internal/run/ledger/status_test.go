package ledger_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"

	coreledger "ebonyferry/internal/core/ledger"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/edge/caller"
	"ebonyferry/internal/edge/kvstore"
)

// Statuses with which a handler panics (0, 99, 1000), and those that are written before an implicit 200 (150) or as they are.
var oddStatuses = []int{0, 99, 150, 600, 999, 1000}

// A faulty or older owner may forward a status that no answer has. The call may have run.
func TestForwardedAnswerOfNoFinalStatus(t *testing.T) {
	for _, status := range oddStatuses {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			inBubble(t, func(t *testing.T, ctx context.Context, f *fleet) {
				router := chi.NewRouter()
				router.Post("/node/ledger/call", func(w http.ResponseWriter, _ *http.Request) {
					fmt.Fprintf(w, `{"answer":{"status":%d,"body":"b2s="}}`, status)
				})
				addr := netip.MustParseAddrPort("10.0.1.9:1")
				f.network.Serve("owner", addr, router)
				a := f.startNode(ctx, "a", 1, nil)
				f.updateView(func(v *membership.View) { v.Nodes = []membership.Node{{Name: "owner", Epoch: 1, Addr: addr}} })
				answer, err := a.Call(ctx, booking("k"))
				if !errors.Is(err, caller.ErrOutcomeUnknown) {
					t.Errorf("status %d: got %+v, %v; want %v", status, answer, err, caller.ErrOutcomeUnknown)
				}
			})
		})
	}
}

// An older node may have stored a status that no answer has. The call ran, so it must not run again.
func TestStoredAnswerOfNoFinalStatus(t *testing.T) {
	for _, status := range oddStatuses {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			inBubble(t, func(t *testing.T, ctx context.Context, f *fleet) {
				c := booking("k")
				id := coreledger.NewID(c.Account, c.Service, c.IdempotencyKey)
				head := coreledger.Head{Node: "old", Epoch: 1, Nonce: "n", Records: []coreledger.Record{{
					ID: id, RequestDigest: coreledger.RequestDigest(c.Method, c.Path, c.ContentType, c.Body), State: coreledger.StateDone,
					RunID: "r", IntentAt: time.Now(), Answer: &coreledger.Answer{Status: status, Body: []byte("x")},
				}}}
				store := kvstore.New([]netip.AddrPort{storeAddr}, kvstore.WithHTTPClient(f.network.Client("old")))
				if _, err := store.CompareAndSwap(ctx, coreledger.HeadKey(id.Partition()), 0, coreledger.Encode(head), 0); err != nil {
					t.Fatal(err)
				}
				a := f.startNode(ctx, "a", 1, nil)
				if answer, err := a.Call(ctx, c); !errors.Is(err, caller.ErrOutcomeUnknown) {
					t.Errorf("status %d: got %+v, %v; want %v", status, answer, err, caller.ErrOutcomeUnknown)
				}
				if total, _ := f.service.counts(); total != 0 {
					t.Errorf("status %d: the call ran %d times more, want 0", status, total)
				}
			})
		})
	}
}
