package rolloutbench

import (
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/rollout"
)

// This file defines the policies that are compared.

// epoch is the start of every run.
var epoch = time.Unix(0, 0).UTC()

var (
	from = []bundle.VersionShare{{Version: oldVersion, Share: bundle.ShareTotal}, {Version: newVersion, Share: 0}}
	to   = []bundle.VersionShare{{Version: oldVersion, Share: 0}, {Version: newVersion, Share: bundle.ShareTotal}}
)

var plan = rollout.Plan{Model: "m", From: from, To: to, StartedAt: epoch, DoneBy: epoch.Add(window), Servers: servers}

// policy decides the shares of a rollout.
type policy interface {
	// placed tells what a node saw of a request when its first token came, ended when it ended.
	placed(r request, at time.Duration)
	ended(r request, at time.Duration)
	// died tells of the end of a server with the requests that it took along.
	died(server int, lost []request, at time.Duration)
	// decide runs once a tick.
	decide(at time.Duration)
	// share returns the new version's share that the head says now, in thousandths.
	share() int
	// cut reports whether a node gives the new version no work by its own decision.
	cut(node int) bool
	takenBack() bool
}

// ferry is the core's controller with the nodes' own cuts.
type ferry struct {
	controller *rollout.Controller
	locals     [nodes]*rollout.LocalJudge
	period     [nodes]rollout.Evidence
	flights    [nodes]map[rollout.Use]int // requests in flight
	want       bundle.RolloutStep
	cuts       [nodes]bool
}

func newFerry() policy {
	f := &ferry{controller: rollout.NewController(plan)}
	for i := range f.locals {
		f.locals[i] = rollout.NewLocalJudge(plan)
		f.period[i] = rollout.NewEvidence()
		f.flights[i] = make(map[rollout.Use]int)
	}
	f.want = f.controller.Decide(epoch)
	return f
}

func useOf(r request) rollout.Use {
	return rollout.Use{Version: r.key.Version, Server: serverName(r.server)}
}

func serverName(server int) string { return string(rune('a' + server)) }

func (f *ferry) placed(r request, _ time.Duration) {
	u := useOf(r)
	f.flights[r.node][u]++
	f.period[r.node].AddUse(u.Version, u.Server)
	f.period[r.node].AddFirstToken(r.key, r.first)
}

func (f *ferry) left(r request) {
	u := useOf(r)
	if f.flights[r.node][u]--; f.flights[r.node][u] == 0 {
		delete(f.flights[r.node], u)
	}
}

func (f *ferry) ended(r request, _ time.Duration) {
	f.left(r)
	f.period[r.node].AddOutcome(r.key, r.failed)
	if !r.failed {
		f.period[r.node].AddTokenGap(r.key, r.gap)
	}
}

func (f *ferry) died(server int, lost []request, at time.Duration) {
	for _, r := range lost {
		f.left(r)
		f.period[r.node].AddServerFailure(r.key.Version, serverName(server), epoch.Add(at))
	}
}

func (f *ferry) decide(at time.Duration) {
	now := epoch.Add(at)
	if at%rollout.Period == 0 {
		all := rollout.NewEvidence()
		for n := range f.period {
			f.locals[n].Add(f.period[n], now)
			f.period[n].TrimUses([]string{newVersion})
			all.Merge(f.period[n].Report().Evidence())
			f.period[n] = rollout.NewEvidence()
			for u := range f.flights[n] {
				f.period[n].AddUse(u.Version, u.Server)
			}
		}
		f.controller.Add(all)
	}
	for n := range f.cuts {
		f.cuts[n] = f.locals[n].CutReason(now) != ""
	}
	if f.want.State != bundle.RolloutTakenBack {
		f.want = f.controller.Decide(now)
	}
}

func (f *ferry) share() int {
	switch f.want.State {
	case bundle.RolloutTakenBack:
		return 0
	case bundle.RolloutRunning:
		return f.want.Shares[1].Share
	}
	return bundle.ShareTotal
}

func (f *ferry) cut(node int) bool { return f.cuts[node] }

func (f *ferry) takenBack() bool { return f.want.State == bundle.RolloutTakenBack }

const (
	// thresholdWindow is over how long the baseline takes its error rate.
	thresholdWindow = time.Minute
	// thresholdRate is the error rate from which the baseline takes a version back.
	thresholdRate = 0.05
	// thresholdRequests is how many requests of the new version the baseline wants in the window.
	thresholdRequests = 20
)

// fixedSteps is the baseline: the same steps at the same times, taken back when the error rate of the new
// version passes a threshold.
type fixedSteps struct {
	controller *rollout.Controller
	want       bundle.RolloutStep
	recent     []outcome
	back       bool
}

type outcome struct {
	at     time.Duration
	failed bool
}

func newFixedSteps() policy {
	f := &fixedSteps{controller: rollout.NewController(plan)}
	f.want = f.controller.Decide(epoch)
	return f
}

func (f *fixedSteps) placed(request, time.Duration) {}

func (f *fixedSteps) ended(r request, at time.Duration) {
	if r.key.Version == newVersion {
		f.recent = append(f.recent, outcome{at, r.failed})
	}
}

func (f *fixedSteps) died(_ int, lost []request, at time.Duration) {
	for _, r := range lost {
		r.failed = true
		f.ended(r, at)
	}
}

func (f *fixedSteps) decide(at time.Duration) {
	for len(f.recent) > 0 && at-f.recent[0].at > thresholdWindow {
		f.recent = f.recent[1:]
	}
	failed := 0
	for _, o := range f.recent {
		if o.failed {
			failed++
		}
	}
	if len(f.recent) >= thresholdRequests && float64(failed) > thresholdRate*float64(len(f.recent)) {
		f.back = true
	}
	f.want = f.controller.Decide(epoch.Add(at))
}

func (f *fixedSteps) share() int {
	switch {
	case f.back:
		return 0
	case f.want.State == bundle.RolloutRunning:
		return f.want.Shares[1].Share
	}
	return bundle.ShareTotal
}

func (f *fixedSteps) cut(int) bool    { return false }
func (f *fixedSteps) takenBack() bool { return f.back }
