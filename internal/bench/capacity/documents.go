package capacity

import (
	"context"
	"time"
)

// This file defines what is measured on documents of several sizes.

// documentShape is the fleet on which documents of several sizes are spread.
var documentShape = Shape{Domains: 2, PerDomain: 16}

// documentShares are the parts of the target's servers and accounts that are measured, in quarters.
var documentShares = []int{1, 2, 4}

// documentSamples are the figures of documents by number of client accounts, with servers in proportion.
type documentSamples struct {
	wholeCopy, smallCopy, smallRelay *samples // bytes
	spread, core, heap               *samples
	storeReads                       *samples
}

func newDocumentSamples() *documentSamples {
	const per = "client accounts, with servers in proportion"
	return &documentSamples{
		wholeCopy:  newSamples("bytes of both documents, sent whole to a follower that holds none", "B", per),
		smallCopy:  newSamples("bytes of a change of one server and one account at a follower", "B", per),
		smallRelay: newSamples("bytes of a change of one server and one account at a relay of 16 nodes, the mean with the reader", "B", per),
		spread:     newSamples("time until new documents are in force on all nodes", "ms", per),
		core:       newSamples("processor time of new documents", "ms a node", per),
		heap:       newSamples("memory of the documents in force and the ones kept for others", "B a node", per),
		storeReads: newSamples("lists read from the store for new documents", "calls", per),
	}
}

// Spreads documents of several sizes over a fleet.
func (m *measurer) documents(ctx context.Context, s *documentSamples) error {
	for _, quarters := range documentShares {
		servers, accounts := Target.Servers*quarters/4, Target.Accounts*quarters/4
		m.progress("documents of %d servers and %d accounts", servers, accounts)
		if err := m.documentSize(ctx, s, servers, accounts); err != nil {
			return err
		}
	}
	return nil
}

func (m *measurer) documentSize(ctx context.Context, s *documentSamples, servers, accounts int) error {
	before := heapInUse()
	ctx, cancel := context.WithCancel(ctx)
	defer stopLab(cancel)
	l, err := m.startAtRest(ctx, documentShape)
	if err != nil {
		return err
	}
	start := l.usage()
	time.Sleep(m.effort.Window)
	rest := l.usage().since(start)
	// The first documents go whole, since no node holds any; the later ones differ in one server and account.
	whole, err := m.documentChange(ctx, l, s, rest, servers, accounts, 0)
	if err != nil {
		return err
	}
	s.wholeCopy.add(accounts, whole.follower)
	for i := range max(2, m.effort.Repeats) {
		small, err := m.documentChange(ctx, l, s, rest, servers, accounts, i+1)
		if err != nil {
			return err
		}
		s.smallCopy.add(accounts, small.follower)
		s.smallRelay.add(accounts, small.relay)
	}
	s.heap.add(accounts, float64(heapInUse()-before)/float64(documentShape.Nodes()))
	return nil
}

// copies is what one change of documents cost in bytes, in the mean.
type copies struct {
	relay, follower float64
}

// Puts new documents into force and notes what that cost.
func (m *measurer) documentChange(ctx context.Context, l *lab, s *documentSamples, rest difference, servers, accounts, change int) (copies, error) {
	b, k := documents(servers, accounts, change)
	if err := l.prepare(ctx, b, k); err != nil {
		return copies{}, err
	}
	start := l.usage()
	if err := l.change(ctx); err != nil {
		return copies{}, err
	}
	took, err := l.spreadTime(ctx)
	if err != nil {
		return copies{}, err
	}
	time.Sleep(m.effort.Window / 4)
	used := l.usage().since(start)
	extra := used.beyond(rest)
	var relays, followers []float64
	for i, n := range l.nodes {
		if n.isRelay() {
			relays = append(relays, extra.bytes[i])
		} else {
			followers = append(followers, extra.bytes[i])
		}
	}
	s.spread.add(accounts, milliseconds(took))
	s.core.add(accounts, extra.core.Seconds()*1000/float64(len(l.nodes)))
	s.storeReads.add(accounts, used.lists)
	return copies{relay: mean(relays), follower: mean(followers)}, nil
}
