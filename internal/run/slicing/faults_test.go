package slicing

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/core/slice"
	"ebonyferry/internal/edge/node"
)

// fixture is the view and the configuration of the manager of node a.
type fixture struct {
	view    *membership.View
	inForce *bundle.InForce
}

func (f *fixture) View() *membership.View   { return f.view }
func (f *fixture) InForce() *bundle.InForce { return f.inForce }

func (f *fixture) members(names ...string) {
	v := &membership.View{
		Self: "a", StoreFresh: true, SelfLeased: true, LeaseEnd: time.Now().Add(time.Hour), SelfEpoch: 1,
	}
	for i, name := range names {
		v.Nodes = append(v.Nodes, membership.Node{
			Name: name, Epoch: 1, Region: "r", Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1),
		})
	}
	f.view = v
}

func (f *fixture) servers(ids ...string) {
	var b bundle.Bundle
	for _, id := range ids {
		b.Servers = append(b.Servers, bundle.Server{
			ID: id, Kind: bundle.KindEngine, Region: "r", MaxStreams: 32, MemoryTokens: 1000,
		})
	}
	f.inForce = bundle.NewInForce(bundle.Head{Revision: 1}, b, bundle.Keys{})
}

func newFixture(names ...string) (*fixture, *Manager) {
	f := &fixture{}
	f.members(names...)
	f.servers("s")
	m := New("a", nil, f, f, node.NewClient(node.Sender{Name: "a"}))
	m.updateAssignment()
	return f, m
}

// addTerm makes the manager the owner of server s, with a record that lists these holders.
func (m *Manager) addTerm(holders ...slice.Process) *serverTerm {
	s := &serverTerm{
		server: "s", owner: slice.NewOwner(m.assigned.config["s"], 1, nil, time.Now()),
		record: slice.Record{Term: 1, Owner: m.self, Holders: holders},
		epoch:  1, newestEpoch: make(map[string]uint64), unrecorded: make(map[slice.Process]bool),
	}
	for _, proc := range holders {
		s.noteProcess(proc)
	}
	m.terms["s"] = s
	return s
}

// While a record is being written that omits a process, that process gets no grant. Once the record is written, the next
// owner would not find out that the process may hold a slice.
func TestNoGrantToProcessMissingFromUnsettledRecord(t *testing.T) {
	f, m := newFixture("a") // b does not use the server now
	a, b := slice.Process{Name: "a", Epoch: 1}, slice.Process{Name: "b", Epoch: 1}
	s := m.addTerm(a, b)
	m.mu.Lock()
	next := m.updatedRecord(s) // without b, which holds nothing
	s.unsettled = &next
	m.mu.Unlock()
	f.members("a", "b") // b uses the server again before the outcome of the write is known
	m.updateAssignment()
	msg := requestMessage{Epoch: 1, Servers: []requestItem{{"s", slice.Request{Want: slice.Amount{Streams: 8, Tokens: 8}}}}}
	got, err := m.handleRequest(context.Background(), node.Sender{Name: "b", Epoch: 1}, msg)
	if err != nil {
		t.Fatal(err)
	}
	for _, g := range got.Grants {
		if g.Amount != (slice.Amount{}) {
			t.Errorf("granted %v to a process that is missing from record %v", g.Amount, next.Holders)
		}
	}
}

// The promise to refuse earlier terms of a server that the node does not use survives a change of the view.
func TestPromiseForUnusedServerSurvivesViewChange(t *testing.T) {
	f, m := newFixture("a")
	ctx := context.Background()
	if got, err := m.handleFollow(ctx, node.Sender{Name: "b"}, followMessage{"other", 5}); err != nil || !got.Follows {
		t.Fatalf("got %v and %v", got, err)
	}
	f.members("a", "b")
	m.updateAssignment()
	got, err := m.handleFollow(ctx, node.Sender{Name: "c"}, followMessage{"other", 3})
	if err != nil || got.Follows {
		t.Errorf("follows term 3 after term 5: got %v with error %v, want false", got.Follows, err)
	}
}

// The manager drops the term of a server that was removed from the configuration.
func TestTermOfRemovedServerIsDropped(t *testing.T) {
	f, m := newFixture("a")
	m.addTerm(slice.Process{Name: "a", Epoch: 1})
	f.servers("t")
	m.updateAssignment()
	m.mu.Lock()
	m.claiming["t"] = true // prevents a claim, which needs a store
	m.mu.Unlock()
	m.maintainTerms(t.Context())
	time.Sleep(100 * time.Millisecond)
	if got := m.Owned(); len(got) != 0 {
		t.Errorf("owned: got %v, want none", got)
	}
}
