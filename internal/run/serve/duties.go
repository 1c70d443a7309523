// This file defines how a gateway takes part in the singleton duties. Without them in the settings, nothing here has an effect.

package serve

import (
	"context"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"

	core "ebonyferry/internal/core/duty"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/core/scaling"
	"ebonyferry/internal/run/duty"
	"ebonyferry/internal/run/metrics"
)

// makeDuties creates the node's part in the duties of the settings.
func (g *Gateway) makeDuties() {
	d := g.cfg.Duties
	if !d.IsSet() || len(d.Held) == 0 {
		return
	}
	client := g.platform.Duties(d.Addr)
	if client == nil {
		return
	}
	cfg := duty.Config{
		Self: g.self.Name, LeaseTTL: d.LeaseTTL.Duration, Window: d.ReportWindow.Duration, Due: d.ReportDue.Duration, Tolerance: d.ReportTolerance,
		CallsPerSecond: d.CallsPerSecond,
	}
	for _, name := range d.Held {
		cfg.Held = append(cfg.Held, core.Kind(name))
	}
	g.duties = duty.New(cfg, g.store, g.mirror, dutyFleet{g}, client, g.peers, duty.WithLog(g.log), duty.WithDemands(g.serviceDemands, g.waitingDemand))
}

// serviceDemands returns what the placed requests take of the services whose numbers of servers are ordered.
func (g *Gateway) serviceDemands() []duty.Demand {
	var list []duty.Demand
	for _, d := range g.rt.Demands() {
		sc := d.Service.Scaling
		list = append(list, duty.Demand{
			Service: d.Service.Name, Limits: scaling.Limits{Min: sc.Min, Max: sc.Max, Boot: sc.Boot},
			Running: d.Running, Servers: d.Servers,
		})
	}
	return list
}

func (g *Gateway) waitingDemand() map[string]float64 { return g.rt.WaitingDemand() }

// dutyFleet implements duty.Fleet. The candidates are the nodes that watch the store: few nodes call it.
type dutyFleet struct{ g *Gateway }

func (f dutyFleet) Candidates() []duty.Peer { return dutyPeers(f.g.currentRoles().watchers) }

func (f dutyFleet) Nodes() []duty.Peer {
	v := f.g.fleet.View()
	return dutyPeers(slices.Concat(v.Nodes, v.Unreachable))
}

func dutyPeers(nodes []membership.Node) []duty.Peer {
	list := make([]duty.Peer, len(nodes))
	for i, n := range nodes {
		list[i] = duty.Peer{Name: n.Name, Addr: n.Addr}
	}
	return list
}

func (g *Gateway) performDuties(ctx context.Context) error {
	if g.duties == nil {
		return nil
	}
	return g.duties.Run(ctx)
}

func (g *Gateway) mountDuties(r chi.Router) {
	if g.duties != nil {
		g.duties.Mount(r)
	}
}

func (g *Gateway) drainDuties() {
	if g.duties != nil {
		g.duties.Drain()
	}
}

func (g *Gateway) flushDuties(ctx context.Context) {
	if g.duties != nil {
		g.duties.Flush(ctx)
	}
}

// dutyGauges returns the gauges of duties.
func (g *Gateway) dutyGauges() []metrics.Gauge {
	if g.duties == nil {
		return nil
	}
	held := func(kind core.Kind) func() float64 {
		return func() float64 {
			if g.duties.Acting(kind) {
				return 1
			}
			return 0
		}
	}
	total := func(read func(t duty.Totals) float64) func() float64 {
		return func() float64 { return read(g.duties.Totals()) }
	}
	return []metrics.Gauge{
		{Name: "ferry.duty_usage_held", Doc: "1 if this node reports usage.", Read: held(core.Usage)},
		{Name: "ferry.duty_scaling_held", Doc: "1 if this node orders numbers of servers.", Read: held(core.Scaling)},
		{Name: "ferry.usage_reports", Doc: "Usage reports that the platform took from this node since its start.", Read: total(func(t duty.Totals) float64 { return float64(t.Reported) })},
		{Name: "ferry.usage_reports_failed", Doc: "Calls with usage reports that failed since the start.", Read: total(func(t duty.Totals) float64 { return float64(t.Failed) })},
		{Name: "ferry.usage_windows_dropped", Doc: "Windows that this node did not report since its start.", Read: total(func(t duty.Totals) float64 { return float64(t.Dropped) })},
		{Name: "ferry.server_orders", Doc: "Orders of servers that the platform took from this node since its start.", Read: total(func(t duty.Totals) float64 { return float64(t.Ordered) })},
		{Name: "ferry.server_orders_failed", Doc: "Calls with orders of servers that failed since the start.", Read: total(func(t duty.Totals) float64 { return float64(t.Unordered) })},
		{Name: "ferry.usage_report_age", Doc: "Seconds since the platform last took a usage report from this node; 0 if it never did.", Read: total(func(t duty.Totals) float64 {
			if t.LastReport.IsZero() {
				return 0
			}
			return time.Since(t.LastReport).Seconds()
		})},
	}
}
