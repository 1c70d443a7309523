package rollout

import (
	"cmp"
	"slices"
	"time"

	"ebonyferry/internal/core/bundle"
)

const (
	// orderLifetime is the longest time that an order can be in transit. For that long after a takeover of the duty,
	// orders of the previous holder may still arrive. The new holder therefore sends none to engines that ignore fencing
	// numbers.
	orderLifetime = 10 * time.Second
	// loadTimeout is how long an ordered load counts as in progress while the engine does not report it.
	loadTimeout = 10 * time.Minute
)

// Pace limits the loads of model versions on engines.
type Pace struct {
	// Interval is the least time between two loads. It depends on the rate of the weight store.
	Interval time.Duration
	// Fraction is the largest fraction of a model's servers that may load at the same time. One server always may.
	Fraction float64
}

// DefaultPace applies if a bundle sets no pace.
var DefaultPace = Pace{Interval: 5 * time.Second, Fraction: 0.2}

// PaceOf returns the pace that a bundle sets.
func PaceOf(l bundle.Loads) Pace {
	p := DefaultPace
	if l.PerMinute > 0 {
		p.Interval = time.Minute / time.Duration(l.PerMinute)
	}
	if l.Percent > 0 {
		p.Fraction = float64(l.Percent) / 100
	}
	return p
}

// Order is an instruction to an engine to load or unload a version of a model.
type Order struct {
	Server bundle.Server
	Serve  bool // load and serve the version; otherwise unload it
	Model  bundle.ModelVersion
}

// loadKey identifies a load.
type loadKey struct {
	server string
	model  bundle.ModelVersion
}

// OrderPlanner plans the orders after which engines hold the versions that the bundle lists for them. Orders are
// idempotent, so an engine may receive one twice. One node at a time holds the duty to send orders. An OrderPlanner is
// not safe for concurrent use.
type OrderPlanner struct {
	since      time.Time             // when this node took over the duty
	pending    map[loadKey]time.Time // when each load in progress was ordered
	lastLoadAt time.Time             // when the last load was ordered
}

// NewOrderPlanner returns a planner for a node that took over the duty at since.
func NewOrderPlanner(since time.Time) *OrderPlanner {
	return &OrderPlanner{since: since, pending: make(map[loadKey]time.Time)}
}

// Plan returns the orders to send now. reports holds the versions that each engine reports, by server ID. An engine
// without an entry has not answered or does not manage versions, and gets no orders.
func (o *OrderPlanner) Plan(in *bundle.InForce, reports map[string][]bundle.ModelVersion, now time.Time) []Order {
	o.forgetFinished(reports, now)
	var orders []Order
	for _, s := range in.Bundle.Servers {
		loaded, known := reports[s.ID]
		if !known || s.Kind != bundle.KindEngine || !s.HonoursFencing && now.Sub(o.since) < orderLifetime {
			continue
		}
		missing := without(s.Models, loaded)
		for _, mv := range missing {
			if o.mayLoad(in, s, mv, now) {
				o.pending[loadKey{s.ID, mv}] = now
				o.lastLoadAt = now
				orders = append(orders, Order{Server: s, Serve: true, Model: mv})
			}
		}
		if len(missing) > 0 {
			continue
		}
		for _, mv := range without(loaded, s.Models) {
			orders = append(orders, Order{Server: s, Model: mv})
		}
	}
	return orders
}

// RecordFailure records that an engine did not accept an order. Plan then returns the order again.
func (o *OrderPlanner) RecordFailure(order Order) {
	delete(o.pending, loadKey{order.Server.ID, order.Model})
}

// forgetFinished removes the loads that engines report as loaded and those that are overdue.
func (o *OrderPlanner) forgetFinished(reports map[string][]bundle.ModelVersion, now time.Time) {
	for k, at := range o.pending {
		if slices.Contains(reports[k.server], k.model) || now.Sub(at) >= loadTimeout {
			delete(o.pending, k)
		}
	}
}

// mayLoad reports whether a load may start now.
func (o *OrderPlanner) mayLoad(in *bundle.InForce, s bundle.Server, mv bundle.ModelVersion, now time.Time) bool {
	pace := PaceOf(in.Bundle.Loads)
	if _, inProgress := o.pending[loadKey{s.ID, mv}]; inProgress || now.Sub(o.lastLoadAt) < pace.Interval {
		return false
	}
	servers, loading := 0, make(map[string]bool)
	for _, other := range in.Bundle.Servers {
		if slices.ContainsFunc(other.Models, func(m bundle.ModelVersion) bool { return m.Model == mv.Model }) {
			servers++
		}
	}
	for k := range o.pending {
		if k.model.Model == mv.Model {
			loading[k.server] = true
		}
	}
	return loading[s.ID] || len(loading) < max(1, int(pace.Fraction*float64(servers)))
}

// without returns the members of list that are not in remove, sorted.
func without(list, remove []bundle.ModelVersion) []bundle.ModelVersion {
	left := slices.DeleteFunc(slices.Clone(list), func(mv bundle.ModelVersion) bool { return slices.Contains(remove, mv) })
	slices.SortFunc(left, func(a, b bundle.ModelVersion) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return left
}

// Ready returns the fraction of the servers listed for a version that report it or do not manage versions. absent
// holds the servers that have not answered.
func Ready(in *bundle.InForce, mv bundle.ModelVersion, reports map[string][]bundle.ModelVersion, absent map[string]bool) float64 {
	listed, ready := 0, 0
	for _, s := range in.Engines(mv) {
		listed++
		loaded, manages := reports[s.ID]
		if !absent[s.ID] && (!manages || slices.Contains(loaded, mv)) {
			ready++
		}
	}
	if listed == 0 {
		return 0
	}
	return float64(ready) / float64(listed)
}
