// Package warmup decides how much of a backend server's limit may be used while it warms up.
//
// A server is cold, ramping or warm. Its fraction starts at what a fresh server bears and rises only on
// evidence: tokens served within the latency target while the fraction was well used. It falls at once to
// cold on a changed boot identity, a burst of errors or a return after absence, and halves on a jump of
// latency. The node's own observations count first; load reports lag and only correct them. A server that
// gives no sign of life is not warm.
//
// A node alone decides by itself. Nodes that share a server follow the limit that its owner has agreed with
// all of them: a Tracker then suggests a lower or a higher one, and applies at once what lowers its own use.
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
	riseFactor      = 1.2 // growth of the fraction per rise
	tokensPerStream = 24  // tokens that each stream in use serves before a rise
	minRiseInterval = 1500 * time.Millisecond
	usedShare       = 0.85 // part of the allowance in use for evidence to count
	calmShare       = 0.05 // late tokens per token up to which evidence counts as good
	calmGap         = 0.65 // mean gap relative to the target up to which evidence counts as good
	jumpShare       = 0.5  // late tokens per token that are a jump of latency
	jumpSamples     = 40   // tokens needed to call a jump
	fallFactor      = 0.5
	errorBurst      = 3 // errors without a finished stream between them
	errorWindow     = 10 * time.Second
	absence         = 20 * time.Second // without any sign of life
	fallHold        = 3 * time.Second  // for which a fall stands against a higher agreed limit
	downTime        = 10 * time.Second // after a crash, unless a report shows the server earlier
)

// Evidence is what the node itself saw of a server since the last Evidence.
type Evidence struct {
	Tokens      int           // tokens that arrived after the first of their stream
	Late        int           // of these, later than the target after the one before
	GapSum      time.Duration // sum of the gaps before them
	FirstTokens int           // first tokens
	Finished    int           // whole answers
	Errors      int           // failed streams; not cut ones, see Fault
	InUse       int           // streams running at the end
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
	shared    bool          // the fraction follows agreed
	agreed    float64       // by the owner of the server, while shared
	wish      float64       // higher fraction that the evidence speaks for; zero for none

	bootID    string
	lastSign  time.Time // last token, answer or report
	changedAt time.Time // last rise or fall
	errors    int       // since the last finished stream
	errorsAt  time.Time // of the first of them
	fallenAt  time.Time // last fall
	crashedAt time.Time // last crash, until a report shows that the server is back

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

// Allow returns the streams that may run out of a budget of streams. A node alone may always run one out of
// a budget above zero. A shared budget is part of the agreed limit already.
func (t *Tracker) Allow(streams int, now time.Time) int {
	if streams <= 0 || t.Down(now) {
		return 0
	}
	if t.shared {
		return int(min(1, t.Fraction(now)/t.agreed)*float64(streams) + 1e-9)
	}
	return max(1, int(t.Fraction(now)*float64(streams)+1e-9))
}

// Down reports whether the server crashed and has not been seen since.
func (t *Tracker) Down(now time.Time) bool {
	return !t.crashedAt.IsZero() && now.Sub(t.crashedAt) < downTime
}

// Follow takes the fraction that the server's owner has agreed with all nodes that share it. A fall of the
// node's own stands for a moment, until the owner has heard of it.
func (t *Tracker) SetAgreedFraction(agreed float64, now time.Time) {
	agreed = min(1, max(agreed, t.cold))
	t.shared = true
	changed := agreed != t.agreed
	t.agreed = agreed
	if agreed > t.fraction && now.Sub(t.fallenAt) < fallHold {
		return
	}
	if changed || t.fraction != agreed {
		t.change(agreed, now)
	}
}

// Suggest returns the fraction that the node would have the server's owner agree to, or zero for the present
// one.
func (t *Tracker) SuggestFraction(now time.Time) float64 {
	f := t.Fraction(now)
	switch {
	case f < t.agreed:
		return f
	case t.wish > t.agreed:
		return t.wish
	}
	return 0
}

func (t *Tracker) silent(now time.Time) bool {
	return t.cold < 1 && !t.lastSign.IsZero() && now.Sub(t.lastSign) > absence
}

// Overloaded makes the server cold at once: it refused work for lack of room.
func (t *Tracker) Overloaded(now time.Time) { t.fall(t.cold, now) }

// Crashed makes the server cold at once, and down until a report shows it again.
func (t *Tracker) Crashed(now time.Time) {
	t.fall(t.cold, now)
	t.crashedAt = now
}

// Observe takes what the node saw while allowed streams could run on the server.
func (t *Tracker) Observe(e Evidence, allowed int, now time.Time) {
	if e.Tokens+e.FirstTokens+e.Finished > 0 {
		t.sign(now)
	}
	if t.burst(e, now) {
		t.fall(t.cold, now)
		return
	}
	if t.jumped(e, now) {
		t.fall(max(t.cold, t.fraction*fallFactor), now)
		return
	}
	t.rise(e, allowed, now)
}

// A sign of life after an absence finds the server cold.
func (t *Tracker) sign(now time.Time) {
	if t.silent(now) {
		t.fall(t.cold, now)
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
	raised := min(1, t.raised(allowed))
	if t.shared {
		t.wish = raised
		return
	}
	t.change(raised, now)
}

// A rise of a node alone adds at least one stream to the allowance.
func (t *Tracker) raised(allowed int) float64 {
	if t.shared {
		return t.fraction * riseFactor
	}
	return max(t.fraction*riseFactor, t.fraction*float64(allowed+1)/float64(max(1, allowed)))
}

func (t *Tracker) fall(fraction float64, now time.Time) {
	t.change(fraction, now)
	t.fallenAt = now
}

func (t *Tracker) change(fraction float64, now time.Time) {
	t.fraction, t.changedAt = fraction, now
	t.tokens, t.late, t.gapSum = 0, 0, 0
	t.errors, t.wish = 0, 0
	t.recent, t.recentAt = Evidence{}, now
}

// Report takes the server's own report; maxStreams is its warm limit. A changed boot identity makes it cold. A
// report of more running streams than a node alone would allow, without waiting ones, raises the fraction to
// what the server shows that it bears, unless the fraction changed after the report was sampled.
func (t *Tracker) Report(r Report, maxStreams int, now time.Time) {
	t.sign(now)
	if r.SampledAt.After(t.crashedAt) && r.BootID != t.bootID {
		t.crashedAt = time.Time{}
	}
	if t.bootID != "" && r.BootID != t.bootID {
		t.bootID = r.BootID
		t.fall(t.cold, now)
		return
	}
	t.bootID = r.BootID
	if t.shared || r.SampledAt.Before(t.changedAt) || r.Waiting > 0 || maxStreams <= 0 {
		return
	}
	if borne := min(1, float64(r.Running)/float64(maxStreams)); borne > t.fraction {
		t.change(borne, now)
	}
}
