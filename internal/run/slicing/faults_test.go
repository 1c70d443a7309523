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

type rig struct {
	view    *membership.View
	inForce *bundle.InForce
}

func (f *rig) View() *membership.View   { return f.view }
func (f *rig) InForce() *bundle.InForce { return f.inForce }

func (f *rig) members(names ...string) {
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

func (f *rig) servers(ids ...string) {
	var b bundle.Bundle
	for _, id := range ids {
		b.Servers = append(b.Servers, bundle.Server{
			ID: id, Kind: bundle.KindEngine, Region: "r", MaxStreams: 32, MemoryTokens: 1000,
		})
	}
	f.inForce = bundle.NewInForce(bundle.Head{Revision: 1}, b, bundle.Keys{})
}

func newRig(names ...string) (*rig, *Manager) {
	f := &rig{}
	f.members(names...)
	f.servers("s")
	m := New("a", nil, f, f, node.NewClient(node.Sender{Name: "a"}))
	m.assign()
	return f, m
}

// Puts the manager into the seat of server s with a record of these holders.
func (m *Manager) sitOn(holders ...slice.Process) *seat {
	s := &seat{
		server: "s", owner: slice.NewOwner(m.assigned.config["s"], 1, nil, time.Now()),
		record: slice.Record{Term: 1, Owner: m.self, Holders: holders},
		epoch:  1, newest: make(map[string]uint64), newcomers: make(map[slice.Process]bool),
	}
	for _, proc := range holders {
		s.meet(proc)
	}
	m.seats["s"] = s
	return s
}

// While a record is written that leaves a process out, that process gets nothing: once the record stands, the
// next owner does not know that the process may hold a slice.
func TestNoGrantToAProcessThatTheRecordBeingWrittenLeavesOut(t *testing.T) {
	f, m := newRig("a") // b does not use the server now
	a, b := slice.Process{Name: "a", Epoch: 1}, slice.Process{Name: "b", Epoch: 1}
	s := m.sitOn(a, b)
	m.mu.Lock()
	next := m.nextRecord(s) // without b, which holds nothing
	s.writing = &next
	m.mu.Unlock()
	f.members("a", "b") // b uses the server again, before the write is settled
	m.assign()
	msg := requestMessage{Epoch: 1, Servers: []requestItem{{"s", slice.Request{Want: slice.Amount{Streams: 8, Tokens: 8}}}}}
	got, err := m.handleRequest(context.Background(), node.Sender{Name: "b", Epoch: 1}, msg)
	if err != nil {
		t.Fatal(err)
	}
	for _, g := range got.Grants {
		if g.Amount != (slice.Amount{}) {
			t.Errorf("granted %v to a process that the record %v leaves out", g.Amount, next.Holders)
		}
	}
}

// The promise to refuse earlier terms of a server that the node does not use outlasts a change of the view.
func TestFollowingAServerThatIsNotUsedLasts(t *testing.T) {
	f, m := newRig("a")
	ctx := context.Background()
	if got, err := m.handleFollow(ctx, node.Sender{Name: "b"}, followMessage{"other", 5}); err != nil || !got.Follows {
		t.Fatalf("got %v and %v", got, err)
	}
	f.members("a", "b")
	m.assign()
	got, err := m.handleFollow(ctx, node.Sender{Name: "c"}, followMessage{"other", 3})
	if err != nil || got.Follows {
		t.Errorf("follows term 3 after term 5: got %v with error %v, want false", got.Follows, err)
	}
}

// A seat of a server that has left the configuration goes.
func TestSeatOfARemovedServerGoes(t *testing.T) {
	f, m := newRig("a")
	m.sitOn(slice.Process{Name: "a", Epoch: 1})
	f.servers("t")
	m.assign()
	m.mu.Lock()
	m.claiming["t"] = true
	m.mu.Unlock()
	m.keepTerms(t.Context())
	time.Sleep(100 * time.Millisecond)
	if got := m.Owned(); len(got) != 0 {
		t.Errorf("owned: got %v, want none", got)
	}
}
