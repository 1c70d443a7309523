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

// This file defines the fakes of the ledger's tests: a fleet in one process whose nodes share a store.

var storeAddr = netip.MustParseAddrPort("10.0.0.1:1")

// bookings is a plain service that counts its runs by idempotency key.
type bookings struct {
	mu       sync.Mutex
	runs     map[string]int
	notSent  bool          // connections fail
	lose     bool          // calls run and their answers are lost
	askable  bool          // answers by key
	silent   bool          // does not answer when asked by key
	delay    time.Duration // of each call
	bodySize int           // of each answer
	calls    int
}

func (b *bookings) Call(ctx context.Context, _ netip.AddrPort, call service.Call) (service.Answer, error) {
	b.mu.Lock()
	b.calls++
	delay, notSent := b.delay, b.notSent
	b.mu.Unlock()
	if notSent {
		return service.Answer{}, service.ErrNotSent
	}
	time.Sleep(delay)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[call.IdempotencyKey]++
	if b.lose || ctx.Err() != nil {
		return service.Answer{}, service.ErrOutcomeUnknown
	}
	return b.answer(call.IdempotencyKey), nil
}

func (b *bookings) answer(key string) service.Answer {
	body := make([]byte, b.bodySize)
	return service.Answer{Status: http.StatusCreated, Body: append([]byte(key), body...)}
}

func (b *bookings) Ask(ctx context.Context, _ netip.AddrPort, key string) (service.Answer, error) {
	if b.silent {
		<-ctx.Done()
		return service.Answer{}, service.ErrCannotAsk
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.askable {
		return service.Answer{}, service.ErrCannotAsk
	}
	if b.runs[key] == 0 {
		return service.Answer{}, service.ErrNoSuchKey
	}
	return b.answer(key), nil
}

// Returns the number of runs, and the most runs of one key.
func (b *bookings) counts() (total, most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.runs {
		total += n
		most = max(most, n)
	}
	return total, most
}

// fleet is a number of nodes with one store and one service.
type fleet struct {
	t       *testing.T
	network *fakenode.Network
	store   *fakeplatform.Server
	service *bookings
	inForce *bundle.InForce
	view    atomic.Pointer[membership.View] // Self is filled in by each node
}

func newFleet(t *testing.T) *fleet {
	log.SetHandler(discard.New())
	f := &fleet{
		t:       t,
		network: fakenode.NewNetwork(time.Millisecond),
		store:   fakeplatform.New(fakeplatform.WithRates(fakeplatform.Rates{})),
		service: &bookings{runs: make(map[string]int)},
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

// Replaces the view of all nodes.
func (f *fleet) change(fn func(v *membership.View)) {
	v := *f.view.Load()
	fn(&v)
	f.view.Store(&v)
}

// views is the fleet as one node sees it.
type views struct {
	f    *fleet
	name string
}

func (v views) View() *membership.View {
	view := *v.f.view.Load()
	view.Self = v.name
	return &view
}

// hooks are called around a node's calls of the store and of services. A hook that blocks for ever has killed
// the node at this step.
type hooks struct {
	ledger.Store
	ledger.Services
	at func(step string)
}

func (h *hooks) CompareAndSwap(ctx context.Context, key string, expected kvstore.Revision, value []byte, lease kvstore.LeaseID) (kvstore.Revision, error) {
	h.at("before write")
	rev, err := h.Store.CompareAndSwap(ctx, key, expected, value, lease)
	h.at("after write")
	return rev, err
}

func (h *hooks) Call(ctx context.Context, addr netip.AddrPort, call service.Call) (service.Answer, error) {
	h.at("before send")
	answer, err := h.Services.Call(ctx, addr, call)
	h.at("after send")
	return answer, err
}

// Starts a node. The hook at may be nil.
func (f *fleet) start(ctx context.Context, name string, number int, at func(step string), opts ...ledger.Option) *ledger.Manager {
	if at == nil {
		at = func(string) {}
	}
	client := kvstore.New([]netip.AddrPort{storeAddr}, kvstore.WithHTTPClient(f.network.Client(name)))
	h := &hooks{Store: client, Services: f.service, at: at}
	peers := node.NewClient(node.Sender{Name: name, Epoch: 1}, node.WithHTTPClient(f.network.Client(name), "http"))
	m := ledger.New(h, h, views{f, name}, f, peers, opts...)
	router := chi.NewRouter()
	m.Register(router)
	addr := netip.MustParseAddrPort(fmt.Sprintf("10.0.1.%d:1", number))
	f.network.Serve(name, addr, router)
	f.change(func(v *membership.View) {
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
