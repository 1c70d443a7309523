// Package backend decides which backend servers may get new work.
//
// Servers register themselves and leave: they say that they drain, or their entry goes. A Pool follows those
// events. An entry that lapsed while the store was away is kept for a grace, since its server registers again
// if it lives; every other removal counts at once. A failure domain that operators evacuate gets no new work.
package backend

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// ExpiryGrace is how long a server stays in use whose entry lapsed while the store was away. The platform
// promises that a live server is listed again within two seconds of the store's return.
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
	ColdUntil time.Time // it bears little until then
	StartedAt time.Time // its start; another start under the same ID knows nothing of the one before
}

// Cold reports whether the server is warming up.
func (s *Server) Cold(now time.Time) bool { return now.Before(s.ColdUntil) }

// member is a registered server.
type member struct {
	Server
	lapses time.Time // out of use from then on; zero while listed
}

// Pool holds the registered servers. It has one owner.
type Pool struct {
	members   map[string]*member
	evacuated map[string]bool // by failure domain
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{members: make(map[string]*member), evacuated: make(map[string]bool)}
}

// Put takes a registration.
func (p *Pool) Put(s Server) { p.members[s.ID] = &member{Server: s} }

// Remove takes a server out of use at once.
func (p *Pool) Remove(id string) { delete(p.members, id) }

// Expire takes a server out of use after ExpiryGrace unless it is put again.
func (p *Pool) Expire(id string, now time.Time) {
	if m := p.members[id]; m != nil && m.lapses.IsZero() {
		m.lapses = now.Add(ExpiryGrace)
	}
}

// IDs returns the IDs of all servers, those that lapse included.
func (p *Pool) IDs() []string {
	ids := make([]string, 0, len(p.members))
	for id := range p.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// SetEvacuated sets whether a failure domain gets no new work.
func (p *Pool) SetEvacuated(domain string, on bool) {
	if on {
		p.evacuated[domain] = true
		return
	}
	delete(p.evacuated, domain)
}

// Usable returns the servers of a service that may get new work, sorted by ID.
func (p *Pool) Usable(service string, now time.Time) []Server {
	var list []Server
	for id, m := range p.members {
		if m.lapsed(now) {
			delete(p.members, id)
			continue
		}
		if m.Service == service && !m.Draining && !p.evacuated[m.Domain] {
			list = append(list, m.Server)
		}
	}
	slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// MayUse reports whether the server that registered as s still may get new work.
func (p *Pool) MayUse(s Server, now time.Time) bool {
	m := p.members[s.ID]
	return m != nil && m.StartedAt.Equal(s.StartedAt) && !m.Draining && !m.lapsed(now) && !p.evacuated[m.Domain]
}

// Leaving reports whether the server that registered as s drains or is gone.
func (p *Pool) Leaving(s Server, now time.Time) bool {
	m := p.members[s.ID]
	return m == nil || !m.StartedAt.Equal(s.StartedAt) || m.Draining || m.lapsed(now)
}

func (m *member) lapsed(now time.Time) bool { return !m.lapses.IsZero() && !now.Before(m.lapses) }
