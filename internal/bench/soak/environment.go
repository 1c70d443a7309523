// This file defines the environment of the nodes: fakes, links that inject faults, and the initial configuration.

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
	// operatorNames holds the two operators that actions of kind OperatorsRace need.
	operatorNames = []string{"ana", "ben"}
)

// linkedEngine is an engine with the link through which nodes reach it.
type linkedEngine struct {
	id, domain string
	engine     *fakeengine.Engine
	link       *link.Link
	addr       netip.AddrPort // of the link
	directAddr netip.AddrPort // of the engine itself
}

// environment holds everything outside the nodes. Its fakes run until the context passed to newEnvironment ends.
type environment struct {
	dir       string
	store     *fakeplatform.Server
	storeAddr netip.AddrPort
	service   *fakeservice.Service
	engines   []*linkedEngine
	accounts  []load.Account
	operators map[string]ed25519.PrivateKey
	bundle    bundle.Bundle // the initial one
	subnet    [3]byte       // of the nodes' loopback addresses; random, so that concurrent environments do not collide
}

// newEnvironment starts the fakes and stores the initial configuration. Files are written to dir. The options apply to
// all engines.
func newEnvironment(ctx context.Context, dir string, engines int, opts ...fakeengine.Option) (*environment, error) {
	env := &environment{dir: dir, store: fakeplatform.New(fakeplatform.WithRates(fakeplatform.DefaultRates), fakeplatform.WithCopies(copyGap)), operators: make(map[string]ed25519.PrivateKey)}
	env.subnet = [3]byte{127, byte(64 + rand.IntN(190)), byte(rand.IntN(256))}
	var err error
	if env.storeAddr, err = env.store.Listen(ctx, loopback); err != nil {
		return nil, err
	}
	for i := range engines {
		if err := env.addEngine(ctx, i, opts); err != nil {
			return nil, err
		}
	}
	env.service = fakeservice.New()
	b, err := env.firstBundle(ctx)
	if err != nil {
		return nil, err
	}
	env.bundle = b
	req := bundle.ChangeRequest{By: operatorNames[0], Nonce: operator.NewNonce(), At: time.Now().UTC()}
	_, err = document.Bootstrap(ctx, kvstore.New([]netip.AddrPort{env.storeAddr}), b, env.keys(), req)
	return env, err
}

// addEngine starts an engine and its link. Every second engine ignores fencing numbers.
func (env *environment) addEngine(ctx context.Context, i int, more []fakeengine.Option) error {
	e := &linkedEngine{id: fmt.Sprintf("e%d", i+1), domain: domains[i%len(domains)]}
	opts := []fakeengine.Option{
		fakeengine.WithID(e.id),
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
	e.engine = fakeengine.New(append(opts, more...)...)
	var err error
	if e.directAddr, err = e.engine.Listen(ctx, loopback); err != nil {
		return err
	}
	e.link = link.New(e.directAddr)
	if e.addr, err = e.link.Listen(ctx, loopback); err != nil {
		return err
	}
	env.engines = append(env.engines, e)
	return nil
}

// firstBundle starts the service on two addresses and returns the initial bundle.
func (env *environment) firstBundle(ctx context.Context) (bundle.Bundle, error) {
	b := bundle.Bundle{
		Author: operatorNames[0],
		Models: []bundle.Model{{Name: modelName, Versions: []bundle.VersionShare{{Version: firstVersion, Share: bundle.ShareTotal}}}},
		Services: []bundle.Service{{Name: serviceName, Prefix: servicePrefix, Routes: []bundle.Route{
			{Method: "POST", Path: fakeservice.PathBookings},
			{Method: "GET", Path: fakeservice.PathStock + "*", Repeatable: true},
		}}},
	}
	for i, e := range env.engines {
		b.Servers = append(b.Servers, bundle.Server{
			ID: e.id, Kind: bundle.KindEngine, Addr: e.addr, Region: region, FailureDomain: e.domain,
			Models:     []bundle.ModelVersion{{Model: modelName, Version: firstVersion}},
			MaxStreams: engineBatch, ColdStreams: coldStreams, MemoryTokens: engineMemory, HonoursFencing: i%2 == 0,
		})
	}
	for i, domain := range domains[:2] {
		addr, err := env.service.Listen(ctx, loopback)
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

// keys returns the initial keys and records the accounts and operators that use them. They are not secret here.
func (env *environment) keys() bundle.Keys {
	const lifetime = 24 * time.Hour
	k := bundle.Keys{TokenKeys: []bundle.TokenKey{{ID: "t1", Secret: keySeed("token"), NotAfter: time.Now().Add(lifetime).UTC()}}}
	for i := range accountCount {
		account := load.Account{ID: fmt.Sprintf("account-%d", i+1), Key: fmt.Sprintf("soak-key-%d", i+1)}
		env.accounts = append(env.accounts, account)
		k.Accounts = append(k.Accounts, bundle.Account{ID: account.ID, KeyHashes: []string{bundle.KeyHash(account.Key)}})
	}
	for _, name := range operatorNames {
		private := ed25519.NewKeyFromSeed(keySeed(name))
		env.operators[name] = private
		k.Operators = append(k.Operators, bundle.Operator{Name: name, PublicKeys: []ed25519.PublicKey{private.Public().(ed25519.PublicKey)}})
	}
	return k
}

// keySeed derives a seed of 32 bytes from a name.
func keySeed(name string) []byte {
	sum := sha256.Sum256([]byte(name))
	return sum[:]
}

// nodeIP returns the loopback address of a node.
func (env *environment) nodeIP(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{env.subnet[0], env.subnet[1], env.subnet[2], byte(i + 1)})
}

// peers returns the addresses of the first peerCount nodes without node i. They are in different failure domains.
func (env *environment) peers(i int) []netip.AddrPort {
	var list []netip.AddrPort
	for j := range peerCount {
		if j != i {
			list = append(list, netip.AddrPortFrom(env.nodeIP(j), nodePort))
		}
	}
	return list
}

func (env *environment) engineIDs() []string {
	var names []string
	for _, e := range env.engines {
		names = append(names, e.id)
	}
	return names
}

func (env *environment) engine(name string) *linkedEngine {
	i := slices.IndexFunc(env.engines, func(e *linkedEngine) bool { return e.id == name })
	return env.engines[i]
}

func (env *environment) fakes() load.Fakes {
	s := load.Fakes{Services: []*fakeservice.Service{env.service}}
	for _, e := range env.engines {
		s.Engines = append(s.Engines, e.engine)
	}
	return s
}

func (env *environment) path(name string) string { return filepath.Join(env.dir, name) }
