// This file defines the messages with which nodes ask for permits and report rates, and how a node issues permits.

package exchange

import (
	"context"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/sync/errgroup"

	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/ownership"
	"ebonyferry/internal/core/permit"
	"ebonyferry/internal/edge/node"
)

const (
	pathPermits = "/exchange/permits"
	pathRate    = "/exchange/rate"
)

const (
	// issuerTimeout limits one message to an issuer: many round trips within a region.
	issuerTimeout = 150 * time.Millisecond
	// issuerAttempts is how many nodes are asked one after another for permits.
	issuerAttempts = 3
	// issuerBackoff is how long a node that did not answer is not asked again.
	issuerBackoff = time.Second
	// announceGap is the minimum time between two messages to all nodes about the rate of one server.
	announceGap = time.Second
	// announceParallel is how many nodes are informed at a time.
	announceParallel = 16
	// issuedTTL is how long an issuer remembers a server that no node asks about.
	issuedTTL = time.Minute
)

// namedRate is a rate on its way between nodes, whose clocks differ.
type namedRate struct {
	PerSecond  float64 `json:"perSecond"`
	SentAgoMs  int64   `json:"sentAgoMs"`
	HeardAgoMs int64   `json:"heardAgoMs"`
}

func encodeRate(r permit.Rate, now time.Time) namedRate {
	return namedRate{PerSecond: r.PerSecond, SentAgoMs: now.Sub(r.SentAt).Milliseconds(), HeardAgoMs: now.Sub(r.HeardAt).Milliseconds()}
}

// decode returns the rate, with times at the receiver. The time on the way makes a rate look younger than it is, so the end of
// a limit counts as older by the longest such time: it must not end a limit that was named after it.
func (n namedRate) decode(now time.Time) permit.Rate {
	r := permit.Rate{
		PerSecond: n.PerSecond, SentAt: now.Add(-milliseconds(n.SentAgoMs)), HeardAt: now.Add(-milliseconds(n.HeardAgoMs)),
	}
	if !r.Limited() {
		r.SentAt = r.SentAt.Add(-issuerTimeout)
	}
	return r
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// permitRequest asks for permits of a server, and reports the rate that the sender knows.
type permitRequest struct {
	Server    string    `json:"server"`
	Started   int64     `json:"started"` // Unix milliseconds
	Service   string    `json:"service"`
	Rate      namedRate `json:"rate"`
	Count     int       `json:"count"`
	MaxWaitMs int64     `json:"maxWaitMs"`
	Refused   int       `json:"refused,omitempty"`
	Servers   int       `json:"servers,omitempty"`
	Urgent    bool      `json:"urgent,omitempty"`
	Shared    bool      `json:"shared,omitempty"` // another node may issue permits of this server too
}

type permitAnswer struct {
	Unlimited bool  `json:"unlimited,omitempty"` // the server no longer names a rate
	Count     int   `json:"count"`
	FirstUs   int64 `json:"firstUs"`
	EveryUs   int64 `json:"everyUs"`
	RetryUs   int64 `json:"retryUs"`
	TurnUs    int64 `json:"turnUs"`
}

// rateMessage informs a node of the rate of a server.
type rateMessage struct {
	Server  string    `json:"server"`
	Started int64     `json:"started"` // Unix milliseconds
	Rate    namedRate `json:"rate"`
}

func (rt *Runtime) mountPermits(r chi.Router) {
	node.Handle(r, pathPermits, rt.handlePermits)
	node.Handle(r, pathRate, rt.handleRate)
}

// issued is what an issuer knows of one server.
type issued struct {
	permit.Rate
	service     string
	issuer      *permit.Issuer // nil while the server names no rate
	usedAt      time.Time
	announcedAt time.Time
	announcing  bool // a message to all nodes is due
}

// issuersOf returns the nodes to ask for permits of a server, in the same order at all nodes with the same view.
func (rt *Runtime) issuersOf(server string) []Peer {
	peers := rt.fleet.Peers()
	byName := map[string]Peer{rt.fleet.Self(): {Name: rt.fleet.Self()}}
	names := []string{rt.fleet.Self()}
	for _, p := range peers {
		byName[p.Name] = p
		names = append(names, p.Name)
	}
	var list []Peer
	for len(list) < issuerAttempts && len(names) > 0 {
		first := ownership.OwnerAmong(names, ownership.KindServer, server)
		list = append(list, byName[first])
		names = without(names, first)
	}
	return list
}

// without returns a list without one name. It reuses the list's memory.
func without(names []string, name string) []string {
	kept := names[:0]
	for _, n := range names {
		if n != name {
			kept = append(kept, n)
		}
	}
	return kept
}

// askIssuer asks for permits of a server until a node answers. It returns the error of the last node otherwise.
func (rt *Runtime) askIssuer(ctx context.Context, srv backend.Server, req permit.Request) (permit.Grant, error) {
	err := error(node.ErrUnreachable)
	for i, p := range rt.issuersOf(srv.ID) {
		if rt.issuerFails(p.Name) {
			continue
		}
		var answer permitAnswer
		sentAt := time.Now()
		if answer, err = rt.askNode(ctx, p, rt.permitRequest(srv, req, p.Name, i)); err != nil {
			rt.avoidIssuer(p.Name)
			continue
		}
		rt.mu.Lock()
		if r := rt.rates[startOf(srv)]; r != nil {
			r.issuer, r.askedAt = p.Name, sentAt
		}
		if answer.Unlimited {
			rt.endLimit(srv)
		}
		rt.mu.Unlock()
		if answer.Unlimited {
			return permit.Grant{Count: req.Count}, nil
		}
		return answer.grant(), nil
	}
	return permit.Grant{}, err
}

func (a permitAnswer) grant() permit.Grant {
	return permit.Grant{
		Count: a.Count, First: microseconds(a.FirstUs), Every: microseconds(a.EveryUs),
		Retry: microseconds(a.RetryUs), Turn: microseconds(a.TurnUs),
	}
}

func encodeGrant(g permit.Grant) permitAnswer {
	return permitAnswer{
		Count: g.Count, FirstUs: g.First.Microseconds(), EveryUs: g.Every.Microseconds(),
		RetryUs: g.Retry.Microseconds(), TurnUs: g.Turn.Microseconds(),
	}
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// permitRequest returns the message to the node with index i of issuersOf.
func (rt *Runtime) permitRequest(srv backend.Server, req permit.Request, issuer string, i int) permitRequest {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	now := time.Now()
	msg := permitRequest{
		Server: srv.ID, Started: startOf(srv).started, Service: srv.Service,
		Count: req.Count, MaxWaitMs: req.MaxWait.Milliseconds(), Urgent: req.Urgent, Refused: req.Refused, Servers: req.Servers, Shared: i > 0,
	}
	if r := rt.rates[startOf(srv)]; r != nil {
		msg.Rate = encodeRate(r.Rate, now)
		msg.Shared = msg.Shared || r.issuer != "" && r.issuer != issuer && now.Sub(r.askedAt) < permit.ShareTime
	}
	return msg
}

// askNode sends a message to a node, which may be this one.
func (rt *Runtime) askNode(ctx context.Context, p Peer, msg permitRequest) (permitAnswer, error) {
	if p.Name == rt.fleet.Self() {
		return rt.issue(msg), nil
	}
	client := rt.peerClient.Load()
	if client == nil {
		return permitAnswer{}, node.ErrUnreachable
	}
	return node.Call[permitRequest, permitAnswer](ctx, client.Derive(node.WithTimeout(issuerTimeout)), p.Addr, pathPermits, msg)
}

// issuerFails reports whether a node did not answer a moment ago.
func (rt *Runtime) issuerFails(name string) bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return time.Now().Before(rt.avoidedIssuers[name])
}

func (rt *Runtime) avoidIssuer(name string) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	now := time.Now()
	for other, until := range rt.avoidedIssuers {
		if now.After(until) {
			delete(rt.avoidedIssuers, other)
		}
	}
	rt.avoidedIssuers[name] = now.Add(issuerBackoff)
}

// endLimit records that a server no longer limits its rate, as its issuer knows. The caller holds mu.
func (rt *Runtime) endLimit(srv backend.Server) {
	if r := rt.limit(srv); r != nil {
		rt.observeRate(srv, permit.Rate{SentAt: r.HeardAt.Add(1), HeardAt: r.HeardAt.Add(1)})
	}
}

// reportRate reports the rate of a server to its issuer without asking for permits.
func (rt *Runtime) reportRate(key serverStart) {
	srv := backend.Server{ID: key.id, StartedAt: time.UnixMilli(key.started)}
	rt.mu.Lock()
	if r := rt.rates[key]; r != nil {
		srv.Service = r.service
	}
	rt.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), issuerAttempts*issuerTimeout)
	defer cancel()
	_, _ = rt.askIssuer(ctx, srv, permit.Request{}) // the next request for permits reports it again
}

func (rt *Runtime) handlePermits(_ context.Context, _ node.Sender, msg permitRequest) (permitAnswer, error) {
	return rt.issue(msg), nil
}

// issue answers a request for permits.
func (rt *Runtime) issue(msg permitRequest) permitAnswer {
	first := rt.issuersOf(msg.Server)[0].Name == rt.fleet.Self()
	rt.mu.Lock()
	defer rt.mu.Unlock()
	now := time.Now()
	key := serverStart{msg.Server, msg.Started}
	e := rt.issuedOf(key, msg.Service, now)
	rt.observeIssued(key, e, msg.Rate.decode(now), now)
	if e.issuer == nil {
		return permitAnswer{Unlimited: true}
	}
	if msg.Shared || !first {
		e.issuer.Share(now)
	}
	req := permit.Request{Count: msg.Count, MaxWait: milliseconds(msg.MaxWaitMs), Urgent: msg.Urgent, Refused: msg.Refused, Servers: msg.Servers}
	return encodeGrant(e.issuer.Issue(req, now))
}

// issuedOf returns the state of a server, and forgets the servers that no node asks about. The caller holds mu.
func (rt *Runtime) issuedOf(key serverStart, service string, now time.Time) *issued {
	e := rt.issued[key]
	if e == nil {
		for other, o := range rt.issued {
			if now.Sub(o.usedAt) > issuedTTL {
				delete(rt.issued, other)
			}
		}
		e = &issued{service: service}
		rt.issued[key] = e
	}
	e.usedAt = now
	return e
}

// observeIssued records a rate that a node reports. All nodes are informed of changes, since most of them send to the server
// before they would learn of the limit by an answer. The caller holds mu.
func (rt *Runtime) observeIssued(key serverStart, e *issued, named permit.Rate, now time.Time) {
	if !e.Observe(named) {
		return
	}
	switch {
	case !e.Limited():
		e.issuer = nil
	case e.issuer == nil:
		e.issuer = permit.NewIssuer(e.PerSecond, now)
	default:
		e.issuer.SetRate(e.PerSecond, now)
	}
	if !e.announcing {
		e.announcing = true
		time.AfterFunc(max(0, announceGap-now.Sub(e.announcedAt)), func() { rt.announce(key) })
	}
}

// announce informs all nodes of the rate of a server.
func (rt *Runtime) announce(key serverStart) {
	client := rt.peerClient.Load()
	rt.mu.Lock()
	e := rt.issued[key]
	if e == nil {
		rt.mu.Unlock()
		return
	}
	now := time.Now()
	e.announcing, e.announcedAt = false, now
	msg := rateMessage{Server: key.id, Started: key.started, Rate: encodeRate(e.Rate, now)}
	rt.mu.Unlock()
	if client == nil {
		return
	}
	client = client.Derive(node.WithTimeout(issuerTimeout))
	var group errgroup.Group
	group.SetLimit(announceParallel)
	for _, p := range rt.fleet.Peers() {
		group.Go(func() error {
			_, err := node.Call[rateMessage, struct{}](context.Background(), client, p.Addr, pathRate, msg)
			return err
		})
	}
	_ = group.Wait() // a node that is not reached learns the rate from its first answer
}

func (rt *Runtime) handleRate(_ context.Context, _ node.Sender, msg rateMessage) (struct{}, error) {
	rt.mu.Lock()
	now := time.Now()
	srv, ok := rt.pool.Get(msg.Server)
	if ok && startOf(srv) == (serverStart{msg.Server, msg.Started}) {
		rt.observeRate(srv, msg.Rate.decode(now))
	}
	rt.mu.Unlock()
	rt.grantWaiting()
	return struct{}{}, nil
}
