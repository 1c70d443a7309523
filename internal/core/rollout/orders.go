package rollout

import (
	"cmp"
	"slices"
	"time"

	"ebonyferry/internal/core/bundle"
)

// This file defines which orders engines get, so that they hold the versions that the bundle lists for them.

const (
	// orderLife is how long an order of an earlier holder of the duty may still arrive: the longest time that one
	// is under way. Engines that ignore fencing numbers get none of the next holder's orders before.
	orderLifetime = 10 * time.Second
	// loadTimeout is how long an ordered load counts as under way when the engine does not report it.
	loadTimeout = 10 * time.Minute
)

// Pace bounds loads.
type Pace struct {
	// Interval is the least time between two loads, given by the weight store's rate.
	Interval time.Duration
	// Part is the largest part of a model's servers that load at one time; one server always may.
	Fraction float64
}

// DefaultPace is used where a bundle sets no other.
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

// Order is one order to an engine.
type Order struct {
	Server bundle.Server
	Serve  bool // load and serve, else unload
	Model  bundle.ModelVersion
}

// loadKey names one load.
type loadKey struct {
	server string
	model  bundle.ModelVersion
}

// Orders decides what engines are ordered to do. It states wanted ends, so that an order given twice does no
// harm. It is not safe for concurrent use.
type OrderPlanner struct {
	since        time.Time             // when this holder took the duty over
	loadsOrdered map[loadKey]time.Time // loads under way by when they were ordered
	lastLoadAt   time.Time             // when the last load was ordered
}

// NewOrders returns the decisions of a holder who took the duty over at a time.
func NewOrderPlanner(since time.Time) *OrderPlanner {
	return &OrderPlanner{since: since, loadsOrdered: make(map[loadKey]time.Time)}
}

// Plan returns the orders to give now. reports holds, by server ID, the versions that each engine reports; an
// engine that is not in it has not answered or does not manage versions, and gets none.
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
				o.loadsOrdered[loadKey{s.ID, mv}] = now
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

// Failed tells that an order was not taken, so that it is given again.
func (o *OrderPlanner) Failed(order Order) {
	delete(o.loadsOrdered, loadKey{order.Server.ID, order.Model})
}

// Forgets loads that are reported or overdue.
func (o *OrderPlanner) forgetFinished(reports map[string][]bundle.ModelVersion, now time.Time) {
	for k, at := range o.loadsOrdered {
		if slices.Contains(reports[k.server], k.model) || now.Sub(at) >= loadTimeout {
			delete(o.loadsOrdered, k)
		}
	}
}

// Reports whether a load may begin now.
func (o *OrderPlanner) mayLoad(in *bundle.InForce, s bundle.Server, mv bundle.ModelVersion, now time.Time) bool {
	pace := PaceOf(in.Bundle.Loads)
	if _, under := o.loadsOrdered[loadKey{s.ID, mv}]; under || now.Sub(o.lastLoadAt) < pace.Interval {
		return false
	}
	servers, loading := 0, make(map[string]bool)
	for _, other := range in.Bundle.Servers {
		if slices.ContainsFunc(other.Models, func(m bundle.ModelVersion) bool { return m.Model == mv.Model }) {
			servers++
		}
	}
	for k := range o.loadsOrdered {
		if k.model.Model == mv.Model {
			loading[k.server] = true
		}
	}
	return loading[s.ID] || len(loading) < max(1, int(pace.Fraction*float64(servers)))
}

// Returns the members of list that are not in remove, sorted.
func without(list, remove []bundle.ModelVersion) []bundle.ModelVersion {
	left := slices.DeleteFunc(slices.Clone(list), func(mv bundle.ModelVersion) bool { return slices.Contains(remove, mv) })
	slices.SortFunc(left, func(a, b bundle.ModelVersion) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return left
}

// Ready returns the part of the servers listed for a version that report it or do not manage versions. absent
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
