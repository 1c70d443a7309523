package membership

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// This file defines State, which turns the store's list, heartbeats and the platform's list into views.

// Update is one change of the store's list.
type Update struct {
	Node    Node `json:"node"`
	Deleted bool `json:"deleted,omitempty"` // only Node.Name is set
}

// Life names one life of a node, from one registration to the next.
type Incarnation struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
}

// State is the membership as one node knows it. It has no clock: callers pass the time. It is not safe for
// concurrent use.
type State struct {
	self     string
	ttl      time.Duration // of a lease; the list is stale when not confirmed for longer
	members  map[string]member
	revision uint64 // of the store, up to which members is complete
	// confirmed is when the store last vouched for the list.
	confirmed  time.Time
	deferUntil time.Time // removals before then wait
	leaseEnd   time.Time // until then the own lease surely holds
	epoch      uint64    // of the own registration, zero while there is none
	own        map[Incarnation]bool
	relayed    map[Incarnation]bool
	leaving    []string
	unable     []string       // sorted
	loads      map[string]int // not changed once set
}

// member is one listed node.
type member struct {
	Node
	gone bool // removed from the store's list while removals are deferred
}

// NewState returns the state of a node that knows of no other. The ttl is that of a member's lease.
func NewState(self string, ttl time.Duration) *State {
	return &State{
		self:    self,
		ttl:     ttl,
		members: make(map[string]member),
		own:     make(map[Incarnation]bool),
		relayed: make(map[Incarnation]bool),
	}
}

// Revision returns the store's revision up to which the list is complete.
func (s *State) Revision() uint64 { return s.revision }

// Confirmed returns when the store last vouched for the list.
func (s *State) ConfirmedAt() time.Time { return s.confirmed }

// Deferred returns the time until which removals wait.
func (s *State) DeferredUntil() time.Time { return s.deferUntil }

// Replace takes a whole list as of a revision. An older list than the one held is ignored.
func (s *State) Replace(now time.Time, nodes []Node, revision uint64) {
	if revision < s.revision {
		return
	}
	s.revision = revision
	listed := make(map[string]bool, len(nodes))
	for _, n := range nodes {
		listed[n.Name] = true
		s.put(n)
	}
	for _, name := range slices.Sorted(maps.Keys(s.members)) {
		if !listed[name] {
			s.remove(now, name)
		}
	}
}

// Apply takes the changes that lead from the held revision to a later one. Changes that lead to an older
// revision are ignored.
func (s *State) Apply(now time.Time, updates []Update, revision uint64) {
	if revision < s.revision {
		return
	}
	s.revision = revision
	for _, u := range updates {
		if u.Deleted {
			s.remove(now, u.Node.Name)
		} else {
			s.put(u.Node)
		}
	}
}

func (s *State) put(n Node) {
	old, known := s.members[n.Name]
	if known && n.Epoch < old.Epoch {
		return
	}
	if known && n.Epoch != old.Epoch {
		s.forget(old.Node)
	}
	s.members[n.Name] = member{Node: n}
}

// Removes a member, or notes that it has gone while removals wait.
func (s *State) remove(now time.Time, name string) {
	m, ok := s.members[name]
	if !ok {
		return
	}
	if now.Before(s.deferUntil) {
		m.gone = true
		s.members[name] = m
		return
	}
	s.forget(m.Node)
	delete(s.members, name)
}

// Drops what heartbeats said of an ended life.
func (s *State) forget(n Node) {
	life := Incarnation{Name: n.Name, Epoch: n.Epoch}
	delete(s.own, life)
	delete(s.relayed, life)
}

// Confirm notes that the store vouched for the list at a time.
func (s *State) Confirm(at time.Time) {
	if at.After(s.confirmed) {
		s.confirmed = at
	}
}

// Defer makes removals wait until a time. After an outage that let leases lapse, live nodes are missing from
// the store's list until they have registered anew; heartbeats tell the dead ones meanwhile.
func (s *State) DeferRemovals(until time.Time) {
	if until.After(s.deferUntil) {
		s.deferUntil = until
	}
}

// Settle removes the members whose removal has waited long enough.
func (s *State) RemoveDeferred(now time.Time) {
	if now.Before(s.deferUntil) {
		return
	}
	for name, m := range s.members {
		if m.gone {
			s.forget(m.Node)
			delete(s.members, name)
		}
	}
}

// SetLease notes the own registration and the instant until which its lease surely holds. Epoch zero says
// that there is none.
func (s *State) SetLease(epoch uint64, end time.Time) {
	s.epoch = epoch
	s.leaseEnd = end
}

// Life returns the node's own life. Its epoch is zero while the node is not registered.
func (s *State) Incarnation() Incarnation { return Incarnation{Name: s.self, Epoch: s.epoch} }

// Superseded reports whether the store's list shows a later registration under the node's own name.
func (s *State) Superseded() bool {
	return s.epoch != 0 && s.members[s.self].Epoch > s.epoch
}

// Mark notes what this node itself found out about another one's reachability.
func (s *State) SetFoundUnreachable(life Incarnation, unreachable bool) {
	if unreachable && life.Name != s.self && s.members[life.Name].Epoch == life.Epoch {
		s.own[life] = true
	} else {
		delete(s.own, life)
	}
}

// Marks returns the nodes that this node itself found unreachable, sorted by name.
func (s *State) FoundUnreachable() []Incarnation { return sortedLives(s.own) }

// SetRelayed takes the nodes that others found unreachable, and reports whether they changed.
func (s *State) SetReportedUnreachable(lives []Incarnation) bool {
	next := make(map[Incarnation]bool, len(lives))
	for _, life := range lives {
		if life.Name != s.self {
			next[life] = true
		}
	}
	changed := !maps.Equal(next, s.relayed)
	s.relayed = next
	return changed
}

// Relayed returns the nodes that others found unreachable, sorted by name.
func (s *State) ReportedUnreachable() []Incarnation { return sortedLives(s.relayed) }

// SetUnable takes the names of the nodes that say they cannot serve, and reports whether they changed.
func (s *State) SetUnable(names []string) bool {
	sorted := slices.Compact(slices.Sorted(slices.Values(names)))
	changed := !slices.Equal(sorted, s.unable)
	s.unable = sorted
	return changed
}

// Unable returns the names of the nodes that say they cannot serve, sorted.
func (s *State) Unable() []string { return s.unable }

// SetLoads takes the loads of the own failure domain in percent. The map must not change afterwards.
func (s *State) SetLoads(loads map[string]int) { s.loads = loads }

// Loads returns what SetLoads took.
func (s *State) Loads() map[string]int { return s.loads }

// SetLeaving takes the names of the VMs that will go.
func (s *State) SetLeaving(names []string) {
	s.leaving = slices.Sorted(slices.Values(names))
}

// Leaving returns the names of the VMs that will go, sorted.
func (s *State) Leaving() []string { return s.leaving }

// Listed returns the nodes of the list, sorted by name, reachable or not.
func (s *State) Listed() []Node {
	nodes := make([]Node, 0, len(s.members))
	for _, m := range s.members {
		if !m.gone {
			nodes = append(nodes, m.Node)
		}
	}
	slices.SortFunc(nodes, byName)
	return nodes
}

// Member returns the listed node of a name.
func (s *State) Member(name string) (Node, bool) {
	m, ok := s.members[name]
	return m.Node, ok
}

// View returns the fleet as it stands at now.
func (s *State) View(now time.Time) *View {
	v := &View{
		Self:       s.self,
		Leaving:    s.leaving,
		Unable:     s.unable,
		Loads:      s.loads,
		StoreFresh: now.Sub(s.confirmed) <= s.ttl,
		SelfLeased: s.epoch != 0 && now.Before(s.leaseEnd) && !s.Superseded(),
		LeaseEnd:   s.leaseEnd,
		SelfEpoch:  s.epoch,
		Nodes:      make([]Node, 0, len(s.members)),
	}
	for name, m := range s.members {
		life := Incarnation{Name: name, Epoch: m.Epoch}
		n := m.Node
		n.Draining = n.Draining || v.IsLeaving(name)
		switch {
		case name == s.self && !v.SelfLeased:
		case s.own[life] || s.relayed[life]:
			v.Unreachable = append(v.Unreachable, n)
		default:
			v.Nodes = append(v.Nodes, n)
		}
	}
	slices.SortFunc(v.Nodes, byName)
	slices.SortFunc(v.Unreachable, byName)
	return v
}

// Equal reports whether two views say the same, but for loads and the end of the own lease.
func (v *View) Equal(o *View) bool {
	return v.StoreFresh == o.StoreFresh && v.SelfLeased == o.SelfLeased && v.SelfEpoch == o.SelfEpoch &&
		slices.Equal(v.Nodes, o.Nodes) && slices.Equal(v.Unreachable, o.Unreachable) &&
		slices.Equal(v.Leaving, o.Leaving) && slices.Equal(v.Unable, o.Unable)
}

func byName(a, b Node) int { return strings.Compare(a.Name, b.Name) }

func sortedLives(set map[Incarnation]bool) []Incarnation {
	lives := slices.Collect(maps.Keys(set))
	slices.SortFunc(lives, func(a, b Incarnation) int { return strings.Compare(a.Name, b.Name) })
	return lives
}
