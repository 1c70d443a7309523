// This file measures the distribution of configuration documents, bundle and keys, of several sizes.

package capacity

import (
	"context"
	"time"
)

// documentShape is the fleet that receives documents of several sizes.
var documentShape = Shape{Domains: 2, PerDomain: 16}

// documentShares are the measured shares of the target's servers and accounts, in quarters.
var documentShares = []int{1, 2, 4}

// documentSamples holds samples by number of client accounts, with servers in proportion.
type documentSamples struct {
	fullSync, deltaFollower, deltaRelay *samples // bytes
	spread, cpu, heap                   *samples
	storeReads                          *samples
}

func newDocumentSamples() *documentSamples {
	const per = "client accounts, with servers in proportion"
	return &documentSamples{
		fullSync:      newSamples("bytes of both documents, sent whole to a follower that holds none", "B", per),
		deltaFollower: newSamples("bytes of a change of one server and one account at a follower", "B", per),
		deltaRelay:    newSamples("bytes of a change of one server and one account at a relay of 16 nodes, the mean with the reader", "B", per),
		spread:        newSamples("time until new documents are in force on all nodes", "ms", per),
		cpu:           newSamples("processor time of new documents", "ms a node", per),
		heap:          newSamples("memory of the documents in force and the ones kept for others", "B a node", per),
		storeReads:    newSamples("lists read from the store for new documents", "calls", per),
	}
}

// measureDocuments measures the distribution of documents of several sizes.
func (m *measurer) measureDocuments(ctx context.Context, s *documentSamples) error {
	for _, quarters := range documentShares {
		servers, accounts := Target.Servers*quarters/4, Target.Accounts*quarters/4
		m.progress("documents of %d servers and %d accounts", servers, accounts)
		if err := m.measureDocumentSize(ctx, s, servers, accounts); err != nil {
			return err
		}
	}
	return nil
}

func (m *measurer) measureDocumentSize(ctx context.Context, s *documentSamples, servers, accounts int) error {
	before := heapInUse()
	ctx, cancel := context.WithCancel(ctx)
	defer stopHarness(cancel)
	h, err := m.startAtRest(ctx, documentShape)
	if err != nil {
		return err
	}
	start := h.usage()
	time.Sleep(m.effort.Window)
	rest := h.usage().since(start)
	// The nodes receive the first documents as a whole, since they hold none. Later documents differ in one server and
	// one account.
	full, err := m.measureDocumentChange(ctx, h, s, rest, servers, accounts, 0)
	if err != nil {
		return err
	}
	s.fullSync.add(accounts, full.follower)
	for i := range max(2, m.effort.Repeats) {
		delta, err := m.measureDocumentChange(ctx, h, s, rest, servers, accounts, i+1)
		if err != nil {
			return err
		}
		s.deltaFollower.add(accounts, delta.follower)
		s.deltaRelay.add(accounts, delta.relay)
	}
	s.heap.add(accounts, float64(heapInUse()-before)/float64(documentShape.Nodes()))
	return nil
}

// syncBytes is the mean number of bytes of a relay and of a follower for one change of documents.
type syncBytes struct {
	relay, follower float64
}

// measureDocumentChange puts new documents into force and measures the cost.
func (m *measurer) measureDocumentChange(ctx context.Context, h *harness, s *documentSamples, rest usageDelta, servers, accounts, change int) (syncBytes, error) {
	b, k := documents(servers, accounts, change)
	if err := h.writeDocuments(ctx, b, k); err != nil {
		return syncBytes{}, err
	}
	start := h.usage()
	if err := h.writeHead(ctx); err != nil {
		return syncBytes{}, err
	}
	took, err := h.awaitHead(ctx)
	if err != nil {
		return syncBytes{}, err
	}
	time.Sleep(m.effort.Window / 4)
	used := h.usage().since(start)
	extra := used.excessOver(rest)
	var relays, followers []float64
	for i, n := range h.nodes {
		if n.isRelay() {
			relays = append(relays, extra.bytes[i])
		} else {
			followers = append(followers, extra.bytes[i])
		}
	}
	s.spread.add(accounts, milliseconds(took))
	s.cpu.add(accounts, extra.cpu.Seconds()*1000/float64(len(h.nodes)))
	s.storeReads.add(accounts, used.lists)
	return syncBytes{relay: mean(relays), follower: mean(followers)}, nil
}
