package soak

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"slices"
	"time"

	"ebonyferry/internal/bench/load"
	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/document"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/operator"
	fakeengine "ebonyferry/internal/fake/engine"
	"ebonyferry/internal/fake/link"
	fakeplatform "ebonyferry/internal/fake/platform"
	fakeservice "ebonyferry/internal/fake/service"
)

// This file defines the world of a soak: stand-ins, links with faults, and the first configuration.

const (
	region        = "soak"
	modelName     = "writer"
	firstVersion  = "v1"
	servicePrefix = "/services/bookings"
	serviceName   = "bookings"
	accountCount  = 6
	peerCount     = 3

	engineMemory  = 12_000
	engineCache   = 2_000
	engineBatch   = 24
	engineWaiting = 24
	coldStreams   = 4
	warmUp        = 6 * time.Second
	coldGrace     = 300 * time.Millisecond
	loadLag       = 500 * time.Millisecond
	stepBase      = 8 * time.Millisecond
	stepPerStream = 300 * time.Microsecond
	prefillToken  = 10 * time.Microsecond
)

var (
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
	domains  = []string{"a", "b", "c", "d"}
	// Two operators, so that they can race.
	operatorNames = []string{"ana", "ben"}
)

// engineUnit is an engine with the link that nodes reach it by.
type engineUnit struct {
	id, domain string
	engine     *fakeengine.Engine
	link       *link.Link
	addr       netip.AddrPort // of the link
	direct     netip.AddrPort // of the engine itself
}

// world is everything outside the nodes. Its stand-ins run until the context that it was made with ends.
type world struct {
	dir       string
	store     *fakeplatform.Server
	storeAddr netip.AddrPort
	service   *fakeservice.Service
	engines   []*engineUnit
	accounts  []load.Account
	operators map[string]ed25519.PrivateKey
	bundle    bundle.Bundle // the first one
	subnet    [3]byte       // of the nodes' loopback addresses, drawn so that worlds do not meet
}

// newWorld starts the stand-ins and writes the first configuration. Files go into dir. Options change all
// engines.
func newWorld(ctx context.Context, dir string, engines int, opts ...fakeengine.Option) (*world, error) {
	w := &world{dir: dir, store: fakeplatform.New(fakeplatform.WithRates(fakeplatform.DefaultRates)), operators: make(map[string]ed25519.PrivateKey)}
	w.subnet = [3]byte{127, byte(64 + rand.IntN(190)), byte(rand.IntN(256))}
	var err error
	if w.storeAddr, err = w.store.Listen(ctx, loopback); err != nil {
		return nil, err
	}
	for i := range engines {
		if err := w.addEngine(ctx, i, opts); err != nil {
			return nil, err
		}
	}
	w.service = fakeservice.New()
	b, err := w.firstBundle(ctx)
	if err != nil {
		return nil, err
	}
	w.bundle = b
	req := bundle.ChangeRequest{By: operatorNames[0], Nonce: operator.NewNonce(), At: time.Now().UTC()}
	_, err = document.Bootstrap(ctx, kvstore.New([]netip.AddrPort{w.storeAddr}), b, w.keys(), req)
	return w, err
}

// Starts an engine and its link. Every second one ignores fencing numbers.
func (w *world) addEngine(ctx context.Context, i int, more []fakeengine.Option) error {
	u := &engineUnit{id: fmt.Sprintf("e%d", i+1), domain: domains[i%len(domains)]}
	opts := []fakeengine.Option{
		fakeengine.WithID(u.id),
		fakeengine.WithMemory(engineMemory, engineCache),
		fakeengine.WithBatch(engineBatch, engineWaiting),
		fakeengine.WithStep(stepBase, stepPerStream, prefillToken),
		fakeengine.WithColdStart(coldStreams, warmUp, coldGrace),
		fakeengine.WithLoadLag(loadLag),
		fakeengine.WithCacheEvents(loadLag, 7),
	}
	if i%2 == 0 {
		opts = append(opts, fakeengine.WithFencing())
	}
	u.engine = fakeengine.New(append(opts, more...)...)
	var err error
	if u.direct, err = u.engine.Listen(ctx, loopback); err != nil {
		return err
	}
	u.link = link.New(u.direct)
	if u.addr, err = u.link.Listen(ctx, loopback); err != nil {
		return err
	}
	w.engines = append(w.engines, u)
	return nil
}

// Returns the first bundle, after starting the service under two addresses.
func (w *world) firstBundle(ctx context.Context) (bundle.Bundle, error) {
	b := bundle.Bundle{
		Author: operatorNames[0],
		Models: []bundle.Model{{Name: modelName, Versions: []bundle.VersionShare{{Version: firstVersion, Share: bundle.ShareTotal}}}},
		Services: []bundle.Service{{Name: serviceName, Prefix: servicePrefix, Routes: []bundle.Route{
			{Method: "POST", Path: fakeservice.PathBookings},
			{Method: "GET", Path: fakeservice.PathStock + "*", Repeatable: true},
		}}},
	}
	for i, u := range w.engines {
		b.Servers = append(b.Servers, bundle.Server{
			ID: u.id, Kind: bundle.KindEngine, Addr: u.addr, Region: region, FailureDomain: u.domain,
			Models:     []bundle.ModelVersion{{Model: modelName, Version: firstVersion}},
			MaxStreams: engineBatch, ColdStreams: coldStreams, MemoryTokens: engineMemory, HonoursFencing: i%2 == 0,
		})
	}
	for i, domain := range domains[:2] {
		addr, err := w.service.Listen(ctx, loopback)
		if err != nil {
			return b, err
		}
		b.Servers = append(b.Servers, bundle.Server{
			ID: fmt.Sprintf("s%d", i+1), Kind: bundle.KindService, Addr: addr, Region: region, FailureDomain: domain,
			Service: serviceName, MaxStreams: engineBatch,
		})
	}
	return b, nil
}

// Returns the first keys, which are no secret here.
func (w *world) keys() bundle.Keys {
	const lifetime = 24 * time.Hour
	k := bundle.Keys{TokenKeys: []bundle.TokenKey{{ID: "t1", Secret: seedOf("token"), NotAfter: time.Now().Add(lifetime).UTC()}}}
	for i := range accountCount {
		account := load.Account{ID: fmt.Sprintf("account-%d", i+1), Key: fmt.Sprintf("soak-key-%d", i+1)}
		w.accounts = append(w.accounts, account)
		k.Accounts = append(k.Accounts, bundle.Account{ID: account.ID, KeyHashes: []string{bundle.KeyHash(account.Key)}})
	}
	for _, name := range operatorNames {
		private := ed25519.NewKeyFromSeed(seedOf(name))
		w.operators[name] = private
		k.Operators = append(k.Operators, bundle.Operator{Name: name, PublicKeys: []ed25519.PublicKey{private.Public().(ed25519.PublicKey)}})
	}
	return k
}

// seedOf returns 32 bytes that follow from a name.
func seedOf(name string) []byte {
	sum := sha256.Sum256([]byte(name))
	return sum[:]
}

// nodeIP returns the loopback address of a node.
func (w *world) nodeIP(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{w.subnet[0], w.subnet[1], w.subnet[2], byte(i + 1)})
}

// peers returns the addresses of a few other nodes, in several failure domains.
func (w *world) peers(i int) []netip.AddrPort {
	var list []netip.AddrPort
	for j := range peerCount {
		if j != i {
			list = append(list, netip.AddrPortFrom(w.nodeIP(j), nodePort))
		}
	}
	return list
}

func (w *world) engineNames() []string {
	var names []string
	for _, u := range w.engines {
		names = append(names, u.id)
	}
	return names
}

func (w *world) engine(name string) *engineUnit {
	i := slices.IndexFunc(w.engines, func(u *engineUnit) bool { return u.id == name })
	return w.engines[i]
}

func (w *world) standIns() load.Fakes {
	s := load.Fakes{Services: []*fakeservice.Service{w.service}}
	for _, u := range w.engines {
		s.Engines = append(s.Engines, u.engine)
	}
	return s
}

func (w *world) path(name string) string { return filepath.Join(w.dir, name) }
