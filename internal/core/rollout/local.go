package rollout

import "time"

const (
	// falseCutRate is the largest chance that one node ever cuts off a good version. It is small enough for hundreds of
	// nodes.
	falseCutRate = 1e-6
	// cutDuration is how long a node's own cut lasts if the controller does not agree.
	cutDuration = time.Minute
)

// LocalJudge judges the new versions of one model by the evidence of this node alone. On strong evidence it cuts them
// off: the node sends them no requests for a while, without waiting for the controller. It is not safe for concurrent
// use.
type LocalJudge struct {
	plan   Plan
	judges []*Judge
	until  time.Time // end of the cut
	reason string    // of the cut, or empty
}

// NewLocalJudge returns a judge of one node's evidence on a rollout.
func NewLocalJudge(plan Plan) *LocalJudge {
	l := &LocalJudge{plan: plan}
	l.reset()
	return l
}

func (l *LocalJudge) reset() {
	candidates, control := l.plan.SplitVersions()
	l.judges = nil
	for _, v := range candidates {
		l.judges = append(l.judges, NewJudge(v, control, falseCutRate/float64(len(candidates)), l.plan.Horizon(), l.plan.Servers))
	}
}

// Add judges the evidence of one period. After a cut that the controller did not follow, it starts over without the
// earlier evidence.
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

// CutReason returns why the node cuts off the model's new versions now, or an empty string.
func (l *LocalJudge) CutReason(now time.Time) string {
	if now.Before(l.until) {
		return l.reason
	}
	return ""
}
