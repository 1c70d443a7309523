// This file defines a fleet of nodes inside this process.

// Package capacity measures the cost of membership, configuration, slices, rollouts and the ledger at several fleet
// sizes, and extrapolates it to the target size.
//
// [Measure] runs nodes as goroutines on loopback TCP against a fake platform, times the decision code, and fits a line
// by size through the measurements of each quantity. [Result.ComputeTable] evaluates these slopes at [Target] and
// compares the results with the budgets. [Page] renders docs/results/capacity.md from the result.
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

// startTime bounds the time until every node of a new fleet lists all others.
const startTime = 30 * time.Second

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// Shape is the size of a fleet.
type Shape struct {
	Domains   int `json:"domains"`
	PerDomain int `json:"perDomain"`
}

// Nodes returns the number of nodes.
func (s Shape) Nodes() int { return s.Domains * s.PerDomain }

// harness runs a fleet and its store in this process.
type harness struct {
	shape        Shape
	store        *fakeplatform.Server
	addr         netip.AddrPort // of the store
	storeClient  *kvstore.Client
	nodes        []*harnessNode
	head         bundle.Head
	headRevision kvstore.Revision
	extraNodes   int // number of nodes started that are not in nodes
}

// harnessNode is the membership and configuration of one node, without the rest of the node.
type harnessNode struct {
	self   membership.Node
	fleet  *fleet.Fleet
	intent *intent.Intent
	client *node.Client
	link   link
	cancel context.CancelFunc
}

// link is the network link of a node. It counts bytes and can hang, as if the VM hung or lost its network.
type link struct {
	bytes atomic.Int64 // in both directions, headers included
	hung  atomic.Bool  // nothing is transferred, and connections stay open
}

// startHarness starts a fleet and waits until every node lists all others.
func startHarness(ctx context.Context, shape Shape) (*harness, error) {
	h := &harness{shape: shape, store: fakeplatform.New()}
	addr, err := h.store.Listen(ctx, loopback)
	if err != nil {
		return nil, err
	}
	h.addr = addr
	h.storeClient = kvstore.New([]netip.AddrPort{addr}, kvstore.WithTimeout(startTime))
	for d := range shape.Domains {
		for i := range shape.PerDomain {
			n, err := h.startNode(ctx, fmt.Sprintf("d%dn%02d", d, i), fmt.Sprintf("d%d", d))
			if err != nil {
				return nil, err
			}
			h.nodes = append(h.nodes, n)
		}
	}
	return h, h.await(ctx, func(n *harnessNode) bool { return len(n.fleet.View().Nodes) == len(h.nodes) })
}

// startNode starts a node on its own port.
func (h *harness) startNode(ctx context.Context, name, domain string) (*harnessNode, error) {
	ctx, cancel := context.WithCancel(ctx)
	n := &harnessNode{cancel: cancel}
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
	httpClient := newHTTPClient()
	httpClient.Transport.(*http.Transport).DialContext = n.dial
	n.client = node.NewClient(node.Sender{Name: name}, node.WithHTTPClient(httpClient, "http"))
	stores := []netip.AddrPort{h.addr}
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

// listen serves routes on a new port through the link of the node until ctx ends.
func (n *harnessNode) listen(ctx context.Context, mount func(chi.Router)) (netip.AddrPort, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", loopback.String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	router := chi.NewRouter()
	mount(router)
	srv := &http.Server{Handler: router, ReadHeaderTimeout: startTime}
	go srv.Serve(linkListener{Listener: ln, link: &n.link})
	context.AfterFunc(ctx, func() { srv.Close() })
	return ln.Addr().(*net.TCPAddr).AddrPort(), nil
}

// newHTTPClient returns an HTTP client like those between nodes, but without TLS.
func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}}
}

// await waits until a condition holds on every node.
func (h *harness) await(ctx context.Context, holds func(*harnessNode) bool) error {
	return awaitAll(ctx, h.nodes, holds)
}

func awaitAll(ctx context.Context, nodes []*harnessNode, holds func(*harnessNode) bool) error {
	deadline := time.Now().Add(startTime)
	for _, n := range nodes {
		for !holds(n) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("condition is still false on node %s after %v", n.self.Name, startTime)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

// install writes the documents of a configuration and a head that refers to them.
func (h *harness) install(ctx context.Context, b bundle.Bundle, k bundle.Keys) error {
	if err := h.writeDocuments(ctx, b, k); err != nil {
		return err
	}
	return h.writeHead(ctx)
}

// writeDocuments writes the documents of a configuration, to which the next head refers.
func (h *harness) writeDocuments(ctx context.Context, b bundle.Bundle, k bundle.Keys) error {
	k.Revision = h.head.Revision + 1
	parts, err := bundle.EncodeBundle(b)
	if err != nil {
		return err
	}
	if err := h.writeParts(ctx, bundle.BundlePrefix(b.ID), parts); err != nil {
		return err
	}
	if err := h.writeParts(ctx, bundle.KeysPrefix(k.Revision), bundle.EncodeKeys(k)); err != nil {
		return err
	}
	h.head.BundleID = b.ID
	h.head.KeysRevision = k.Revision
	h.head.KeysDigest = bundle.KeysDigest(k)
	return nil
}

func (h *harness) writeParts(ctx context.Context, prefix string, parts [][]byte) error {
	for i, part := range parts {
		if _, err := h.storeClient.CompareAndSwap(ctx, bundle.PartKey(prefix, i), 0, part, 0); err != nil {
			return err
		}
	}
	return nil
}

// writeHead writes the next head, with another service mark than the last.
func (h *harness) writeHead(ctx context.Context) error {
	h.head.Revision++
	h.head.OutOfService.Servers = []string{fmt.Sprintf("engine-%d", h.head.Revision)}
	value, err := json.Marshal(h.head)
	if err != nil {
		return err
	}
	h.headRevision, err = h.storeClient.CompareAndSwap(ctx, bundle.HeadKey, h.headRevision, value, 0)
	return err
}

// awaitHead waits until every node has the last head in force, and returns the time that this took.
func (h *harness) awaitHead(ctx context.Context) (time.Duration, error) {
	start := time.Now()
	err := h.await(ctx, func(n *harnessNode) bool {
		in, _ := n.intent.Current()
		return in != nil && in.Head.Revision >= h.head.Revision
	})
	return time.Since(start), err
}

// isRelay reports whether the node is a relay of its failure domain.
func (n *harnessNode) isRelay() bool {
	_, relay := n.fleet.Relays()
	return relay
}

func (n *harnessNode) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return linkConn{Conn: conn, link: &n.link}, nil
}

// linkListener accepts connections over a link.
type linkListener struct {
	net.Listener
	link *link
}

// Accept implements net.Listener.
func (l linkListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return linkConn{Conn: conn, link: l.link}, nil
}

// linkConn is a connection over a link.
type linkConn struct {
	net.Conn
	link *link
}

// Read implements net.Conn.
func (c linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.link.transfer(n)
	return n, err
}

// Write implements net.Conn.
func (c linkConn) Write(p []byte) (int, error) {
	c.link.transfer(0)
	n, err := c.Conn.Write(p)
	c.link.transfer(n)
	return n, err
}

// transfer counts n bytes and blocks while the link hangs.
func (l *link) transfer(n int) {
	l.bytes.Add(int64(n))
	for l.hung.Load() {
		time.Sleep(hungPollInterval)
	}
}

// hungPollInterval is the interval at which a blocked connection checks whether the link still hangs.
const hungPollInterval = 20 * time.Millisecond

// processCPUTime returns the processor time used by this process.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// documents returns a bundle and keys of the given size. Each change modifies one server and one account.
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
