// Package warmup decides how much of a backend server's limit may be used while it warms up.
//
// A server is cold, ramping or warm. Its fraction starts at what a fresh server bears and rises only on
// evidence: tokens served within the latency target while the fraction was well used. It falls at once to
// cold on a changed boot identity, a burst of errors or a return after absence, and halves on a jump of
// latency. The node's own observations count first; load reports lag and only correct them. A server that
// gives no sign of life is not warm.
package warmup

import "time"

// State tells how far a server has warmed up.
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
	riseFactor      = 1.25 // growth of the fraction per rise
	tokensPerStream = 24   // tokens that each stream in use serves before a rise
	minRiseInterval = time.Second
	usedShare       = 0.7  // part of the allowance in use for evidence to count
	calmShare       = 0.05 // late tokens per token up to which evidence counts as good
	calmGap         = 0.85 // mean gap relative to the target up to which evidence counts as good
	jumpShare       = 0.5  // late tokens per token that are a jump of latency
	jumpSamples     = 40   // tokens needed to call a jump
	fallFactor      = 0.5
	errorBurst      = 3 // errors without a finished stream between them
	errorWindow     = 10 * time.Second
	absence         = 20 * time.Second // without any sign of life
)

// Evidence is what the node itself saw of a server since the last Evidence.
type Evidence struct {
	Tokens   int           // tokens that arrived after the first of their stream
	Late     int           // of these, later than the target after the one before
	GapSum   time.Duration // sum of the gaps before them
	Firsts   int           // first tokens
	Finished int           // whole answers
	Errors   int           // failed streams; not cut ones, see Fault
	InUse    int           // streams running at the end
}

// Report is what the server said of itself.
type Report struct {
	BootID    string
	SampledAt time.Time
	Running   int
	Waiting   int
}

// Tracker follows one server. It has one owner.
type Tracker struct {
	cold      float64       // fraction that a fresh server bears, above 0 and at most 1
	gapTarget time.Duration // between tokens
	fraction  float64       // never below cold, never above 1

	bootID    string
	lastSign  time.Time // last token, answer or report
	changedAt time.Time // last rise or fall
	errors    int       // since the last finished stream
	errorsAt  time.Time // of the first of them

	tokens, late int           // since the last change, while well used
	gapSum       time.Duration // of these tokens
	recent       Evidence      // since the last check for a jump
	recentAt     time.Time
}

// New returns a tracker of a server that bears cold of its maximum when fresh, at least one stream of max.
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

// Fraction returns the part of the server's limit that may be used now.
func (t *Tracker) Fraction(now time.Time) float64 {
	if t.silent(now) {
		return t.cold
	}
	return t.fraction
}

// Allow returns the streams that may run out of a budget of streams. A budget above zero allows at least one.
func (t *Tracker) Allow(streams int, now time.Time) int {
	if streams <= 0 {
		return 0
	}
	return max(1, int(t.Fraction(now)*float64(streams)+1e-9))
}

func (t *Tracker) silent(now time.Time) bool {
	return t.cold < 1 && !t.lastSign.IsZero() && now.Sub(t.lastSign) > absence
}

// Fault makes the server cold at once: its streams were cut, or it said that it was overloaded while it warmed
// up.
func (t *Tracker) Fault(now time.Time) { t.change(t.cold, now) }

// Observe takes what the node saw while allowed streams could run on the server.
func (t *Tracker) Observe(e Evidence, allowed int, now time.Time) {
	if e.Tokens+e.Firsts+e.Finished > 0 {
		t.sign(now)
	}
	if t.burst(e, now) {
		t.change(t.cold, now)
		return
	}
	if t.jumped(e, now) {
		t.change(max(t.cold, t.fraction*fallFactor), now)
		return
	}
	t.rise(e, allowed, now)
}

// A sign of life after an absence finds the server cold.
func (t *Tracker) sign(now time.Time) {
	if t.silent(now) {
		t.change(t.cold, now)
	}
	t.lastSign = now
}

func (t *Tracker) burst(e Evidence, now time.Time) bool {
	if e.Finished > 0 || now.Sub(t.errorsAt) > errorWindow {
		t.errors = 0
	}
	if e.Errors > 0 && t.errors == 0 {
		t.errorsAt = now
	}
	t.errors += e.Errors
	return t.errors >= errorBurst
}

func (t *Tracker) jumped(e Evidence, now time.Time) bool {
	t.recent.Tokens += e.Tokens
	t.recent.Late += e.Late
	if t.recent.Tokens < jumpSamples || now.Sub(t.recentAt) < minRiseInterval/2 {
		return false
	}
	late := float64(t.recent.Late) / float64(t.recent.Tokens)
	t.recent, t.recentAt = Evidence{}, now
	return late > jumpShare
}

func (t *Tracker) rise(e Evidence, allowed int, now time.Time) {
	if t.fraction >= 1 || float64(e.InUse) < usedShare*float64(allowed) {
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
	if late > calmShare || float64(mean) > calmGap*float64(t.gapTarget) {
		t.change(t.fraction, now) // begins to count afresh
		return
	}
	t.change(min(1, t.raised(allowed)), now)
}

// A rise adds at least one stream to the allowance.
func (t *Tracker) raised(allowed int) float64 {
	return max(t.fraction*riseFactor, t.fraction*float64(allowed+1)/float64(max(1, allowed)))
}

func (t *Tracker) change(fraction float64, now time.Time) {
	t.fraction, t.changedAt = fraction, now
	t.tokens, t.late, t.gapSum = 0, 0, 0
	t.errors = 0
	t.recent, t.recentAt = Evidence{}, now
}

// Report takes the server's own report; maxStreams is its warm limit. A changed boot identity makes it cold. A
// report of more running streams than the fraction allows, without waiting ones, raises the fraction to what
// the server shows that it bears, unless the fraction changed after the report was sampled.
func (t *Tracker) Report(r Report, maxStreams int, now time.Time) {
	t.sign(now)
	if t.bootID != "" && r.BootID != t.bootID {
		t.bootID = r.BootID
		t.change(t.cold, now)
		return
	}
	t.bootID = r.BootID
	if r.SampledAt.Before(t.changedAt) || r.Waiting > 0 || maxStreams <= 0 {
		return
	}
	if borne := min(1, float64(r.Running)/float64(maxStreams)); borne > t.fraction {
		t.change(borne, now)
	}
}
