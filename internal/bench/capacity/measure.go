// This file measures fleets of several sizes.

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

// Effort determines the duration of measurements.
type Effort struct {
	Settle  time.Duration // wait after a start or a change
	Window  time.Duration // duration of one observation at rest
	Repeats int
	Changes int // number of heads written in one observation of changes
}

// The efforts of the command. QuickEffort is for trials of the command: its figures are too noisy for the page.
var (
	FullEffort  = Effort{Settle: 5 * time.Second, Window: 10 * time.Second, Repeats: 3, Changes: 20}
	QuickEffort = Effort{Settle: 3 * time.Second, Window: 2 * time.Second, Repeats: 1, Changes: 3}
)

// The measured fleets. They vary the size of a failure domain, the number of failure domains, and the number of nodes.
var (
	shapesByPerDomain = []Shape{{2, 4}, {2, 16}, {2, 41}}
	shapesByDomains   = []Shape{{2, 4}, {4, 4}, {8, 4}}
	shapesByNodes     = []Shape{{2, 4}, {2, 16}, {8, 12}}
)

// commandText is the command that regenerates the page.
const commandText = "ferrybench capacity"

// Progress reports what is being measured.
type Progress func(format string, args ...any)

// measurer runs fleets and collects samples.
type measurer struct {
	effort   Effort
	progress Progress

	relayBytes, relayBytesByDomains        *samples
	followerBytes                          *samples
	restCPU, restHeap                      *samples
	storeReads, storeWrites                *samples
	markSpread, markCPU                    *samples
	markBytes, markReads                   *samples
	joinBytes, joinTime, joinCPU           *samples
	detectionInDomain, detectionEverywhere *samples
	reportTime, reportBytes                *samples
}

func newMeasurer(effort Effort, progress Progress) *measurer {
	return &measurer{
		effort:              effort,
		progress:            progress,
		relayBytes:          newSamples("bytes of a relay at rest", "B/s", "nodes of its failure domain, 2 domains"),
		relayBytesByDomains: newSamples("bytes of a relay at rest", "B/s", "failure domains of 4 nodes"),
		followerBytes:       newSamples("bytes of a follower at rest", "B/s", "nodes of its failure domain, 2 domains"),
		restCPU:             newSamples("processor time of membership and configuration at rest", "cores a node", "nodes"),
		restHeap:            newSamples("memory of membership and configuration without documents", "B a node", "nodes"),
		storeReads:          newSamples("store reads at rest", "1/s", "relays"),
		storeWrites:         newSamples("store writes at rest", "1/s", "nodes"),
		markSpread:          newSamples("time until a mark is in force on all nodes", "ms", "nodes"),
		markCPU:             newSamples("processor time of one mark", "ms a node", "nodes"),
		markBytes:           newSamples("bytes of one mark", "B a node", "nodes"),
		markReads:           newSamples("store reads of one mark", "calls", "relays"),
		joinBytes:           newSamples("bytes of one change of membership", "B a node", "nodes"),
		joinTime:            newSamples("time until all nodes see a new one", "ms", "nodes"),
		reportTime:          newSamples("time of one report of what is in force on all nodes", "ms", "nodes"),
		reportBytes:         newSamples("bytes of one report at the node that is asked", "B", "nodes"),
		detectionInDomain:   newSamples("time until a node that falls silent is left out in its failure domain", "ms", "nodes"),
		detectionEverywhere: newSamples("time until a node that falls silent is left out on all nodes", "ms", "nodes"),
		joinCPU:             newSamples("processor time of one change of membership", "ms a node", "nodes"),
	}
}

// usage is the total use of resources by a fleet up to a time.
type usage struct {
	at     time.Time
	cpu    time.Duration
	bytes  []int64 // by node
	counts map[kvstore.Kind]int
}

func (h *harness) usage() usage {
	u := usage{at: time.Now(), cpu: processCPUTime(), counts: make(map[kvstore.Kind]int)}
	for _, n := range h.nodes {
		u.bytes = append(u.bytes, n.link.bytes.Load())
	}
	for kind, c := range h.store.Counts() {
		u.counts[kind] = c.Calls
	}
	return u
}

// usageDelta is the use of resources by a fleet between two times.
type usageDelta struct {
	time          time.Duration
	cpu           time.Duration
	bytes         []float64 // by node
	reads, writes float64
	lists         float64 // included in reads
}

func (u usage) since(old usage) usageDelta {
	d := usageDelta{time: u.at.Sub(old.at), cpu: u.cpu - old.cpu}
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

// startAtRest starts a fleet with an empty configuration and waits until it is at rest. The caller cancels ctx to stop
// it, also after an error.
func (m *measurer) startAtRest(ctx context.Context, shape Shape) (*harness, error) {
	h, err := startHarness(ctx, shape)
	if err != nil {
		return nil, err
	}
	if err := h.install(ctx, bundle.Canonical(bundle.Bundle{Author: "ana"}), bundle.Keys{}); err != nil {
		return nil, err
	}
	if _, err := h.awaitHead(ctx); err != nil {
		return nil, err
	}
	time.Sleep(m.effort.Settle)
	return h, nil
}

// measureFleet runs one fleet and adds samples for every family of shapes that it belongs to.
func (m *measurer) measureFleet(ctx context.Context, shape Shape) error {
	m.progress("fleet of %d failure domains with %d nodes each", shape.Domains, shape.PerDomain)
	before := heapInUse()
	ctx, cancel := context.WithCancel(ctx)
	defer stopHarness(cancel)
	h, err := m.startAtRest(ctx, shape)
	if err != nil {
		return err
	}
	var rest usageDelta
	for range m.effort.Repeats {
		start := h.usage()
		time.Sleep(m.effort.Window)
		rest = h.usage().since(start)
		m.recordRest(h, rest)
		m.restHeap.addIf(shapesByNodes, shape, float64(heapInUse()-before)/float64(shape.Nodes()))
	}
	for range m.effort.Repeats {
		if err := m.measureMarks(ctx, h, rest); err != nil {
			return err
		}
		if err := m.measureJoin(ctx, h, rest); err != nil {
			return err
		}
		if err := m.measureFailure(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

// stopTime is the time given to the goroutines of a stopped fleet to end.
const stopTime = time.Second

func stopHarness(cancel context.CancelFunc) {
	cancel()
	time.Sleep(stopTime)
}

// addIf adds a sample by number of nodes if the shape belongs to the family.
func (s *samples) addIf(family []Shape, shape Shape, value float64) {
	for _, member := range family {
		if member == shape {
			s.add(shape.Nodes(), value)
		}
	}
}

// recordRest adds the samples of one window at rest.
func (m *measurer) recordRest(h *harness, d usageDelta) {
	seconds := d.time.Seconds()
	var relays, followers []float64
	for i, n := range h.nodes {
		if n.isRelay() {
			relays = append(relays, d.bytes[i]/seconds)
		} else {
			followers = append(followers, d.bytes[i]/seconds)
		}
	}
	if inFamily(shapesByPerDomain, h.shape) {
		m.relayBytes.add(h.shape.PerDomain, mean(relays))
		m.followerBytes.add(h.shape.PerDomain, mean(followers))
	}
	if inFamily(shapesByDomains, h.shape) {
		m.relayBytesByDomains.add(h.shape.Domains, mean(relays))
		m.storeReads.add(len(relays), d.reads/seconds)
	}
	m.restCPU.addIf(shapesByNodes, h.shape, d.cpu.Seconds()/seconds/float64(h.shape.Nodes()))
	m.storeWrites.addIf(shapesByNodes, h.shape, d.writes/seconds)
}

// measureMarks writes heads one after the other and adds samples of their cost beyond that at rest.
func (m *measurer) measureMarks(ctx context.Context, h *harness, rest usageDelta) error {
	start := h.usage()
	for range m.effort.Changes {
		if err := h.writeHead(ctx); err != nil {
			return err
		}
		took, err := h.awaitHead(ctx)
		if err != nil {
			return err
		}
		m.markSpread.addIf(shapesByNodes, h.shape, float64(took)/float64(time.Millisecond))
		time.Sleep(50 * time.Millisecond)
	}
	extra := h.usage().since(start).excessOver(rest)
	m.measureReport(ctx, h, rest)
	perNode := float64(m.effort.Changes * h.shape.Nodes())
	m.markCPU.addIf(shapesByNodes, h.shape, extra.cpu.Seconds()*1000/perNode)
	m.markBytes.addIf(shapesByNodes, h.shape, sum(extra.bytes)/perNode)
	if inFamily(shapesByDomains, h.shape) {
		relays := membership.RelaysPerDomain * h.shape.Domains
		m.markReads.add(relays, extra.reads/float64(m.effort.Changes))
	}
	return nil
}

// measureReport requests a report of the heads in force on all nodes from one node.
func (m *measurer) measureReport(ctx context.Context, h *harness, rest usageDelta) {
	start := h.usage()
	h.nodes[0].intent.InForceReport(ctx, h.head.Revision)
	extra := h.usage().since(start).excessOver(rest)
	m.reportTime.addIf(shapesByNodes, h.shape, milliseconds(extra.time))
	m.reportBytes.addIf(shapesByNodes, h.shape, extra.bytes[0])
}

// measureJoin adds samples of the cost of one change of membership: it makes a node join and leave.
func (m *measurer) measureJoin(ctx context.Context, h *harness, rest usageDelta) error {
	if !inFamily(shapesByNodes, h.shape) {
		return nil
	}
	start := h.usage()
	began := time.Now()
	n, err := h.startNode(ctx, h.unusedName(), "d0")
	if err != nil {
		return err
	}
	count := len(h.nodes)
	if err := h.awaitListed(ctx, n.self.Name, true, h.nodes); err != nil {
		return err
	}
	m.joinTime.add(h.shape.Nodes(), float64(time.Since(began))/float64(time.Millisecond))
	if err := n.fleet.Leave(ctx); err != nil {
		return err
	}
	n.cancel()
	if err := h.awaitListed(ctx, n.self.Name, false, h.nodes); err != nil {
		return err
	}
	time.Sleep(m.effort.Window / 4)
	const changes = 2 // one node joined and left
	extra := h.usage().since(start).excessOver(rest)
	m.joinBytes.add(h.shape.Nodes(), sum(extra.bytes)/changes/float64(count))
	m.joinCPU.add(h.shape.Nodes(), extra.cpu.Seconds()*1000/changes/float64(count))
	return nil
}

// measureFailure makes the link of a listed node hang, and measures the time until the others remove the node.
func (m *measurer) measureFailure(ctx context.Context, h *harness) error {
	if !inFamily(shapesByNodes, h.shape) {
		return nil
	}
	n, err := h.startNode(ctx, h.unusedName(), "d0")
	if err != nil {
		return err
	}
	if err := h.awaitListed(ctx, n.self.Name, true, h.nodes); err != nil {
		return err
	}
	time.Sleep(m.effort.Settle / 3)
	began := time.Now()
	n.link.hung.Store(true)
	defer n.link.hung.Store(false)
	defer n.cancel()
	var inDomain []*harnessNode
	for _, o := range h.nodes {
		if o.self.FailureDomain == n.self.FailureDomain {
			inDomain = append(inDomain, o)
		}
	}
	if err := h.awaitListed(ctx, n.self.Name, false, inDomain); err != nil {
		return err
	}
	m.detectionInDomain.add(h.shape.Nodes(), milliseconds(time.Since(began)))
	if err := h.awaitListed(ctx, n.self.Name, false, h.nodes); err != nil {
		return err
	}
	m.detectionEverywhere.add(h.shape.Nodes(), milliseconds(time.Since(began)))
	return nil
}

// awaitListed waits until nodes list the named node, or until they do not.
func (h *harness) awaitListed(ctx context.Context, name string, listed bool, nodes []*harnessNode) error {
	return awaitAll(ctx, nodes, func(o *harnessNode) bool {
		_, ok := o.fleet.View().Node(name)
		return ok == listed
	})
}

// unusedName returns a name that no node of the harness has had.
func (h *harness) unusedName() string {
	h.extraNodes++
	return fmt.Sprintf("extra%02d", h.extraNodes)
}

// excessOver returns the part of d that exceeds the use at rest in the same time, at least zero.
func (d usageDelta) excessOver(rest usageDelta) usageDelta {
	ratio := d.time.Seconds() / rest.time.Seconds()
	extra := usageDelta{
		time:  d.time,
		cpu:   max(0, d.cpu-time.Duration(float64(rest.cpu)*ratio)),
		reads: max(0, d.reads-rest.reads*ratio),
	}
	for i := range d.bytes {
		extra.bytes = append(extra.bytes, max(0, d.bytes[i]-rest.bytes[i]*ratio))
	}
	return extra
}

// heapInUse returns the heap and stack memory in use after a garbage collection, in bytes.
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
