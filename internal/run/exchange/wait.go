package exchange

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/placement"
)

// This file defines how requests wait for a place on a server.

// Errors of a wait.
var (
	errNoServer = errors.New("service has no usable server")
	errNoRoom   = errors.New("no server has room in time")
)

// want is what a request needs of a place.
type want struct {
	adm    *Admitted
	need   placement.Need
	copy   bool            // a second server is to keep a copy
	except map[string]bool // servers that were tried
}

// grant is a place: a server that counts the request in its load, and the server that keeps the copy, if any.
type grant struct {
	server backend.Server
	copy   *backend.Server
	need   placement.Need
	unread int // prompt tokens counted as not read yet
}

// waiter is a request that waits.
type waiter struct {
	want
	since   time.Time
	granted chan grant // capacity 1
}

// waitlist holds the waiting requests, the most urgent first and among equals the longest waiting. It has one
// owner.
type waitlist struct {
	list []*waiter
}

func (l *waitlist) add(w *waiter) {
	at, _ := slices.BinarySearchFunc(l.list, w, func(a, b *waiter) int {
		if c := cmp.Compare(a.adm.Urgency, b.adm.Urgency); c != 0 {
			return c
		}
		if !a.since.After(b.since) {
			return -1
		}
		return 1
	})
	l.list = slices.Insert(l.list, at, w)
}

func (l *waitlist) remove(w *waiter) bool {
	i := slices.Index(l.list, w)
	if i < 0 {
		return false
	}
	l.list = slices.Delete(l.list, i, i+1)
	return true
}

// Waits for a place until a time. Errors are errNoServer, errNoRoom and ctx's.
func (rt *Runtime) place(ctx context.Context, w want, until time.Time) (grant, error) {
	now := time.Now()
	rt.mu.Lock()
	if !rt.waiting.blocks(w) {
		if g, ok := rt.grant(w, now); ok {
			rt.mu.Unlock()
			return g, nil
		}
	}
	waiter := &waiter{want: w, since: now, granted: make(chan grant, 1)}
	rt.waiting.add(waiter)
	rt.mu.Unlock()

	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	var err error
	select {
	case g := <-waiter.granted:
		return g, nil
	case <-timer.C:
		err = rt.whyNoPlace(w)
	case <-ctx.Done():
		err = ctx.Err()
	}
	rt.mu.Lock()
	waits := rt.waiting.remove(waiter)
	rt.mu.Unlock()
	if !waits { // granted at the same moment
		g := <-waiter.granted
		if ctx.Err() == nil {
			return g, nil
		}
		rt.giveBack(g)
	}
	return grant{}, err
}

// Returns why a request that waited in vain got no place.
func (rt *Runtime) whyNoPlace(w want) error {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if len(rt.pool.Usable(w.adm.Service.Name, time.Now())) == 0 {
		return errNoServer
	}
	return errNoRoom
}

// Reports whether a request of the same service that goes first waits.
func (l *waitlist) blocks(w want) bool {
	for _, other := range l.list {
		if other.adm.Service.Name == w.adm.Service.Name && other.adm.Urgency <= w.adm.Urgency {
			return true
		}
	}
	return false
}

// Grants places to waiting requests in their order.
func (rt *Runtime) wake() {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if len(rt.waiting.list) == 0 {
		return
	}
	now := time.Now()
	rt.waiting.list = slices.DeleteFunc(rt.waiting.list, func(w *waiter) bool {
		g, ok := rt.grant(w.want, now)
		if ok {
			w.granted <- g
		}
		return ok
	})
}

// Chooses servers for a request and counts them, when there is room. The caller holds mu.
func (rt *Runtime) grant(w want, now time.Time) (grant, bool) {
	svc := w.adm.Service
	servers, list := rt.candidates(svc, w.adm.ID, w.except, now)
	choose := placement.ChooseCall
	if svc.Engine != nil {
		choose = func(list []placement.Candidate) int { return placement.Choose(list, w.need) }
	}
	at := choose(list)
	for at >= 0 && !rt.paced(svc, servers[at], now) {
		list[at].Slots = 0 // has no room for this node now
		at = choose(list)
	}
	if at < 0 {
		return grant{}, false
	}
	g := grant{server: servers[at], need: w.need}
	rt.book.run(g.server.ID, 1, w.need.Tokens)
	if svc.Engine == nil {
		return g, true
	}
	g.unread = w.adm.Generation.PromptTokens
	rt.book.reading(g.server.ID, 1, g.unread)
	if w.copy {
		servers, list = rt.candidates(svc, "", w.except, now)
		g.copy = rt.bookCopy(servers, list, g, placement.ChooseCopy)
	}
	rt.placed()
	return g, true
}

// chooser chooses the server for a copy of a run in a failure domain.
type chooser func(list []placement.Candidate, domain string, need placement.Need) int

// Chooses a server for a copy of a run, and counts it there. It returns nil when none has room. The caller holds mu.
func (rt *Runtime) bookCopy(servers []backend.Server, list []placement.Candidate, g grant, choose chooser) *backend.Server {
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
	rt.book.copy(srv.ID, 1, g.need.Tokens)
	return &srv
}

// Gives a place back.
func (rt *Runtime) giveBack(g grant) {
	rt.mu.Lock()
	rt.book.run(g.server.ID, -1, g.need.Tokens)
	rt.book.reading(g.server.ID, -1, g.unread)
	if g.copy != nil {
		rt.book.copy(g.copy.ID, -1, g.need.Tokens)
	}
	rt.mu.Unlock()
	rt.wake()
}

// Reports whether the server of a place may still get the request, since it waited or was chosen a moment ago.
func (rt *Runtime) mayUse(srv backend.Server) bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.pool.MayUse(srv, time.Now())
}

// Passes a server over for a moment that refused work for lack of room.
func (rt *Runtime) markFull(srv backend.Server) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.book.full[srv.ID] = time.Now().Add(fullFor)
}
