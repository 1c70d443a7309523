// This file defines the fakes of the demo and the configuration that it starts with.

package demo

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"fmt"
	"net/netip"
	"time"

	"ebonyferry/internal/bench/load"
	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/document"
	"ebonyferry/internal/edge/kvstore"
	fakeengine "ebonyferry/internal/fake/engine"
	fakeplatform "ebonyferry/internal/fake/platform"
	fakeservice "ebonyferry/internal/fake/service"
)

const (
	region        = "demo"
	model         = "narrator"
	oldVersion    = "v1"
	newVersion    = "v2"
	servicePrefix = "/services/desk"
	operatorName  = "demo"

	enginesPerDomain  = 3
	engineStreams     = 48
	engineColdStreams = 8
	engineMemory      = 48 << 10 // tokens
	engineWarmUp      = 3 * time.Second
	engineColdGrace   = 2 * time.Second
	engineLoadLag     = 500 * time.Millisecond
	engineStepBase    = 8 * time.Millisecond
	engineStepStream  = 150 * time.Microsecond
	enginePrefill     = 10 * time.Microsecond
	tokenKeyLife      = 24 * time.Hour
)

// failureDomains are the failure domains of the demo's VMs and backend servers.
var failureDomains = []string{"demo-a", "demo-b", "demo-c"}

var loopback = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)

// fakes holds the fakes of the outside systems, and the names and keys that they are configured with.
type fakes struct {
	platform     *fakeplatform.Server
	platformAddr netip.AddrPort
	engines      map[string]*fakeengine.Engine // by server ID
	services     []*fakeservice.Service
	servers      []bundle.Server
	accounts     []load.Account
	key          ed25519.PrivateKey // of the operator
}

// startFakes starts the fakes and writes the first configuration into the store. They run until ctx ends.
func startFakes(ctx context.Context) (*fakes, error) {
	f := &fakes{platform: fakeplatform.New(), engines: make(map[string]*fakeengine.Engine)}
	addr, err := f.platform.Listen(ctx, loopback)
	if err != nil {
		return nil, fmt.Errorf("platform stand-in: %w", err)
	}
	f.platformAddr = addr
	for _, domain := range failureDomains {
		if err := f.startEngines(ctx, domain); err != nil {
			return nil, err
		}
	}
	if err := f.startService(ctx); err != nil {
		return nil, err
	}
	return f, f.bootstrap(ctx)
}

func (f *fakes) startEngines(ctx context.Context, domain string) error {
	for i := range enginesPerDomain {
		id := fmt.Sprintf("%s-engine%d", domain, i+1)
		e := fakeengine.New(
			fakeengine.WithID(id), fakeengine.WithBatch(engineStreams, engineStreams), fakeengine.WithMemory(engineMemory, engineMemory/4),
			fakeengine.WithColdStart(engineColdStreams, engineWarmUp, engineColdGrace), fakeengine.WithStep(engineStepBase, engineStepStream, enginePrefill),
			fakeengine.WithLoadLag(engineLoadLag), fakeengine.WithFencing(),
			fakeengine.WithModels(0, versionsServed()...))
		addr, err := e.Listen(ctx, loopback)
		if err != nil {
			return fmt.Errorf("engine stand-in %s: %w", id, err)
		}
		f.engines[id] = e
		f.servers = append(f.servers, bundle.Server{
			ID: id, Kind: bundle.KindEngine, Addr: addr, Region: region, FailureDomain: domain, Models: versionsServed(),
			MaxStreams: engineStreams, ColdStreams: engineColdStreams, MemoryTokens: engineMemory, HonoursFencing: true,
		})
	}
	return nil
}

func versionsServed() []bundle.ModelVersion {
	return []bundle.ModelVersion{{Model: model, Version: oldVersion}, {Model: model, Version: newVersion}}
}

// startService starts one service with an address in each failure domain.
func (f *fakes) startService(ctx context.Context) error {
	svc := fakeservice.New(fakeservice.WithOutcomeQueries())
	f.services = append(f.services, svc)
	for _, domain := range failureDomains {
		addr, err := svc.Listen(ctx, loopback)
		if err != nil {
			return fmt.Errorf("service stand-in: %w", err)
		}
		f.servers = append(f.servers, bundle.Server{
			ID: domain + "-desk", Kind: bundle.KindService, Addr: addr, Region: region, FailureDomain: domain, Service: "desk", MaxStreams: engineStreams,
		})
	}
	return nil
}

// bundle returns a bundle in which one version receives all traffic.
func (f *fakes) bundle(version string) bundle.Bundle {
	shares := []bundle.VersionShare{{Version: oldVersion}, {Version: newVersion}}
	for i := range shares {
		if shares[i].Version == version {
			shares[i].Share = bundle.ShareTotal
		}
	}
	return bundle.Bundle{
		Author:  operatorName,
		Note:    "all traffic to " + version,
		Servers: f.servers,
		Models:  []bundle.Model{{Name: model, Versions: shares}},
		Services: []bundle.Service{{Name: "desk", Prefix: servicePrefix, Routes: []bundle.Route{
			{Method: "POST", Path: fakeservice.PathBookings},
			{Method: "GET", Path: fakeservice.PathStock + "*", Repeatable: true},
		}}},
	}
}

// bootstrap writes the first configuration into the store.
func (f *fakes) bootstrap(ctx context.Context) error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return err
	}
	f.key = private
	secret := make([]byte, 32)
	if _, err := rand.Read(secret); err != nil {
		return err
	}
	keys := bundle.Keys{
		Operators: []bundle.Operator{{Name: operatorName, PublicKeys: []ed25519.PublicKey{public}}},
		TokenKeys: []bundle.TokenKey{{ID: "demo", Secret: secret, NotAfter: time.Now().Add(tokenKeyLife)}},
	}
	for i := range 6 {
		acc := load.Account{ID: fmt.Sprintf("account%d", i+1), Key: rand.Text()}
		f.accounts = append(f.accounts, acc)
		keys.Accounts = append(keys.Accounts, bundle.Account{ID: acc.ID, KeyHashes: []string{bundle.KeyHash(acc.Key)}})
	}
	store := kvstore.New([]netip.AddrPort{f.platformAddr})
	req := bundle.ChangeRequest{By: operatorName, Nonce: rand.Text(), At: time.Now()}
	if _, err := document.Bootstrap(ctx, store, f.bundle(oldVersion), keys, req); err != nil {
		return fmt.Errorf("first configuration: %w", err)
	}
	return nil
}
