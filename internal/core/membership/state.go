// This file defines State, which combines the store's list, heartbeats and the platform's list into views.

package membership

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Update is one change of the store's list.
type Update struct {
	Node    Node `json:"node"`
	Deleted bool `json:"deleted,omitempty"` // only Node.Name is set
}

// Incarnation identifies a node from one registration to the next.
type Incarnation struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
}

// State is one node's view of the membership while it changes. It has no clock: callers pass the time. It is not
// safe for concurrent use.
type State struct {
	self     string
	ttl      time.Duration // of a lease; a list that has not been confirmed for longer is stale
	members  map[string]member
	names    []string // of members, sorted; nil after a member was added or dropped
	revision uint64   // of the store, at which members is complete
	// confirmedAt is when the store last confirmed the list.
	confirmedAt time.Time
	deferUntil  time.Time            // removals before then are deferred
	leaseEnd    time.Time            // the own lease is valid until then at least
	epoch       uint64               // of the node's own registration; zero while there is none
	found       map[Incarnation]bool // unreachable by this node's own checks
	reported    map[Incarnation]bool // unreachable by the checks of others
	leaving     []string
	unable      []string       // sorted
	loads       map[string]int // never modified once set
}

// member is one listed node.
type member struct {
	Node
	removed  bool // the store's list no longer has it; the removal is deferred
	outdated bool // the store's list has an earlier registration of it
}

// NewState returns a state without members. The ttl is the duration of a member's lease.
func NewState(self string, ttl time.Duration) *State {
	return &State{
		self:     self,
		ttl:      ttl,
		members:  make(map[string]member),
		found:    make(map[Incarnation]bool),
		reported: make(map[Incarnation]bool),
	}
}

// Revision returns the store's revision at which the list is complete.
func (s *State) Revision() uint64 { return s.revision }

// ConfirmedAt returns when the store last confirmed the list.
func (s *State) ConfirmedAt() time.Time { return s.confirmedAt }

// DeferredUntil returns the time until which removals are deferred.
func (s *State) DeferredUntil() time.Time { return s.deferUntil }

// Replace replaces the list by the complete list at a revision. It ignores a list older than the current one.
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
	for _, name := range s.sortedNames() {
		if !listed[name] {
			s.remove(now, name)
		}
	}
}

// Apply applies the changes that lead from the current revision to a later one. It ignores changes that lead to an
// older revision.
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

// put adds or replaces a member, unless the list has a later registration of it.
func (s *State) put(n Node) {
	old, listed := s.members[n.Name]
	if listed && n.Epoch < old.Epoch {
		old.outdated = true
		s.members[n.Name] = old
		return
	}
	if listed && n.Epoch != old.Epoch {
		s.forget(old.Node)
	}
	if !listed {
		s.names = nil
	}
	s.members[n.Name] = member{Node: n}
}

// sortedNames returns the names of the members, sorted. Views are made far more often than members come and go.
func (s *State) sortedNames() []string {
	if s.names == nil {
		s.names = slices.Sorted(maps.Keys(s.members))
	}
	return s.names
}

// remove removes a member, or only marks it as removed while removals are deferred.
func (s *State) remove(now time.Time, name string) {
	m, ok := s.members[name]
	if !ok {
		return
	}
	if now.Before(s.deferUntil) {
		m.removed = true
		s.members[name] = m
		return
	}
	s.drop(m.Node)
}

// drop drops a member.
func (s *State) drop(n Node) {
	s.forget(n)
	delete(s.members, n.Name)
	s.names = nil
}

// forget drops the heartbeat results of a node's incarnation that has ended.
func (s *State) forget(n Node) {
	inc := Incarnation{Name: n.Name, Epoch: n.Epoch}
	delete(s.found, inc)
	delete(s.reported, inc)
}

// Confirm records that the store confirmed the list at a time.
func (s *State) Confirm(at time.Time) {
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// DeferRemovals defers removals until a time. After an outage in which leases expired, live nodes are missing from
// the store's list until they have registered again. Meanwhile heartbeats identify the failed ones.
func (s *State) DeferRemovals(until time.Time) {
	if until.After(s.deferUntil) {
		s.deferUntil = until
	}
}

// RemoveDeferred removes the members whose removal was deferred, once the time of DeferRemovals has passed.
func (s *State) RemoveDeferred(now time.Time) {
	if now.Before(s.deferUntil) {
		return
	}
	for _, m := range s.members {
		if m.removed {
			s.drop(m.Node)
		}
	}
}

// SetLease records the node's own registration and the time until which its lease is valid at least. Epoch zero
// means that the node is not registered.
func (s *State) SetLease(epoch uint64, end time.Time) {
	s.epoch = epoch
	s.leaseEnd = end
}

// Incarnation returns the node's own incarnation. Its epoch is zero while the node is not registered.
func (s *State) Incarnation() Incarnation { return Incarnation{Name: s.self, Epoch: s.epoch} }

// Superseded reports whether the store's list shows a later registration under the node's own name.
func (s *State) Superseded() bool {
	return s.epoch != 0 && s.members[s.self].Epoch > s.epoch
}

// SetFoundUnreachable records whether this node's own checks found another node unreachable.
func (s *State) SetFoundUnreachable(inc Incarnation, unreachable bool) {
	if unreachable && inc.Name != s.self && s.members[inc.Name].Epoch == inc.Epoch {
		s.found[inc] = true
	} else {
		delete(s.found, inc)
	}
}

// FoundUnreachable returns the nodes that this node's own checks found unreachable, sorted by name.
func (s *State) FoundUnreachable() []Incarnation { return sortedIncarnations(s.found) }

// SetReportedUnreachable replaces the nodes that others found unreachable, and reports whether they changed.
func (s *State) SetReportedUnreachable(incarnations []Incarnation) bool {
	next := make(map[Incarnation]bool, len(incarnations))
	for _, inc := range incarnations {
		if inc.Name != s.self {
			next[inc] = true
		}
	}
	changed := !maps.Equal(next, s.reported)
	s.reported = next
	return changed
}

// ReportedUnreachable returns the nodes that others found unreachable, sorted by name.
func (s *State) ReportedUnreachable() []Incarnation { return sortedIncarnations(s.reported) }

// SetUnable replaces the names of the nodes that report that they cannot serve, and reports whether they changed.
func (s *State) SetUnable(names []string) bool {
	sorted := slices.Compact(slices.Sorted(slices.Values(names)))
	changed := !slices.Equal(sorted, s.unable)
	s.unable = sorted
	return changed
}

// Unable returns the names of the nodes that report that they cannot serve, sorted.
func (s *State) Unable() []string { return s.unable }

// SetLoads replaces the loads of the nodes of the own failure domain, in percent by node name. The caller must not
// modify the map afterwards.
func (s *State) SetLoads(loads map[string]int) { s.loads = loads }

// Loads returns the loads that SetLoads set.
func (s *State) Loads() map[string]int { return s.loads }

// SetLeaving replaces the names of the VMs that the platform will stop.
func (s *State) SetLeaving(names []string) {
	s.leaving = slices.Sorted(slices.Values(names))
}

// Leaving returns the names of the VMs that the platform will stop, sorted.
func (s *State) Leaving() []string { return s.leaving }

// Listed returns the nodes of the list, sorted by name, reachable or not.
func (s *State) Listed() []Node {
	nodes := make([]Node, 0, len(s.members))
	for _, name := range s.sortedNames() {
		if m := s.members[name]; !m.removed {
			nodes = append(nodes, m.Node)
		}
	}
	return nodes
}

// Has reports whether the list has an incarnation of a node. A list that has an earlier one does not.
func (s *State) Has(inc Incarnation) bool {
	m, ok := s.members[inc.Name]
	return ok && m.Epoch == inc.Epoch && !m.removed && !m.outdated
}

// Member returns the member of that name, also while its removal is deferred.
func (s *State) Member(name string) (Node, bool) {
	m, ok := s.members[name]
	return m.Node, ok
}

// View returns the view of the fleet at now.
func (s *State) View(now time.Time) *View {
	v := &View{
		Self:       s.self,
		Leaving:    s.leaving,
		Unable:     s.unable,
		Loads:      s.loads,
		StoreFresh: now.Sub(s.confirmedAt) <= s.ttl,
		SelfLeased: s.epoch != 0 && now.Before(s.leaseEnd) && !s.Superseded(),
		LeaseEnd:   s.leaseEnd,
		SelfEpoch:  s.epoch,
		Nodes:      make([]Node, 0, len(s.members)),
	}
	for _, name := range s.sortedNames() {
		m := s.members[name]
		inc := Incarnation{Name: name, Epoch: m.Epoch}
		n := m.Node
		n.Draining = n.Draining || v.IsLeaving(name)
		switch {
		case name == s.self && !v.SelfLeased:
		case s.found[inc] || s.reported[inc]:
			v.Unreachable = append(v.Unreachable, n)
		default:
			v.Nodes = append(v.Nodes, n)
		}
	}
	return v
}

// Equal reports whether two views are equal, ignoring loads and the end of the own lease.
func (v *View) Equal(o *View) bool {
	return v.StoreFresh == o.StoreFresh && v.SelfLeased == o.SelfLeased && v.SelfEpoch == o.SelfEpoch &&
		slices.Equal(v.Nodes, o.Nodes) && slices.Equal(v.Unreachable, o.Unreachable) &&
		slices.Equal(v.Leaving, o.Leaving) && slices.Equal(v.Unable, o.Unable)
}

func byName(a, b Node) int { return strings.Compare(a.Name, b.Name) }

func sortedIncarnations(set map[Incarnation]bool) []Incarnation {
	incarnations := slices.Collect(maps.Keys(set))
	slices.SortFunc(incarnations, func(a, b Incarnation) int { return strings.Compare(a.Name, b.Name) })
	return incarnations
}
