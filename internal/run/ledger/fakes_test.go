// This file defines the fakes of the ledger's tests: a fleet in one process whose nodes share a store.

package ledger_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/edge/caller"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
	"ebonyferry/internal/edge/service"
	fakenode "ebonyferry/internal/fake/node"
	fakeplatform "ebonyferry/internal/fake/platform"
	"ebonyferry/internal/run/ledger"
)

var storeAddr = netip.MustParseAddrPort("10.0.0.1:1")

// fakeBookings is a plain service that counts the runs of each idempotency key.
type fakeBookings struct {
	mu           sync.Mutex
	runs         map[string]int
	unreachable  bool          // connections fail
	loseAnswers  bool          // calls run, but their answers are lost
	answersByKey bool          // FetchOutcome returns the answers of calls that ran
	silentByKey  bool          // FetchOutcome gets no response until its context ends
	delay        time.Duration // of each call
	bodySize     int           // of each answer
	calls        int
}

func (b *fakeBookings) Call(ctx context.Context, _ netip.AddrPort, call service.Call) (service.Answer, error) {
	b.mu.Lock()
	b.calls++
	delay, unreachable := b.delay, b.unreachable
	b.mu.Unlock()
	if unreachable {
		return service.Answer{}, service.ErrNotSent
	}
	time.Sleep(delay)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[call.IdempotencyKey]++
	if b.loseAnswers || ctx.Err() != nil {
		return service.Answer{}, service.ErrOutcomeUnknown
	}
	return b.answer(call.IdempotencyKey), nil
}

func (b *fakeBookings) answer(key string) service.Answer {
	body := make([]byte, b.bodySize)
	return service.Answer{Status: http.StatusCreated, Body: append([]byte(key), body...)}
}

func (b *fakeBookings) FetchOutcome(ctx context.Context, _ netip.AddrPort, key string) (service.Answer, error) {
	if b.silentByKey {
		<-ctx.Done()
		return service.Answer{}, service.ErrOutcomeUnavailable
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.answersByKey {
		return service.Answer{}, service.ErrOutcomeUnavailable
	}
	if b.runs[key] == 0 {
		return service.Answer{}, service.ErrNoSuchKey
	}
	return b.answer(key), nil
}

// counts returns the number of runs, and the largest number of runs of one key.
func (b *fakeBookings) counts() (total, most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.runs {
		total += n
		most = max(most, n)
	}
	return total, most
}

// fleet is a group of nodes with one store and one service.
type fleet struct {
	t       *testing.T
	network *fakenode.Network
	store   *fakeplatform.Server
	service *fakeBookings
	inForce *bundle.InForce
	view    atomic.Pointer[membership.View] // each node fills in Self
}

func newFleet(t *testing.T) *fleet {
	log.SetHandler(discard.New())
	f := &fleet{
		t:       t,
		network: fakenode.NewNetwork(time.Millisecond),
		store:   fakeplatform.New(fakeplatform.WithRates(fakeplatform.Rates{}), fakeplatform.WithCopies(0)),
		service: &fakeBookings{runs: make(map[string]int)},
	}
	f.network.Serve("store", storeAddr, f.store.Handler())
	f.inForce = bundle.NewInForce(bundle.Head{Revision: 1}, bundle.Bundle{
		Servers: []bundle.Server{{ID: "b1", Kind: bundle.KindService, Service: "bookings"}},
	}, bundle.Keys{})
	f.view.Store(&membership.View{StoreFresh: true, SelfLeased: true, LeaseEnd: time.Now().Add(24 * time.Hour)})
	return f
}

// InForce implements ledger.Bundles.
func (f *fleet) InForce() *bundle.InForce { return f.inForce }

// updateView replaces the view of all nodes by a changed copy.
func (f *fleet) updateView(fn func(v *membership.View)) {
	v := *f.view.Load()
	fn(&v)
	f.view.Store(&v)
}

// views returns one node's view of the fleet.
type views struct {
	f    *fleet
	name string
}

func (v views) View() *membership.View {
	view := *v.f.view.Load()
	view.Self = v.name
	return &view
}

// hooks wraps the store and the services of a node and calls onStep before and after each store write and service
// call. A node whose onStep never returns behaves as if killed at that step.
type hooks struct {
	ledger.Store
	ledger.Services
	onStep func(step string)
}

func (h *hooks) CompareAndSwap(ctx context.Context, key string, expected kvstore.Revision, value []byte, lease kvstore.LeaseID) (kvstore.Revision, error) {
	h.onStep("before write")
	rev, err := h.Store.CompareAndSwap(ctx, key, expected, value, lease)
	h.onStep("after write")
	return rev, err
}

func (h *hooks) Call(ctx context.Context, addr netip.AddrPort, call service.Call) (service.Answer, error) {
	h.onStep("before send")
	answer, err := h.Services.Call(ctx, addr, call)
	h.onStep("after send")
	return answer, err
}

// startNode starts a node. onStep may be nil.
func (f *fleet) startNode(ctx context.Context, name string, number int, onStep func(step string), opts ...ledger.Option) *ledger.Manager {
	if onStep == nil {
		onStep = func(string) {}
	}
	client := kvstore.New([]netip.AddrPort{storeAddr}, kvstore.WithHTTPClient(f.network.Client(name)))
	h := &hooks{Store: client, Services: f.service, onStep: onStep}
	peers := node.NewClient(node.Sender{Name: name, Epoch: 1}, node.WithHTTPClient(f.network.Client(name), "http"))
	m := ledger.New(h, h, views{f, name}, f, peers, opts...)
	router := chi.NewRouter()
	m.Mount(router)
	addr := netip.MustParseAddrPort(fmt.Sprintf("10.0.1.%d:1", number))
	f.network.Serve(name, addr, router)
	f.updateView(func(v *membership.View) {
		v.Nodes = append(append([]membership.Node(nil), v.Nodes...), membership.Node{Name: name, Epoch: 1, Addr: addr})
	})
	go m.Run(ctx)
	return m
}

func booking(key string) caller.ServiceCall {
	return caller.ServiceCall{
		Account: "shop", Service: "bookings", Method: http.MethodPost, Path: "/bookings",
		Body: []byte(`{"item":"rope"}`), IdempotencyKey: key,
	}
}
