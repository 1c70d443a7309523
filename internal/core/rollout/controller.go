package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"ebonyferry/internal/core/bundle"
)

// Period is the time between two judgements of evidence.
const Period = 3 * time.Second

// Watch is how long a version is watched after its last step.
const Watch = 30 * time.Minute

// falseVerdictRate is the largest chance that a rollout of a good version is ever taken back.
const falseVerdictRate = 0.005

// steps are the fractions of the way from the old shares to the new ones. Until the last step, some requests still run
// on the old versions. The last step is due after lastStepFraction of the rollout's time, and the others are evenly
// spaced before it.
var steps = []float64{0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 0.99, 1}

const lastStepFraction = 0.9

// minStepInterval is the least time between two steps, so that the evidence on a step can arrive before the next one.
const minStepInterval = 4 * Period

// pauseSuspicion is the suspicion from which the controller takes no further step.
const pauseSuspicion = 0.5

// Plan describes a rollout of one model.
type Plan struct {
	Model     string
	From, To  []bundle.VersionShare // shares of the same versions
	StartedAt time.Time
	DoneBy    time.Time
	Watch     time.Duration // time of watching after the last step; zero means the constant Watch
	Servers   int           // number of servers that may run the model
}

// PlanOf returns the plan of the rollout that the head records for a model.
func PlanOf(in *bundle.InForce, model string) (Plan, bool) {
	r, ok := in.Head.Rollouts[model]
	if !ok {
		return Plan{}, false
	}
	i := slices.IndexFunc(in.Bundle.Models, func(m bundle.Model) bool { return m.Name == model })
	if i < 0 {
		return Plan{}, false
	}
	servers := 0
	for _, s := range in.Bundle.Servers {
		if slices.ContainsFunc(s.Models, func(mv bundle.ModelVersion) bool { return mv.Model == model }) {
			servers++
		}
	}
	plan := Plan{Model: model, From: r.From, To: in.Bundle.Models[i].Versions, StartedAt: r.StartedAt, DoneBy: r.DoneBy, Servers: servers}
	return plan, true
}

// SplitVersions returns the versions whose shares grow and those whose shares shrink or stay.
func (p Plan) SplitVersions() (candidates, control []string) {
	for _, to := range p.To {
		if to.Share > shareOf(p.From, to.Version) {
			candidates = append(candidates, to.Version)
		} else {
			control = append(control, to.Version)
		}
	}
	return candidates, control
}

func shareOf(shares []bundle.VersionShare, version string) int {
	for _, vs := range shares {
		if vs.Version == version {
			return vs.Share
		}
	}
	return 0
}

func (p Plan) watch() time.Duration { return cmp.Or(p.Watch, Watch) }

// Horizon returns the number of periods in which the rollout is judged.
func (p Plan) Horizon() int { return int((p.DoneBy.Sub(p.StartedAt) + p.watch()) / Period) }

// dueAt returns the time at which a step is due.
func (p Plan) dueAt(step int) time.Time {
	span := float64(p.DoneBy.Sub(p.StartedAt)) * lastStepFraction
	return p.StartedAt.Add(time.Duration(span * float64(step) / float64(len(steps)-1)))
}

// Shares returns the shares after a fraction of the way from the old ones to the new ones. They sum to
// bundle.ShareTotal.
func (p Plan) Shares(fraction float64) []bundle.VersionShare {
	shares := slices.Clone(p.To)
	sum, largest := 0, 0
	for i, to := range p.To {
		from := shareOf(p.From, to.Version)
		shares[i].Share = from + int(float64(to.Share-from)*fraction)
		sum += shares[i].Share
		if shares[i].Share > shares[largest].Share {
			largest = i
		}
	}
	shares[largest].Share += bundle.ShareTotal - sum
	return shares
}

// Controller moves the shares of one model. It is not safe for concurrent use.
type Controller struct {
	plan   Plan
	step   int // index in steps of the current shares; -1 before the first step
	judges []*Judge
	lastAt time.Time // when the last step was taken
	ready  func(version string) float64
}

// ControllerOption configures a Controller.
type ControllerOption func(*Controller)

// WithReady sets a function that returns the fraction of a version's servers that have loaded it, from 0 to 1. Without
// it, all servers count as ready.
func WithReady(fn func(version string) float64) ControllerOption {
	return func(c *Controller) { c.ready = fn }
}

// NewController returns a controller of a rollout that started at plan.StartedAt.
func NewController(plan Plan, opts ...ControllerOption) *Controller {
	c := &Controller{plan: plan, step: -1, ready: func(string) float64 { return 1 }}
	candidates, control := plan.SplitVersions()
	for _, v := range candidates {
		c.judges = append(c.judges, NewJudge(v, control, falseVerdictRate/float64(len(candidates)), plan.Horizon(), plan.Servers))
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// CatchUp continues from the shares in force if they are ahead of the controller's step. That happens when an earlier
// controller failed between a step and its checkpoint.
func (c *Controller) CatchUp(state bundle.RolloutState, inForce []bundle.VersionShare, now time.Time) {
	for i, fraction := range steps {
		reached := state == bundle.RolloutWatching || slices.Equal(c.plan.Shares(fraction), inForce)
		if reached && i > c.step {
			c.step, c.lastAt = i, now
		}
	}
}

// Add judges the evidence of one period.
func (c *Controller) Add(e Evidence) {
	for _, j := range c.judges {
		j.Add(e)
	}
}

// Decide returns the state and the shares that the head should have now. The result stays the same until the next
// change is due.
func (c *Controller) Decide(now time.Time) bundle.RolloutStep {
	want := bundle.RolloutStep{Model: c.plan.Model, State: bundle.RolloutRunning}
	if reason := c.verdict(); reason != "" {
		want.State, want.Reason = bundle.RolloutTakenBack, reason
		return want
	}
	c.advance(now)
	switch {
	case c.step == len(steps)-1 && now.Sub(c.lastAt) >= c.plan.watch():
		want.State, want.Reason = bundle.RolloutDone, fmt.Sprintf("no fault found in %d requests", c.requestCount())
	case c.step == len(steps)-1:
		want.State = bundle.RolloutWatching
	case c.step < 0:
		want.Shares = c.plan.Shares(0)
	default:
		want.Shares = c.plan.Shares(steps[c.step])
	}
	return want
}

// advance takes the next step if it is due, its servers are ready and the suspicion is low.
func (c *Controller) advance(now time.Time) {
	next := c.step + 1
	if next >= len(steps) || now.Before(c.plan.dueAt(next)) || now.Sub(c.lastAt) < minStepInterval || c.Suspicion() >= pauseSuspicion {
		return
	}
	candidates, _ := c.plan.SplitVersions()
	for _, v := range candidates {
		if c.ready(v) < steps[next] {
			return
		}
	}
	c.step, c.lastAt = next, now
}

func (c *Controller) verdict() string {
	for _, j := range c.judges {
		if reason := j.Verdict(); reason != "" {
			return reason
		}
	}
	return ""
}

// Suspicion returns how close the evidence is to a verdict, from 0 to 1.
func (c *Controller) Suspicion() float64 {
	most := 0.0
	for _, j := range c.judges {
		most = max(most, j.Suspicion())
	}
	return most
}

func (c *Controller) requestCount() int {
	n := 0
	for _, j := range c.judges {
		n += j.RequestCount()
	}
	return n
}
