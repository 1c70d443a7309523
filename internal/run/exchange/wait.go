// This file defines how requests wait for a slot on a server.

package exchange

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/placement"
	"ebonyferry/internal/core/route"
)

// Errors of waitForSlot.
var (
	errNoServer   = errors.New("service has no usable server")
	errNoCapacity = errors.New("no server has capacity in time")
)

// slotRequest describes the slot that a request needs.
type slotRequest struct {
	adm     *Admitted
	need    placement.Need
	copy    bool            // a second server keeps a copy
	exclude map[string]bool // servers that were tried already
	until   time.Time       // the request does not wait longer
}

// grant is a granted slot: a server that counts the request in its load and, if any, the server that keeps the copy.
type grant struct {
	server        backend.Server
	copy          *backend.Server
	need          placement.Need
	prefillTokens int            // prompt tokens that count as not read yet
	seen          placement.Load // load on the server that the choice was based on
	seenAge       time.Duration  // age of the oldest report of other nodes in seen
	flow          *urgencyFlow   // that counts the run; nil if requests of its service do not compete
}

// waiter is a waiting request.
type waiter struct {
	slotRequest
	since  time.Time
	run    time.Duration // how long it is expected to hold its memory; set if requests of its service compete
	placed chan placed   // capacity 1

	predicted time.Duration // wait that was predicted on arrival; 0 if none
}

// placed ends the wait of a request.
type placed struct {
	grant grant
	err   error // why there is no grant; nil if there is one
}

// waitlist holds the waiting requests, ordered by priority and then by waiting time. It is not safe for concurrent use.
type waitlist struct {
	list []*waiter
}

func (l *waitlist) add(w *waiter) {
	at, _ := slices.BinarySearchFunc(l.list, w, func(a, b *waiter) int {
		if c := cmp.Compare(a.adm.Priority, b.adm.Priority); c != 0 {
			return c
		}
		if !a.since.After(b.since) {
			return -1
		}
		return 1
	})
	l.list = slices.Insert(l.list, at, w)
}

// count returns the number of waiting requests of a service.
func (l *waitlist) count(service string) int {
	n := 0
	for _, w := range l.list {
		if w.adm.Service.Name == service {
			n++
		}
	}
	return n
}

// any reports whether a request of a service waits.
func (l *waitlist) any(service string) bool {
	return slices.ContainsFunc(l.list, func(w *waiter) bool { return w.adm.Service.Name == service })
}

// smallest returns the least memory that a waiting request of a service needs, or zero if none waits.
func (l *waitlist) smallest(service string) int {
	least := 0
	for _, w := range l.list {
		if w.adm.Service.Name == service && (least == 0 || w.need.Tokens < least) {
			least = w.need.Tokens
		}
	}
	return least
}

// services returns the services of the waiting requests.
func (l *waitlist) services() []*route.Service {
	var list []*route.Service
	for _, w := range l.list {
		if len(list) > 0 && list[len(list)-1] == w.adm.Service || slices.Contains(list, w.adm.Service) {
			continue
		}
		list = append(list, w.adm.Service)
	}
	return list
}

// refuse ends the wait of each request for which why returns an error.
func (l *waitlist) refuse(why func(w *waiter) error) {
	l.list = slices.DeleteFunc(l.list, func(w *waiter) bool {
		err := why(w)
		if err != nil {
			w.placed <- placed{err: err}
		}
		return err != nil
	})
}

func (l *waitlist) remove(w *waiter) bool {
	i := slices.Index(l.list, w)
	if i < 0 {
		return false
	}
	l.list = slices.Delete(l.list, i, i+1)
	return true
}

// waitForSlot waits for a slot until req.until. It returns errNoServer, errNoCapacity, errQuarantined, a rateLimitedError, a turnError or the
// error of ctx.
func (rt *Runtime) waitForSlot(ctx context.Context, req slotRequest) (grant, error) {
	now := time.Now()
	rt.mu.Lock()
	shared := rt.demand.scarce(req.adm.Service, now)
	if shared == nil && !rt.waiting.blocks(req) {
		if g, ok := rt.tryGrant(req, now); ok {
			rt.mu.Unlock()
			return g, nil
		}
	}
	if err := cmp.Or(rt.limitedBeyond(req, false, now), rt.backoffBeyond(req, now)); err != nil {
		rt.mu.Unlock()
		return grant{}, err
	}
	waiter := &waiter{slotRequest: req, since: now, placed: make(chan placed, 1)}
	rt.waiting.add(waiter)
	if shared != nil {
		waiter.run = rt.runTime(req)
		rt.grantShared(req.adm.Service, shared, now)
		if err := rt.beyondTurn(req.adm.Service, shared, waiter, now); err != nil {
			rt.waiting.remove(waiter)
			rt.mu.Unlock()
			return grant{}, err
		}
	}
	rt.mu.Unlock()

	timer := time.NewTimer(time.Until(req.until))
	defer timer.Stop()
	var err error
	select {
	case p := <-waiter.placed:
		return p.grant, p.err
	case <-timer.C:
		err = rt.noSlotError(req)
	case <-ctx.Done():
		err = ctx.Err()
	}
	rt.mu.Lock()
	waits := rt.waiting.remove(waiter)
	rt.mu.Unlock()
	if !waits { // placed at the same moment
		p := <-waiter.placed
		if p.err != nil || ctx.Err() == nil {
			return p.grant, p.err
		}
		rt.release(p.grant)
	}
	return grant{}, err
}

// noSlotError returns why a request got no slot in time.
func (rt *Runtime) noSlotError(req slotRequest) error {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if len(rt.pool.Usable(req.adm.Service.Name, time.Now())) == 0 {
		return errNoServer
	}
	return errNoCapacity
}

// blocks reports whether a waiting request of the same service goes before req.
func (l *waitlist) blocks(req slotRequest) bool {
	for _, other := range l.list {
		if other.adm.Service.Name == req.adm.Service.Name && other.adm.Priority <= req.adm.Priority {
			return true
		}
	}
	return false
}

// grantWaiting places waiting requests in their order.
func (rt *Runtime) grantWaiting() {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if len(rt.waiting.list) == 0 {
		return
	}
	now := time.Now()
	shared := rt.grantScarce(now)
	rt.waiting.list = slices.DeleteFunc(rt.waiting.list, func(w *waiter) bool {
		if _, quarantined := rt.parts.Quarantined(w.adm.parts, now); quarantined {
			w.placed <- placed{err: errQuarantined}
			return true
		}
		if shared[w.adm.Service.Name] {
			return rt.endHopeless(w, now)
		}
		if g, ok := rt.tryGrant(w.slotRequest, now); ok {
			w.placed <- placed{grant: g}
			return true
		}
		return rt.endHopeless(w, now)
	})
}

// endHopeless ends the wait of a request that no server accepts in time, and reports whether it did.
func (rt *Runtime) endHopeless(w *waiter, now time.Time) bool {
	if err := cmp.Or(rt.limitedBeyond(w.slotRequest, true, now), rt.backoffBeyond(w.slotRequest, now)); err != nil {
		w.placed <- placed{err: err}
		return true
	}
	return false
}

// grantScarce places the waiting requests of the services whose memory is scarce, and returns these services.
func (rt *Runtime) grantScarce(now time.Time) map[string]bool {
	var shared map[string]bool
	for _, svc := range rt.waiting.services() {
		d := rt.demand.scarce(svc, now)
		if d == nil {
			continue
		}
		if shared == nil {
			shared = make(map[string]bool)
		}
		shared[svc.Name] = true
		rt.grantShared(svc, d, now)
	}
	return shared
}

// tryGrant chooses servers with capacity for a request and reserves it there. It reports false if there are none. The
// caller holds mu.
func (rt *Runtime) tryGrant(req slotRequest, now time.Time) (grant, bool) {
	if rt.awaitsFreshData(now) {
		return grant{}, false
	}
	svc := req.adm.Service
	servers, list := rt.candidates(svc, req.adm, req.exclude, now)
	choose := placement.ChooseCall
	if svc.Engine != nil {
		choose = func(list []placement.Candidate) int { return placement.Choose(list, req.need) }
	}
	at := choose(list)
	for at >= 0 && !rt.takeSend(req, servers[at], now) {
		list[at].Slots = 0 // the node has used up its share of the server's rate, or has no permit
		at = choose(list)
	}
	if at < 0 {
		return grant{}, false
	}
	g := grant{server: servers[at], need: req.need, seen: list[at].Load, seenAge: rt.loads.oldestReport(now)}
	rt.loads.addRun(g.server.ID, 1, req.need.Tokens)
	if svc.Engine == nil {
		return g, true
	}
	g.flow = rt.demand.recordGrant(req, now)
	g.prefillTokens = req.adm.Generation.PromptTokens
	rt.loads.addPrefill(g.server.ID, 1, g.prefillTokens)
	if req.copy {
		servers, list = rt.candidates(svc, nil, req.exclude, now)
		g.copy = rt.reserveCopy(servers, list, g, placement.ChooseCopy)
	}
	rt.signalLoads()
	return g, true
}

// chooser chooses the server for a copy of a run in a failure domain. It returns an index into list, or -1.
type chooser func(list []placement.Candidate, domain string, need placement.Need) int

// reserveCopy chooses a server for a copy of a run and reserves the memory there. It returns nil if none has capacity.
// The caller holds mu.
func (rt *Runtime) reserveCopy(servers []backend.Server, list []placement.Candidate, g grant, choose chooser) *backend.Server {
	others := make([]placement.Candidate, 0, len(list))
	var index []int
	for i, s := range servers {
		if s.ID != g.server.ID {
			others = append(others, list[i])
			index = append(index, i)
		}
	}
	c := choose(others, g.server.Domain, g.need)
	if c < 0 {
		return nil
	}
	srv := servers[index[c]]
	rt.loads.addCopy(srv.ID, 1, g.need.Tokens)
	return &srv
}

// release returns a slot.
func (rt *Runtime) release(g grant) {
	rt.mu.Lock()
	rt.loads.addRun(g.server.ID, -1, g.need.Tokens)
	rt.loads.addPrefill(g.server.ID, -1, g.prefillTokens)
	g.flow.addRunning(-g.need.Tokens)
	if g.copy != nil {
		rt.loads.addCopy(g.copy.ID, -1, g.need.Tokens)
	}
	rt.mu.Unlock()
	rt.grantWaiting()
}

// mayUse reports whether a server may still receive a request that continues a run there. That may have changed since it
// was chosen.
func (rt *Runtime) mayUse(srv backend.Server) bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.pool.MayUse(srv, time.Now())
}

// mayStart reports whether the server of a slot may still receive new work.
func (rt *Runtime) mayStart(srv backend.Server) bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	now := time.Now()
	return !rt.awaitsFreshData(now) && rt.pool.MayUse(srv, now) && !now.Before(rt.loads.backoffUntil[srv.ID])
}

// markFull skips a server for a moment after it refused work for lack of capacity.
func (rt *Runtime) markFull(srv backend.Server) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.loads.fullUntil[srv.ID] = time.Now().Add(fullPeriod)
}
