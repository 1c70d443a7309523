package capacity

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/edge/kvstore"
)

// This file defines what is measured on fleets of several sizes.

// Effort says how long measurements take.
type Effort struct {
	Settle  time.Duration // after a start or a change
	Window  time.Duration // one observation at rest
	Repeats int
	Changes int // heads written in one observation of changes
}

// The efforts of the command. Quick is for trying the command out; its figures are too noisy for the page.
var (
	FullEffort  = Effort{Settle: 5 * time.Second, Window: 10 * time.Second, Repeats: 3, Changes: 20}
	QuickEffort = Effort{Settle: 3 * time.Second, Window: 2 * time.Second, Repeats: 1, Changes: 3}
)

// The fleets that are measured: by size of a failure domain, by number of domains, and by nodes.
var (
	shapesByPerDomain = []Shape{{2, 4}, {2, 16}, {2, 41}}
	shapesByDomains   = []Shape{{2, 4}, {4, 4}, {8, 4}}
	shapesByNodes     = []Shape{{2, 4}, {2, 16}, {8, 12}}
)

// commandText regenerates the page.
const commandText = "ferrybench capacity"

// Progress tells what is being measured.
type Progress func(format string, args ...any)

// measurer runs fleets and collects their figures.
type measurer struct {
	effort   Effort
	progress Progress

	relayBytes, relayDomains      *samples
	followerBytes                 *samples
	core, heap                    *samples
	reads, writes                 *samples
	markSpread, markCore          *samples
	markBytes, markReads          *samples
	joinBytes, joinTime, joinCore *samples
	deathNear, deathFar           *samples
	reportTime, reportBytes       *samples
}

func newMeasurer(effort Effort, progress Progress) *measurer {
	return &measurer{
		effort:        effort,
		progress:      progress,
		relayBytes:    newSamples("bytes of a relay at rest", "B/s", "nodes of its failure domain, 2 domains"),
		relayDomains:  newSamples("bytes of a relay at rest", "B/s", "failure domains of 4 nodes"),
		followerBytes: newSamples("bytes of a follower at rest", "B/s", "nodes of its failure domain, 2 domains"),
		core:          newSamples("processor time of membership and configuration at rest", "cores a node", "nodes"),
		heap:          newSamples("memory of membership and configuration without documents", "B a node", "nodes"),
		reads:         newSamples("store reads at rest", "1/s", "relays"),
		writes:        newSamples("store writes at rest", "1/s", "nodes"),
		markSpread:    newSamples("time until a mark is in force on all nodes", "ms", "nodes"),
		markCore:      newSamples("processor time of one mark", "ms a node", "nodes"),
		markBytes:     newSamples("bytes of one mark", "B a node", "nodes"),
		markReads:     newSamples("store reads of one mark", "calls", "relays"),
		joinBytes:     newSamples("bytes of one change of membership", "B a node", "nodes"),
		joinTime:      newSamples("time until all nodes see a new one", "ms", "nodes"),
		reportTime:    newSamples("time of one report of what is in force on all nodes", "ms", "nodes"),
		reportBytes:   newSamples("bytes of one report at the node that is asked", "B", "nodes"),
		deathNear:     newSamples("time until a node that falls silent is left out in its failure domain", "ms", "nodes"),
		deathFar:      newSamples("time until a node that falls silent is left out on all nodes", "ms", "nodes"),
		joinCore:      newSamples("processor time of one change of membership", "ms a node", "nodes"),
	}
}

// usage is what a fleet had used at one time.
type usage struct {
	at     time.Time
	core   time.Duration
	bytes  []int64 // by node
	counts map[kvstore.Kind]int
}

func (l *lab) usage() usage {
	u := usage{at: time.Now(), core: processorTime(), counts: make(map[kvstore.Kind]int)}
	for _, n := range l.nodes {
		u.bytes = append(u.bytes, n.wire.bytes.Load())
	}
	for kind, c := range l.store.Counts() {
		u.counts[kind] = c.Calls
	}
	return u
}

// difference is what a fleet used between two times.
type difference struct {
	time          time.Duration
	core          time.Duration
	bytes         []float64 // by node
	reads, writes float64
	lists         float64 // part of reads
}

func (u usage) since(old usage) difference {
	d := difference{time: u.at.Sub(old.at), core: u.core - old.core}
	for i := range u.bytes {
		d.bytes = append(d.bytes, float64(u.bytes[i]-old.bytes[i]))
	}
	for kind, n := range u.counts {
		calls := float64(n - old.counts[kind])
		if kind == kvstore.KindList {
			d.lists = calls
		}
		if kind.Writes() {
			d.writes += calls
		} else {
			d.reads += calls
		}
	}
	return d
}

// Starts a fleet that holds an empty configuration and lets it come to rest. The caller stops it by ctx, also
// after an error.
func (m *measurer) startAtRest(ctx context.Context, shape Shape) (*lab, error) {
	l, err := startLab(ctx, shape)
	if err != nil {
		return nil, err
	}
	if err := l.install(ctx, bundle.Canonical(bundle.Bundle{Author: "ana"}), bundle.Keys{}); err != nil {
		return nil, err
	}
	if _, err := l.spreadTime(ctx); err != nil {
		return nil, err
	}
	time.Sleep(m.effort.Settle)
	return l, nil
}

// Runs one fleet and collects its figures under every family that it belongs to.
func (m *measurer) fleet(ctx context.Context, shape Shape) error {
	m.progress("fleet of %d failure domains with %d nodes each", shape.Domains, shape.PerDomain)
	before := heapInUse()
	ctx, cancel := context.WithCancel(ctx)
	defer stopLab(cancel)
	l, err := m.startAtRest(ctx, shape)
	if err != nil {
		return err
	}
	var rest difference
	for range m.effort.Repeats {
		start := l.usage()
		time.Sleep(m.effort.Window)
		rest = l.usage().since(start)
		m.atRest(l, rest)
		m.heap.addIf(shapesByNodes, shape, float64(heapInUse()-before)/float64(shape.Nodes()))
	}
	for range m.effort.Repeats {
		if err := m.marks(ctx, l, rest); err != nil {
			return err
		}
		if err := m.joins(ctx, l, rest); err != nil {
			return err
		}
		if err := m.death(ctx, l); err != nil {
			return err
		}
	}
	return nil
}

// stopTime is how long the goroutines of a stopped fleet may take to end.
const stopTime = time.Second

func stopLab(cancel context.CancelFunc) {
	cancel()
	time.Sleep(stopTime)
}

// Adds a sample by number of nodes when the shape belongs to the family.
func (s *samples) addIf(family []Shape, shape Shape, value float64) {
	for _, member := range family {
		if member == shape {
			s.add(shape.Nodes(), value)
		}
	}
}

// Notes what one window at rest cost.
func (m *measurer) atRest(l *lab, d difference) {
	seconds := d.time.Seconds()
	var relays, followers []float64
	for i, n := range l.nodes {
		if n.isRelay() {
			relays = append(relays, d.bytes[i]/seconds)
		} else {
			followers = append(followers, d.bytes[i]/seconds)
		}
	}
	if inFamily(shapesByPerDomain, l.shape) {
		m.relayBytes.add(l.shape.PerDomain, mean(relays))
		m.followerBytes.add(l.shape.PerDomain, mean(followers))
	}
	if inFamily(shapesByDomains, l.shape) {
		m.relayDomains.add(l.shape.Domains, mean(relays))
		m.reads.add(len(relays), d.reads/seconds)
	}
	m.core.addIf(shapesByNodes, l.shape, d.core.Seconds()/seconds/float64(l.shape.Nodes()))
	m.writes.addIf(shapesByNodes, l.shape, d.writes/seconds)
}

// Writes heads one after the other and notes what each costs beyond the cost at rest.
func (m *measurer) marks(ctx context.Context, l *lab, rest difference) error {
	start := l.usage()
	for range m.effort.Changes {
		if err := l.change(ctx); err != nil {
			return err
		}
		took, err := l.spreadTime(ctx)
		if err != nil {
			return err
		}
		m.markSpread.addIf(shapesByNodes, l.shape, float64(took)/float64(time.Millisecond))
		time.Sleep(50 * time.Millisecond)
	}
	extra := l.usage().since(start).beyond(rest)
	m.report(ctx, l, rest)
	perNode := float64(m.effort.Changes * l.shape.Nodes())
	m.markCore.addIf(shapesByNodes, l.shape, extra.core.Seconds()*1000/perNode)
	m.markBytes.addIf(shapesByNodes, l.shape, sum(extra.bytes)/perNode)
	if inFamily(shapesByDomains, l.shape) {
		relays := membership.RelaysPerDomain * l.shape.Domains
		m.markReads.add(relays, extra.reads/float64(m.effort.Changes))
	}
	return nil
}

// Asks a node for the report of what is in force everywhere.
func (m *measurer) report(ctx context.Context, l *lab, rest difference) {
	start := l.usage()
	l.nodes[0].intent.InForceReport(ctx, l.head.Revision)
	extra := l.usage().since(start).beyond(rest)
	m.reportTime.addIf(shapesByNodes, l.shape, milliseconds(extra.time))
	m.reportBytes.addIf(shapesByNodes, l.shape, extra.bytes[0])
}

// Lets a node join and leave, and notes what one such change costs.
func (m *measurer) joins(ctx context.Context, l *lab, rest difference) error {
	if !inFamily(shapesByNodes, l.shape) {
		return nil
	}
	start := l.usage()
	began := time.Now()
	n, err := l.startNode(ctx, l.freshName(), "d0")
	if err != nil {
		return err
	}
	count := len(l.nodes)
	if err := l.awaitSeen(ctx, n.self.Name, true, l.nodes); err != nil {
		return err
	}
	m.joinTime.add(l.shape.Nodes(), float64(time.Since(began))/float64(time.Millisecond))
	if err := n.fleet.Leave(ctx); err != nil {
		return err
	}
	n.cancel()
	if err := l.awaitSeen(ctx, n.self.Name, false, l.nodes); err != nil {
		return err
	}
	time.Sleep(m.effort.Window / 4)
	const changes = 2 // one node joined and left
	extra := l.usage().since(start).beyond(rest)
	m.joinBytes.add(l.shape.Nodes(), sum(extra.bytes)/changes/float64(count))
	m.joinCore.add(l.shape.Nodes(), extra.core.Seconds()*1000/changes/float64(count))
	return nil
}

// Silences a node that all see, and notes when the others leave it out.
func (m *measurer) death(ctx context.Context, l *lab) error {
	if !inFamily(shapesByNodes, l.shape) {
		return nil
	}
	n, err := l.startNode(ctx, l.freshName(), "d0")
	if err != nil {
		return err
	}
	if err := l.awaitSeen(ctx, n.self.Name, true, l.nodes); err != nil {
		return err
	}
	time.Sleep(m.effort.Settle / 3)
	began := time.Now()
	n.wire.silent.Store(true)
	defer n.wire.silent.Store(false)
	defer n.cancel()
	var near []*labNode
	for _, o := range l.nodes {
		if o.self.FailureDomain == n.self.FailureDomain {
			near = append(near, o)
		}
	}
	if err := l.awaitSeen(ctx, n.self.Name, false, near); err != nil {
		return err
	}
	m.deathNear.add(l.shape.Nodes(), milliseconds(time.Since(began)))
	if err := l.awaitSeen(ctx, n.self.Name, false, l.nodes); err != nil {
		return err
	}
	m.deathFar.add(l.shape.Nodes(), milliseconds(time.Since(began)))
	return nil
}

// Waits until nodes see the one of that name, or do not.
func (l *lab) awaitSeen(ctx context.Context, name string, seen bool, nodes []*labNode) error {
	return awaitAll(ctx, nodes, func(o *labNode) bool {
		_, ok := o.fleet.View().Node(name)
		return ok == seen
	})
}

// Returns a name that no node of the lab has had.
func (l *lab) freshName() string {
	l.extra++
	return fmt.Sprintf("extra%02d", l.extra)
}

// Returns what d cost beyond what the same time at rest costs, never less than nothing.
func (d difference) beyond(rest difference) difference {
	share := d.time.Seconds() / rest.time.Seconds()
	extra := difference{
		time:  d.time,
		core:  max(0, d.core-time.Duration(float64(rest.core)*share)),
		reads: max(0, d.reads-rest.reads*share),
	}
	for i := range d.bytes {
		extra.bytes = append(extra.bytes, max(0, d.bytes[i]-rest.bytes[i]*share))
	}
	return extra
}

// Returns the heap and the stacks in use after a collection, in bytes.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

func inFamily(family []Shape, shape Shape) bool {
	for _, member := range family {
		if member == shape {
			return true
		}
	}
	return false
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

func mean(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	return sum(values) / float64(len(values))
}
