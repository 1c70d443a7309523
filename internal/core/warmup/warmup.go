// Package warmup decides which fraction of a backend server's stream limit a node may use while the server warms up.
//
// A server is cold, ramping or warm. Its fraction starts at what a freshly started server can serve. It rises only
// while the node uses most of the fraction and tokens arrive within the latency target. It drops to cold immediately
// when the boot ID changes, on a burst of errors and when the server returns after a silence, and it halves when
// latency jumps. The decisions rest on the node's own observations; the server's load reports lag and only correct
// them. A silent server counts as cold.
//
// A node that uses a server alone sets the fraction itself. Nodes that share a server use the fraction that the
// server's owner has agreed with all of them. A [Tracker] then suggests a lower or higher fraction to the owner, and
// applies a reduction immediately to the node's own use.
package warmup

import "time"

// State is how far a server has warmed up.
type State int

// The states of a server.
const (
	Cold State = iota
	Ramping
	Warm
)

// String returns the name used in status output.
func (s State) String() string {
	return [...]string{"cold", "ramping", "warm"}[s]
}

const (
	riseFactor      = 1.2 // growth of the fraction per rise
	tokensPerStream = 24  // tokens per stream in use that must arrive before a rise
	minRiseInterval = 1500 * time.Millisecond
	minUtilization  = 0.85 // share of the allowed streams that must run for evidence to count towards a rise
	maxLateShare    = 0.05 // largest share of late tokens that permits a rise
	maxMeanGap      = 0.65 // largest mean gap, relative to the target, that permits a rise
	jumpLateShare   = 0.5  // a larger share of late tokens is a jump in latency
	jumpMinTokens   = 40   // tokens needed to detect a jump
	reduceFactor    = 0.5  // applied to the fraction on a jump
	errorBurst      = 3    // errors without a finished stream between them
	errorWindow     = 10 * time.Second
	silenceTimeout  = 20 * time.Second // without a token, answer or report, after which a server counts as cold
	reductionHold   = 3 * time.Second  // how long the node's own reduction overrides a higher agreed fraction
	downTime        = 10 * time.Second // after a crash, unless a report with a new boot ID arrives earlier
)

// Evidence is what the node itself observed of a server since the last Evidence.
type Evidence struct {
	Tokens      int           // tokens that arrived, without the first of each stream
	Late        int           // of these, tokens whose gap to the previous token exceeded the target
	GapSum      time.Duration // sum of the gaps before these tokens
	FirstTokens int           // first tokens of streams
	Finished    int           // complete answers
	Errors      int           // streams that failed, but not those whose connection was cut
	InUse       int           // streams running at the end of the period
}

// Report is a load report from the server itself.
type Report struct {
	BootID    string
	SampledAt time.Time
	Running   int
	Waiting   int
}

// Tracker tracks the warm-up of one server. It is not safe for concurrent use.
type Tracker struct {
	cold         float64       // fraction that a fresh server can serve, above 0 and at most 1
	gapTarget    time.Duration // longest gap between tokens that is in time
	fraction     float64       // never below cold, never above 1
	followsOwner bool          // nodes share the server, and fraction follows agreed
	agreed       float64       // fraction agreed by the server's owner, while nodes share it
	suggested    float64       // higher fraction that the evidence supports; zero for none

	bootID     string
	lastSeenAt time.Time // last token, answer or report
	changedAt  time.Time // last change of the fraction
	errors     int       // since the last finished stream
	errorsAt   time.Time // the first of these errors
	reducedAt  time.Time // last reduction of the fraction
	crashedAt  time.Time // last crash, until a report of a new boot arrives

	tokens, late int           // since the last change, while utilization was sufficient
	gapSum       time.Duration // of these tokens
	jumpWindow   Evidence      // since the last check for a jump
	jumpWindowAt time.Time
}

// New returns a tracker of a cold server that can serve coldStreams of maxStreams streams when fresh. A server whose
// coldStreams is zero or not below maxStreams needs no warm-up.
func New(coldStreams, maxStreams int, gapTarget time.Duration) *Tracker {
	t := &Tracker{cold: 1, gapTarget: gapTarget}
	if coldStreams > 0 && coldStreams < maxStreams {
		t.cold = float64(coldStreams) / float64(maxStreams)
	}
	t.fraction = t.cold
	return t
}

// State returns how far the server has warmed up.
func (t *Tracker) State(now time.Time) State {
	switch f := t.Fraction(now); {
	case f >= 1:
		return Warm
	case f > t.cold:
		return Ramping
	}
	return Cold
}

// Fraction returns the fraction of the server's limit that may be used now.
func (t *Tracker) Fraction(now time.Time) float64 {
	if t.silent(now) {
		return t.cold
	}
	return t.fraction
}

// Allow returns how many streams may run, given a budget of streams. A node that uses the server alone may always run
// one if its budget is above zero. The budget of a node that shares the server is already a part of the agreed limit.
func (t *Tracker) Allow(streams int, now time.Time) int {
	if streams <= 0 || t.Down(now) {
		return 0
	}
	if t.followsOwner {
		return int(min(1, t.Fraction(now)/t.agreed)*float64(streams) + 1e-9)
	}
	return max(1, int(t.Fraction(now)*float64(streams)+1e-9))
}

// Down reports whether the server crashed less than downTime ago and no report of a new boot has arrived since.
func (t *Tracker) Down(now time.Time) bool {
	return !t.crashedAt.IsZero() && now.Sub(t.crashedAt) < downTime
}

// SetAgreedFraction sets the fraction that the server's owner has agreed with all nodes that share it. A reduction
// that this node just made overrides a higher agreed fraction for reductionHold, until it has reached the owner.
func (t *Tracker) SetAgreedFraction(agreed float64, now time.Time) {
	agreed = min(1, max(agreed, t.cold))
	t.followsOwner = true
	changed := agreed != t.agreed
	t.agreed = agreed
	if agreed > t.fraction && now.Sub(t.reducedAt) < reductionHold {
		return
	}
	if changed || t.fraction != agreed {
		t.setFraction(agreed, now)
	}
}

// SuggestFraction returns the fraction that this node proposes to the server's owner, or zero to keep the agreed one.
func (t *Tracker) SuggestFraction(now time.Time) float64 {
	f := t.Fraction(now)
	switch {
	case f < t.agreed:
		return f
	case t.suggested > t.agreed:
		return t.suggested
	}
	return 0
}

func (t *Tracker) silent(now time.Time) bool {
	return t.cold < 1 && !t.lastSeenAt.IsZero() && now.Sub(t.lastSeenAt) > silenceTimeout
}

// RecordOverload makes the server cold, because it refused work for lack of capacity.
func (t *Tracker) RecordOverload(now time.Time) { t.reduce(t.cold, now) }

// RecordCrash makes the server cold, and down until a report of a new boot arrives or downTime has passed.
func (t *Tracker) RecordCrash(now time.Time) {
	t.reduce(t.cold, now)
	t.crashedAt = now
}

// RecordEvidence adjusts the fraction to what the node observed while it allowed the given number of streams.
func (t *Tracker) RecordEvidence(e Evidence, allowed int, now time.Time) {
	if e.Tokens+e.FirstTokens+e.Finished > 0 {
		t.markSeen(now)
	}
	if t.errorBurstSeen(e, now) {
		t.reduce(t.cold, now)
		return
	}
	if t.latencyJumped(e, now) {
		t.reduce(max(t.cold, t.fraction*reduceFactor), now)
		return
	}
	t.rise(e, allowed, now)
}

// markSeen records a sign of life. After a silence the server is cold.
func (t *Tracker) markSeen(now time.Time) {
	if t.silent(now) {
		t.reduce(t.cold, now)
	}
	t.lastSeenAt = now
}

// errorBurstSeen adds e to the count of errors and reports whether they are a burst.
func (t *Tracker) errorBurstSeen(e Evidence, now time.Time) bool {
	if e.Finished > 0 || now.Sub(t.errorsAt) > errorWindow {
		t.errors = 0
	}
	if e.Errors > 0 && t.errors == 0 {
		t.errorsAt = now
	}
	t.errors += e.Errors
	return t.errors >= errorBurst
}

// latencyJumped adds e to the jump window. At the end of a window it reports whether too many tokens were late.
func (t *Tracker) latencyJumped(e Evidence, now time.Time) bool {
	t.jumpWindow.Tokens += e.Tokens
	t.jumpWindow.Late += e.Late
	if t.jumpWindow.Tokens < jumpMinTokens || now.Sub(t.jumpWindowAt) < minRiseInterval/2 {
		return false
	}
	late := float64(t.jumpWindow.Late) / float64(t.jumpWindow.Tokens)
	t.jumpWindow, t.jumpWindowAt = Evidence{}, now
	return late > jumpLateShare
}

func (t *Tracker) rise(e Evidence, allowed int, now time.Time) {
	if t.fraction >= 1 || float64(e.InUse) < minUtilization*float64(allowed) {
		return
	}
	t.tokens += e.Tokens
	t.late += e.Late
	t.gapSum += e.GapSum
	if t.tokens < tokensPerStream*max(1, e.InUse) || now.Sub(t.changedAt) < minRiseInterval {
		return
	}
	late := float64(t.late) / float64(t.tokens)
	mean := t.gapSum / time.Duration(t.tokens)
	if late > maxLateShare || float64(mean) > maxMeanGap*float64(t.gapTarget) {
		t.setFraction(t.fraction, now) // resets the counts
		return
	}
	raised := min(1, t.raisedFraction(allowed))
	if t.followsOwner {
		t.suggested = raised
		return
	}
	t.setFraction(raised, now)
}

// raisedFraction returns the fraction after a rise. If the node uses the server alone, the rise allows at least one
// more stream.
func (t *Tracker) raisedFraction(allowed int) float64 {
	if t.followsOwner {
		return t.fraction * riseFactor
	}
	return max(t.fraction*riseFactor, t.fraction*float64(allowed+1)/float64(max(1, allowed)))
}

func (t *Tracker) reduce(fraction float64, now time.Time) {
	t.setFraction(fraction, now)
	t.reducedAt = now
}

func (t *Tracker) setFraction(fraction float64, now time.Time) {
	t.fraction, t.changedAt = fraction, now
	t.tokens, t.late, t.gapSum = 0, 0, 0
	t.errors, t.suggested = 0, 0
	t.jumpWindow, t.jumpWindowAt = Evidence{}, now
}

// RecordReport applies a load report of a server whose warm limit is maxStreams. A changed boot ID makes the server cold. If
// the node uses the server alone and the report shows more running streams than the fraction allows, with none
// waiting, the fraction rises to that number, unless it changed after the report was sampled.
func (t *Tracker) RecordReport(r Report, maxStreams int, now time.Time) {
	t.markSeen(now)
	if r.SampledAt.After(t.crashedAt) && r.BootID != t.bootID {
		t.crashedAt = time.Time{}
	}
	if t.bootID != "" && r.BootID != t.bootID {
		t.bootID = r.BootID
		t.reduce(t.cold, now)
		return
	}
	t.bootID = r.BootID
	if t.followsOwner || r.SampledAt.Before(t.changedAt) || r.Waiting > 0 || maxStreams <= 0 {
		return
	}
	if shown := min(1, float64(r.Running)/float64(maxStreams)); shown > t.fraction {
		t.setFraction(shown, now)
	}
}
