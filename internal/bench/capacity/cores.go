// This file times the decision code of internal/core by size.

package capacity

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/entry"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/core/ownership"
)

// fleetSizes are the fleet sizes at which decisions are timed.
var fleetSizes = []int{8, 64, 330}

// minRunTime is the minimum duration of one timing.
const minRunTime = 60 * time.Millisecond

// timeOf returns the mean time of fn and the mean number of bytes that it allocates, over the runs that start within
// minRunTime.
func timeOf(fn func()) (time.Duration, float64) {
	fn()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	runs := 0
	for time.Since(start) < minRunTime {
		fn()
		runs++
	}
	took := time.Since(start)
	runtime.ReadMemStats(&after)
	return took / time.Duration(runs), float64(after.TotalAlloc-before.TotalAlloc) / float64(runs)
}

// decisionSamples holds timings of decisions that depend on the size of the fleet or of the configuration.
type decisionSamples struct {
	view, owners, subsets, choose *samples // by nodes
	assemble                      *samples // by accounts
	decide                        *samples // by running streams
	lengths                       *samples // by accounts
	ledgerWrites, ledgerBytes     *samples // by calls
	ledgerCPU                     *samples
}

func newDecisionSamples() *decisionSamples {
	return &decisionSamples{
		view:         newSamples("one change of membership in the core, to a new view", "ms", "nodes"),
		owners:       newSamples("owners of all servers and partitions after a change of membership", "ms", "nodes"),
		subsets:      newSamples("subsets of all servers after a change of membership", "ms", "nodes"),
		choose:       newSamples("one answer to a caller who asks for entry addresses", "µs", "nodes"),
		decide:       newSamples("admission and routing of one request, from offer to end", "µs", "streams running on the node"),
		lengths:      newSamples("memory of the length predictor", "B a node", "client accounts, two classes and one model each"),
		ledgerWrites: newSamples("store writes of one ledger partition", "1/s", "calls a second in the partition"),
		ledgerBytes:  newSamples("bytes that one ledger partition writes to the store", "B/s", "calls a second in the partition"),
		ledgerCPU:    newSamples("processor time of one ledger partition, without its store client", "ms/s", "calls a second in the partition"),
		assemble:     newSamples("assembling and indexing both documents", "ms", "client accounts, with servers in proportion"),
	}
}

func (m *measurer) timeDecisions(s *decisionSamples) error {
	m.progress("decision code")
	servers := make([]ownership.Server, Target.Servers)
	for i := range servers {
		servers[i] = ownership.Server{ID: fmt.Sprintf("engine-%03d", i), Region: fmt.Sprintf("r%d", i%Target.Regions)}
	}
	for _, size := range fleetSizes {
		for range m.effort.Repeats {
			m.timeFleetDecisions(s, size, servers)
		}
	}
	for range m.effort.Repeats {
		for _, streams := range streamSizes {
			took, err := decideTime(streams)
			if err != nil {
				return err
			}
			s.decide.add(streams, took)
		}
		for _, calls := range callRates {
			m.measureLedger(s, calls)
		}
		for _, quarters := range documentShares {
			s.lengths.add(Target.Accounts*quarters/4, predictorMemory(Target.Accounts*quarters/4))
		}
	}
	for _, quarters := range documentShares {
		servers, accounts := Target.Servers*quarters/4, Target.Accounts*quarters/4
		b, k := documents(servers, accounts, 1)
		parts, err := bundle.EncodeBundle(b)
		if err != nil {
			return err
		}
		keyParts := bundle.EncodeKeys(k)
		for range m.effort.Repeats {
			took, _ := timeOf(func() {
				b2, _ := bundle.AssembleBundle(b.ID, parts)
				k2, _ := bundle.AssembleKeys("", keyParts)
				bundle.NewInForce(bundle.Head{}, b2, k2)
			})
			s.assemble.add(accounts, milliseconds(took))
		}
	}
	return nil
}

func (m *measurer) timeFleetDecisions(s *decisionSamples, size int, servers []ownership.Server) {
	now := time.Unix(1000, 0)
	nodes := fleetOf(size)
	state := membership.NewState(nodes[0].Name, time.Minute)
	state.Replace(now, nodes, 1)
	revision := uint64(1)
	took, _ := timeOf(func() {
		revision++
		n := nodes[int(revision)%size]
		n.Epoch = revision
		state.Apply(now, []membership.Update{{Node: n}}, revision)
		state.View(now)
	})
	s.view.add(size, milliseconds(took))
	view := state.View(now)
	took, _ = timeOf(func() {
		for _, srv := range servers {
			ownership.Owner(view, ownership.KindServer, srv.ID, srv.Region)
		}
	})
	s.owners.add(size, milliseconds(took))
	took, _ = timeOf(func() { ownership.NewSubsets(view, servers, 0) })
	s.subsets.add(size, milliseconds(took))
	rng := rand.New(rand.NewPCG(1, 2))
	took, _ = timeOf(func() { entry.Choose(view, nil, entry.Query{Region: "r0", Self: nodes[0], SelfCanServe: true}, rng) })
	s.choose.add(size, float64(took)/float64(time.Microsecond))
}

// fleetOf returns the nodes of a fleet in the regions and failure domains of the target.
func fleetOf(size int) []membership.Node {
	nodes := make([]membership.Node, size)
	for i := range nodes {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i / 200), byte(i % 200)}), 7000)
		nodes[i] = membership.Node{
			Name: fmt.Sprintf("entry-%03d", i), Epoch: 1, Addr: addr, CallerAddr: addr,
			FailureDomain: fmt.Sprintf("d%d", i%Target.Domains),
			Region:        fmt.Sprintf("r%d", i%Target.Domains%Target.Regions),
		}
	}
	return nodes
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
