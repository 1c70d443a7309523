// Package capacity measures what control costs by size and works out what it costs at the target size.
//
// It runs nodes as goroutines on loopback TCP against the platform's stand-in, times the decision cores, fits
// slopes over three sizes or more, and renders docs/CAPACITY.md from the outcome.
package capacity

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
	fakeplatform "ebonyferry/internal/fake/platform"
	"ebonyferry/internal/run/fleet"
	"ebonyferry/internal/run/intent"
)

// This file defines a fleet of nodes inside this process.

// startTime is how long a fleet may take until every node sees all others.
const startTime = 30 * time.Second

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// Shape is the size of a fleet.
type Shape struct {
	Domains   int `json:"domains"`
	PerDomain int `json:"perDomain"`
}

// Nodes returns the number of nodes.
func (s Shape) Nodes() int { return s.Domains * s.PerDomain }

// lab is a fleet with its store.
type lab struct {
	shape    Shape
	store    *fakeplatform.Server
	addr     netip.AddrPort // of the store
	operator *kvstore.Client
	nodes    []*labNode
	head     bundle.Head
	headRev  kvstore.Revision
	extra    int // nodes started besides nodes
}

// labNode is the control part of one node: membership and configuration.
type labNode struct {
	self   membership.Node
	fleet  *fleet.Fleet
	intent *intent.Intent
	client *node.Client
	wire   wire
	cancel context.CancelFunc
}

// wire is a node's network: it counts bytes and can fall silent, as a VM does that hangs or loses its link.
type wire struct {
	bytes  atomic.Int64 // both directions, headers included
	silent atomic.Bool  // nothing passes, and connections stay open
}

// Starts a fleet and waits until every node sees all others.
func startLab(ctx context.Context, shape Shape) (*lab, error) {
	l := &lab{shape: shape, store: fakeplatform.New()}
	addr, err := l.store.Listen(ctx, loopback)
	if err != nil {
		return nil, err
	}
	l.addr = addr
	l.operator = kvstore.New([]netip.AddrPort{addr}, kvstore.WithTimeout(startTime))
	for d := range shape.Domains {
		for i := range shape.PerDomain {
			n, err := l.startNode(ctx, fmt.Sprintf("d%dn%02d", d, i), fmt.Sprintf("d%d", d))
			if err != nil {
				return nil, err
			}
			l.nodes = append(l.nodes, n)
		}
	}
	return l, l.await(ctx, func(n *labNode) bool { return len(n.fleet.View().Nodes) == len(l.nodes) })
}

// Starts one node on a port of its own.
func (l *lab) startNode(ctx context.Context, name, domain string) (*labNode, error) {
	ctx, cancel := context.WithCancel(ctx)
	n := &labNode{cancel: cancel}
	mounted := make(chan struct{})
	router := chi.NewRouter()
	addr, err := n.listen(ctx, func(r chi.Router) {
		r.Mount("/", http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			<-mounted
			router.ServeHTTP(w, req)
		}))
	})
	if err != nil {
		cancel()
		return nil, err
	}
	n.self = membership.Node{Name: name, Addr: addr, CallerAddr: addr, Region: "r0", FailureDomain: domain}
	httpClient := plainClient()
	httpClient.Transport.(*http.Transport).DialContext = n.dial
	n.client = node.NewClient(node.Sender{Name: name}, node.WithHTTPClient(httpClient, "http"))
	stores := []netip.AddrPort{l.addr}
	n.fleet = fleet.New(n.self, kvstore.New(stores, kvstore.WithHTTPClient(httpClient)), n.client)
	heads := kvstore.New(stores, kvstore.WithHTTPClient(httpClient), kvstore.WithWatchWait(intent.WatchWait))
	n.intent = intent.New(heads, n.fleet, n.client)
	n.fleet.Mount(router)
	n.intent.Mount(router)
	close(mounted)
	go n.fleet.Run(ctx)
	go n.intent.Run(ctx)
	return n, nil
}

// Serves routes on a port of the node's own until ctx ends, and counts the bytes.
func (n *labNode) listen(ctx context.Context, mount func(chi.Router)) (netip.AddrPort, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", loopback.String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	router := chi.NewRouter()
	mount(router)
	srv := &http.Server{Handler: router, ReadHeaderTimeout: startTime}
	go srv.Serve(wiredListener{Listener: ln, wire: &n.wire})
	context.AfterFunc(ctx, func() { srv.Close() })
	return ln.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Returns a client as nodes use it among each other, but without TLS.
func plainClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}}
}

// Waits until a condition holds on every node of the lab.
func (l *lab) await(ctx context.Context, holds func(*labNode) bool) error {
	return awaitAll(ctx, l.nodes, holds)
}

func awaitAll(ctx context.Context, nodes []*labNode, holds func(*labNode) bool) error {
	deadline := time.Now().Add(startTime)
	for _, n := range nodes {
		for !holds(n) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("node %s is not ready after %v", n.self.Name, startTime)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

// Writes the documents of a configuration and a head that names them.
func (l *lab) install(ctx context.Context, b bundle.Bundle, k bundle.Keys) error {
	if err := l.prepare(ctx, b, k); err != nil {
		return err
	}
	return l.change(ctx)
}

// Writes the documents of a configuration for the next head to name.
func (l *lab) prepare(ctx context.Context, b bundle.Bundle, k bundle.Keys) error {
	k.Revision = l.head.Revision + 1
	parts, err := bundle.EncodeBundle(b)
	if err != nil {
		return err
	}
	if err := l.put(ctx, bundle.BundlePrefix(b.ID), parts); err != nil {
		return err
	}
	if err := l.put(ctx, bundle.KeysPrefix(k.Revision), bundle.EncodeKeys(k)); err != nil {
		return err
	}
	l.head.BundleID = b.ID
	l.head.KeysRevision = k.Revision
	l.head.KeysDigest = bundle.KeysDigest(k)
	return nil
}

func (l *lab) put(ctx context.Context, prefix string, parts [][]byte) error {
	for i, part := range parts {
		if _, err := l.operator.CompareAndSwap(ctx, bundle.PartKey(prefix, i), 0, part, 0); err != nil {
			return err
		}
	}
	return nil
}

// Writes the next head, which differs from the last in a service mark.
func (l *lab) change(ctx context.Context) error {
	l.head.Revision++
	l.head.OutOfService.Servers = []string{fmt.Sprintf("engine-%d", l.head.Revision)}
	value, err := json.Marshal(l.head)
	if err != nil {
		return err
	}
	l.headRev, err = l.operator.CompareAndSwap(ctx, bundle.HeadKey, l.headRev, value, 0)
	return err
}

// Returns the time from now until every node has the last head in force.
func (l *lab) spreadTime(ctx context.Context) (time.Duration, error) {
	start := time.Now()
	err := l.await(ctx, func(n *labNode) bool {
		in, _ := n.intent.Current()
		return in != nil && in.Head.Revision >= l.head.Revision
	})
	return time.Since(start), err
}

// Reports whether a node is a relay of its failure domain.
func (n *labNode) isRelay() bool {
	_, relay := n.fleet.Relays()
	return relay
}

func (n *labNode) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return wiredConn{Conn: conn, wire: &n.wire}, nil
}

// wiredListener accepts connections of a wire.
type wiredListener struct {
	net.Listener
	wire *wire
}

// Accept implements net.Listener.
func (l wiredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return wiredConn{Conn: conn, wire: l.wire}, nil
}

// wiredConn is a connection of a wire.
type wiredConn struct {
	net.Conn
	wire *wire
}

// Read implements net.Conn.
func (c wiredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wire.pass(n)
	return n, err
}

// Write implements net.Conn.
func (c wiredConn) Write(p []byte) (int, error) {
	c.wire.pass(0)
	n, err := c.Conn.Write(p)
	c.wire.pass(n)
	return n, err
}

// Counts n bytes, and holds the caller while the wire is silent.
func (w *wire) pass(n int) {
	w.bytes.Add(int64(n))
	for w.silent.Load() {
		time.Sleep(silentPoll)
	}
}

// silentPoll is how often a held connection looks whether the wire is silent still.
const silentPoll = 20 * time.Millisecond

// Returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Returns a bundle and keys of a size. Those of two changes differ in one server and one account.
func documents(servers, accounts, change int) (bundle.Bundle, bundle.Keys) {
	b := bundle.Bundle{Author: "ana"}
	for m := range Target.Models {
		b.Models = append(b.Models, bundle.Model{
			Name: fmt.Sprintf("model-%d", m), Versions: []bundle.VersionShare{{Version: "v1", Share: bundle.ShareTotal}},
		})
	}
	for i := range servers {
		b.Servers = append(b.Servers, bundle.Server{
			ID: fmt.Sprintf("engine-%03d", i), Kind: bundle.KindEngine,
			Region: fmt.Sprintf("r%d", i%Target.Regions), FailureDomain: fmt.Sprintf("d%d", i%Target.Domains),
			Addr:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(i % 200)}), 8000),
			Models:     []bundle.ModelVersion{{Model: fmt.Sprintf("model-%d", i%Target.Models), Version: "v1"}},
			MaxStreams: 64, ColdStreams: 4, MemoryTokens: 1 << 20,
		})
	}
	if servers > 0 {
		b.Servers[change%servers].MaxStreams += change
	}
	k := bundle.Keys{
		Operators: []bundle.Operator{{Name: "ana", PublicKeys: []ed25519.PublicKey{make([]byte, ed25519.PublicKeySize)}}},
		TokenKeys: []bundle.TokenKey{{ID: "t1", Secret: make([]byte, 32), NotAfter: time.Unix(1<<31, 0).UTC()}},
	}
	for i := range accounts {
		id := fmt.Sprintf("account-%04d", i)
		k.Accounts = append(k.Accounts, bundle.Account{ID: id, KeyHashes: []string{bundle.KeyHash(id)}})
	}
	if accounts > 0 {
		changed := &k.Accounts[change%accounts]
		changed.KeyHashes = []string{bundle.KeyHash(fmt.Sprint(changed.ID, change))}
	}
	return bundle.Canonical(b), bundle.CanonicalKeys(k)
}
