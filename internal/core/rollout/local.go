package rollout

import "time"

// This file defines the cut that a node makes by itself.

const (
	// falseCut is the chance that one node ever cuts a good version, small enough for hundreds of nodes.
	falseCutRate = 1e-6
	// cutTime is how long a node's own cut lasts when the controller does not agree.
	cutDuration = time.Minute
)

// Local judges the versions of one model by what this node alone has seen. It is not safe for concurrent use.
type LocalJudge struct {
	plan   Plan
	judges []*Judge
	until  time.Time // end of the cut
	reason string    // of the cut
}

// NewLocal returns a judge of one node's evidence.
func NewLocalJudge(plan Plan) *LocalJudge {
	l := &LocalJudge{plan: plan}
	l.reset()
	return l
}

func (l *LocalJudge) reset() {
	candidate, control := l.plan.SplitVersions()
	l.judges = nil
	for _, v := range candidate {
		l.judges = append(l.judges, NewJudge(v, control, falseCutRate/float64(len(candidate)), l.plan.Horizon(), l.plan.Servers))
	}
}

// Add judges the evidence of one period. After a cut that the controller did not follow the node judges from
// the start.
func (l *LocalJudge) Add(e Evidence, now time.Time) {
	if l.reason != "" && !now.Before(l.until) {
		l.reason = ""
		l.reset()
	}
	for _, j := range l.judges {
		j.Add(e)
		if reason := j.Verdict(); reason != "" && l.reason == "" {
			l.reason, l.until = reason, now.Add(cutDuration)
		}
	}
}

// Cut returns why the node gives the model's new versions no work now, or an empty string.
func (l *LocalJudge) Cut(now time.Time) string {
	if now.Before(l.until) {
		return l.reason
	}
	return ""
}
