// Package backend decides which backend servers may receive new work.
//
// Servers register in the store. They leave by reporting that they drain, or by the removal of their entry. A Pool
// applies these events. A removal takes effect immediately, except when the entry expired while the store was
// unavailable: the server then stays in use for a grace period, since it registers again if it is running. A failure
// domain that operators evacuate receives no new work.
package backend

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// ExpiryGrace is how long after the store's return a server stays in use whose entry expired while the store was
// unavailable. The platform promises that a running server is listed again within two seconds of the store's return.
const ExpiryGrace = 1900 * time.Millisecond

// Server is one registration of a backend server.
type Server struct {
	ID        string
	Service   string
	Addr      netip.AddrPort
	Domain    string // failure domain
	Version   string // of its software
	Slots     int    // requests that it runs at a time
	Draining  bool
	ColdUntil time.Time // it handles less load until then
	StartedAt time.Time // another start under the same ID has none of the earlier state
}

// Cold reports whether the server is warming up.
func (s *Server) Cold(now time.Time) bool { return now.Before(s.ColdUntil) }

// member is a registered server.
type member struct {
	Server
	expires     time.Time // out of use from then on; zero while the store lists it
	saidLeaving bool      // the server itself said so
}

// Pool holds the registered servers. It is not safe for concurrent use.
type Pool struct {
	members   map[string]*member
	left      map[string]leftServer // recently removed, by ID
	evacuated map[string]bool       // by failure domain
}

// leftServer is a server that was removed.
type leftServer struct {
	startedAt   time.Time // of the server
	at          time.Time // of the removal
	saidLeaving bool      // the server itself said so
}

// leftTTL is how long a removed server is remembered, so that an earlier copy of the store does not bring it back.
const leftTTL = time.Minute

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{members: make(map[string]*member), left: make(map[string]leftServer), evacuated: make(map[string]bool)}
}

// Put records a registration.
func (p *Pool) Put(s Server) {
	m := &member{Server: s}
	if p.saidLeaving(s) {
		m.saidLeaving, m.Draining = true, true
	}
	p.members[s.ID] = m
	delete(p.left, s.ID)
}

// saidLeaving reports whether the server that registered as s said itself that it will stop. A removal does not take this back: an
// entry that was written before it can follow.
func (p *Pool) saidLeaving(s Server) bool {
	if m := p.members[s.ID]; m != nil {
		return m.saidLeaving && m.StartedAt.Equal(s.StartedAt)
	}
	l, ok := p.left[s.ID]
	return ok && l.saidLeaving && l.startedAt.Equal(s.StartedAt)
}

// Leave records that the server that registered as s says itself that it will stop. A later Put of the same start does not replace this.
func (p *Pool) Leave(s Server) {
	if m := p.members[s.ID]; m != nil && m.StartedAt.Equal(s.StartedAt) {
		m.saidLeaving, m.Draining = true, true
	}
}

// Remove takes a server out of use immediately.
func (p *Pool) Remove(id string, now time.Time) {
	m := p.members[id]
	if m == nil {
		return
	}
	delete(p.members, id)
	maps.DeleteFunc(p.left, func(_ string, l leftServer) bool { return now.Sub(l.at) > leftTTL })
	p.left[id] = leftServer{startedAt: m.StartedAt, at: now, saidLeaving: m.saidLeaving}
}

// Left reports whether a registration as s is from before the server was known to drain, or before it was removed.
func (p *Pool) Left(s Server, now time.Time) bool {
	if m := p.members[s.ID]; m != nil {
		return m.StartedAt.Equal(s.StartedAt) && (m.expired(now) || m.Draining && !s.Draining)
	}
	l, ok := p.left[s.ID]
	return ok && l.startedAt.Equal(s.StartedAt)
}

// Drain records that the server that registered as s will stop. A later Put replaces this.
func (p *Pool) Drain(s Server) {
	if m := p.members[s.ID]; m != nil && m.StartedAt.Equal(s.StartedAt) {
		m.Draining = true
	}
}

// Expire takes a server out of use at the end of ExpiryGrace unless Put records it again. The store has been available
// since returned.
func (p *Pool) Expire(id string, returned time.Time) {
	if m := p.members[id]; m != nil && m.expires.IsZero() {
		m.expires = returned.Add(ExpiryGrace)
	}
}

// Get returns the registration of a server, and whether there is one.
func (p *Pool) Get(id string) (Server, bool) {
	m := p.members[id]
	if m == nil {
		return Server{}, false
	}
	return m.Server, true
}

// At returns the server at an address, the one that started last if an earlier one is about to expire.
func (p *Pool) At(addr netip.AddrPort) (Server, bool) {
	var found Server
	for _, m := range p.members {
		if m.Addr == addr && (found.ID == "" || m.StartedAt.After(found.StartedAt)) {
			found = m.Server
		}
	}
	return found, found.ID != ""
}

// IDs returns the IDs of all servers, including those that are about to expire.
func (p *Pool) IDs() []string {
	ids := make([]string, 0, len(p.members))
	for id := range p.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// SetEvacuated sets whether a failure domain is evacuated and receives no new work.
func (p *Pool) SetEvacuated(domain string, on bool) {
	if on {
		p.evacuated[domain] = true
		return
	}
	delete(p.evacuated, domain)
}

// Evacuated reports whether a failure domain is evacuated.
func (p *Pool) Evacuated(domain string) bool { return p.evacuated[domain] }

// Usable returns the servers of a service that may receive new work, sorted by ID.
func (p *Pool) Usable(service string, now time.Time) []Server {
	var list []Server
	for id, m := range p.members {
		if m.expired(now) {
			p.Remove(id, now)
			continue
		}
		if m.Service == service && !m.Draining && !p.evacuated[m.Domain] {
			list = append(list, m.Server)
		}
	}
	slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// MayUse reports whether the server that registered as s may still receive new work.
func (p *Pool) MayUse(s Server, now time.Time) bool {
	m := p.members[s.ID]
	return m != nil && m.StartedAt.Equal(s.StartedAt) && !m.Draining && !m.expired(now) && !p.evacuated[m.Domain]
}

// Leaving reports whether the server that registered as s drains or has left.
func (p *Pool) Leaving(s Server, now time.Time) bool {
	m := p.members[s.ID]
	return m == nil || !m.StartedAt.Equal(s.StartedAt) || m.Draining || m.expired(now)
}

func (m *member) expired(now time.Time) bool { return !m.expires.IsZero() && !now.Before(m.expires) }
