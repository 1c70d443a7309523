// This file defines the policies that are compared.

package rolloutbench

import (
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/rollout"
)

// epoch is the time at which every run starts.
var epoch = time.Unix(0, 0).UTC()

var (
	oldShares = []bundle.VersionShare{{Version: oldVersion, Share: bundle.ShareTotal}, {Version: newVersion, Share: 0}}
	newShares = []bundle.VersionShare{{Version: oldVersion, Share: 0}, {Version: newVersion, Share: bundle.ShareTotal}}
)

var plan = rollout.Plan{Model: "m", From: oldShares, To: newShares, StartedAt: epoch, DoneBy: epoch.Add(window), Servers: servers}

// policy determines the share of the new version during a rollout.
type policy interface {
	// firstToken and ended record the first token and the end of a request.
	firstToken(r request, at time.Duration)
	ended(r request, at time.Duration)
	// serverFailed records the failure of a server and the requests lost with it.
	serverFailed(server int, lost []request, at time.Duration)
	// decide is called once per tick.
	decide(at time.Duration)
	// share returns the new version's current share in the head, in thousandths.
	share() int
	// cut reports whether a node has cut off the new version on its own.
	cut(node int) bool
	takenBack() bool
}

// ferry is the controller of package rollout with the local judges of the nodes.
type ferry struct {
	controller     *rollout.Controller
	localJudges    [nodes]*rollout.LocalJudge
	periodEvidence [nodes]rollout.Evidence
	inFlight       [nodes]map[rollout.Use]int // number of requests
	step           bundle.RolloutStep
	cuts           [nodes]bool
}

func newFerry() policy {
	f := &ferry{controller: rollout.NewController(plan)}
	for i := range f.localJudges {
		f.localJudges[i] = rollout.NewLocalJudge(plan)
		f.periodEvidence[i] = rollout.NewEvidence()
		f.inFlight[i] = make(map[rollout.Use]int)
	}
	f.step = f.controller.Decide(epoch)
	return f
}

func useOf(r request) rollout.Use {
	return rollout.Use{Version: r.key.Version, Server: serverName(r.server)}
}

func serverName(server int) string { return string(rune('a' + server)) }

func (f *ferry) firstToken(r request, _ time.Duration) {
	u := useOf(r)
	f.inFlight[r.node][u]++
	f.periodEvidence[r.node].AddUse(u.Version, u.Server)
	f.periodEvidence[r.node].AddFirstToken(r.key, r.firstToken)
}

func (f *ferry) removeInFlight(r request) {
	u := useOf(r)
	if f.inFlight[r.node][u]--; f.inFlight[r.node][u] == 0 {
		delete(f.inFlight[r.node], u)
	}
}

func (f *ferry) ended(r request, _ time.Duration) {
	f.removeInFlight(r)
	f.periodEvidence[r.node].AddOutcome(r.key, r.failed)
	if !r.failed {
		f.periodEvidence[r.node].AddTokenGap(r.key, r.tokenGap)
	}
}

func (f *ferry) serverFailed(server int, lost []request, at time.Duration) {
	for _, r := range lost {
		f.removeInFlight(r)
		f.periodEvidence[r.node].AddServerFailure(r.key.Version, serverName(server), epoch.Add(at))
	}
}

func (f *ferry) decide(at time.Duration) {
	now := epoch.Add(at)
	if at%rollout.Period == 0 {
		all := rollout.NewEvidence()
		for n := range f.periodEvidence {
			f.localJudges[n].Add(f.periodEvidence[n], now)
			f.periodEvidence[n].TrimUses([]string{newVersion})
			all.Merge(f.periodEvidence[n].Report().Evidence())
			f.periodEvidence[n] = rollout.NewEvidence()
			for u := range f.inFlight[n] {
				f.periodEvidence[n].AddUse(u.Version, u.Server)
			}
		}
		f.controller.Add(all)
	}
	for n := range f.cuts {
		f.cuts[n] = f.localJudges[n].CutReason(now) != ""
	}
	if f.step.State != bundle.RolloutTakenBack {
		f.step = f.controller.Decide(now)
	}
}

func (f *ferry) share() int {
	switch f.step.State {
	case bundle.RolloutTakenBack:
		return 0
	case bundle.RolloutRunning:
		return f.step.Shares[1].Share
	}
	return bundle.ShareTotal
}

func (f *ferry) cut(node int) bool { return f.cuts[node] }

func (f *ferry) takenBack() bool { return f.step.State == bundle.RolloutTakenBack }

const (
	// thresholdWindow is the period over which the baseline measures the error rate.
	thresholdWindow = time.Minute
	// thresholdRate is the error rate above which the baseline takes a version back.
	thresholdRate = 0.05
	// thresholdRequests is the number of requests of the new version in the window that the baseline needs.
	thresholdRequests = 20
)

// fixedSteps is the baseline. Its controller gets no evidence, so its steps come at fixed times. It takes the new version
// back if its error rate exceeds a threshold.
type fixedSteps struct {
	controller *rollout.Controller
	step       bundle.RolloutStep
	recent     []outcome
	tookBack   bool
}

type outcome struct {
	at     time.Duration
	failed bool
}

func newFixedSteps() policy {
	f := &fixedSteps{controller: rollout.NewController(plan)}
	f.step = f.controller.Decide(epoch)
	return f
}

func (f *fixedSteps) firstToken(request, time.Duration) {}

func (f *fixedSteps) ended(r request, at time.Duration) {
	if r.key.Version == newVersion {
		f.recent = append(f.recent, outcome{at, r.failed})
	}
}

func (f *fixedSteps) serverFailed(_ int, lost []request, at time.Duration) {
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
		f.tookBack = true
	}
	f.step = f.controller.Decide(epoch.Add(at))
}

func (f *fixedSteps) share() int {
	switch {
	case f.tookBack:
		return 0
	case f.step.State == bundle.RolloutRunning:
		return f.step.Shares[1].Share
	}
	return bundle.ShareTotal
}

func (f *fixedSteps) cut(int) bool    { return false }
func (f *fixedSteps) takenBack() bool { return f.tookBack }
