package rollout

import (
	"fmt"
	"time"
)

// Checkpoint is the state of a Controller, from which the next controller of the rollout continues. A verdict
// takes effect when the head records it.
type Checkpoint struct {
	Step   int          `json:"step"`
	LastAt time.Time    `json:"lastAt,omitzero"`
	Judges []judgeState `json:"judges"`
}

// judgeState is the state of a Judge.
type judgeState struct {
	Version               string            `json:"version"`
	Cells                 []Cell            `json:"cells"`
	Comparisons           []comparisonState `json:"tests"`
	ServerFailures        []ServerFailure   `json:"deaths,omitempty"`
	ControlServerFailures counts            `json:"spared"`
	Requests              int               `json:"seen"`
	Verdict               string            `json:"verdict,omitempty"`
}

// comparisonState is the state of a comparison.
type comparisonState struct {
	Route  string `json:"route"`
	Load   Load   `json:"load"`
	Metric metric `json:"metric"`
	comparison
}

// Checkpoint returns the controller's state.
func (c *Controller) Checkpoint() Checkpoint {
	cp := Checkpoint{Step: c.step, LastAt: c.lastAt}
	for _, j := range c.judges {
		history := Evidence{Cells: j.controlCells, ServerFailures: j.serverFailures}.Report()
		st := judgeState{Version: j.version, Cells: history.Cells, ServerFailures: history.ServerFailures, ControlServerFailures: j.controlServerFailures, Requests: j.requests, Verdict: j.verdict}
		for k, t := range j.comparisons {
			st.Comparisons = append(st.Comparisons, comparisonState{Route: k.route, Load: k.load, Metric: k.metric, comparison: *t})
		}
		cp.Judges = append(cp.Judges, st)
	}
	return cp
}

// Restore sets the state of an earlier controller of the same plan. On an error it leaves the controller unchanged.
// A new controller then judges from the start.
func (c *Controller) Restore(cp Checkpoint) error {
	if cp.Step < -1 || cp.Step >= len(steps) || len(cp.Judges) != len(c.judges) {
		return fmt.Errorf("checkpoint with step %d and %d versions belongs to another rollout", cp.Step, len(cp.Judges))
	}
	for i, st := range cp.Judges {
		if err := c.judges[i].check(st); err != nil {
			return err
		}
	}
	c.step, c.lastAt = cp.Step, cp.LastAt
	for i, st := range cp.Judges {
		c.judges[i].restore(st)
	}
	return nil
}

func (j *Judge) check(st judgeState) error {
	if st.Version != j.version {
		return fmt.Errorf("checkpoint is for version %q, want %q", st.Version, j.version)
	}
	for _, t := range st.Comparisons {
		if t.VersusControl == nil || t.AboveRate == nil || t.WithoutControl == nil {
			return fmt.Errorf("checkpoint for version %q lacks a test of route %q", st.Version, t.Route)
		}
	}
	return nil
}

func (j *Judge) restore(st judgeState) {
	history := Report{Cells: st.Cells, ServerFailures: st.ServerFailures}.Evidence()
	j.controlCells, j.serverFailures = history.Cells, history.ServerFailures
	j.controlServerFailures, j.requests, j.verdict = st.ControlServerFailures, st.Requests, st.Verdict
	for f := range j.serverFailures {
		j.lastFailureWindow = max(j.lastFailureWindow, f.Window)
	}
	for _, t := range st.Comparisons {
		c := t.comparison
		for _, p := range []*testProcess{c.VersusControl, c.AboveRate, c.WithoutControl} {
			p.updateLogValue()
		}
		j.comparisons[comparisonKey{route: t.Route, load: t.Load, metric: t.Metric}] = &c
	}
}
