package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ebonyferry/internal/core/speed"
)

// view is what nodes know of speeds when they choose.
type view int

const (
	viewNone    view = iota // nothing, as before
	viewLearned             // what they observed, and digests of what others did
	viewAll                 // all speeds, as the planner does that the others are compared with
)

// speedSim replays streams on engines that differ and are slow for moments, in steps of a millisecond. Nodes learn the
// loads that their own failure domain placed after ownDelay, and the others after otherDelay. Digests are 0.5 to 1 s old.
type speedSim struct {
	rng     *rand.Rand
	view    view
	nodes   []*speed.Tracker
	engines []*speedEngine
	ids     []speed.Server
	history [][][]Load // ring of loads by time, failure domain and server
	digests []map[speed.Server]speed.Report
	now     int

	perSecond  float64
	longShare  float64
	longPrompt [2]int // least and most tokens
	longEvents [2]int
	shortText  [2]int // least and most tokens of a short prompt
	weighed    bool   // the time to the first event is weighed by the work
	otherDelay int
	firsts     []time.Duration // times to the first event
	shorts     []time.Duration // the same, of short streams
	longFirsts []time.Duration // the same, of long streams
	longs      int
	lateGaps   int // long streams with a gap of over 180 ms
	overfull   int // times at which an engine's runs needed more than its memory
}

const (
	speedDomains = 4
	perDomain    = 12
	speedNodes   = 61
	speedMemory  = 26_945
	slowTime     = 600 // ms
	slowShare    = 0.15
	slowPace     = 2.5
	loadEvery    = 5   // ms
	ringSize     = 100 // of loadEvery
	digestEvery  = 500 // ms
)

// speedEngine works in steps. In each it decodes one token of each run and reads a chunk of one prompt.
type speedEngine struct {
	steady    float64
	slowUntil int
	busyUntil float64
	queue     []*speedRun
	runs      []*speedRun
}

type speedRun struct {
	node, domain int
	at           int
	prompt, left int // tokens, tokens not read
	answer       int // tokens left to generate
	generated    int
	long         bool
	seen         Load
	lastEvent    int
	gaps         []time.Duration
	late         bool
}

func newSpeedSim(seed uint64, v view, otherDelay int) *speedSim {
	s := &speedSim{rng: rand.New(rand.NewPCG(seed, 1)), view: v, perSecond: 49.6, otherDelay: otherDelay}
	s.longShare, s.longPrompt, s.longEvents, s.shortText = 0.474, [2]int{2000, 4000}, [2]int{60, 312}, [2]int{1400, 3000}
	for i := range speedDomains * perDomain {
		s.ids = append(s.ids, speed.Server{ID: fmt.Sprint(i)})
		s.engines = append(s.engines, &speedEngine{steady: 1 / []float64{0.6, 1, 1.6}[i%3]})
	}
	for range speedNodes {
		s.nodes = append(s.nodes, speed.NewTracker())
	}
	s.history = make([][][]Load, ringSize)
	return s
}

func (e *speedEngine) pace(now int) float64 {
	if now < e.slowUntil {
		return slowPace
	}
	return 1
}

func (s *speedSim) run(d time.Duration) {
	for s.now = 0; s.now < int(d.Milliseconds()); s.now++ {
		if s.now%loadEvery == 0 {
			s.history[s.now/loadEvery%ringSize] = s.loads()
		}
		for _, e := range s.engines {
			if s.now >= e.slowUntil && s.rng.Float64() < slowShare/(1-slowShare)/slowTime {
				e.slowUntil = s.now + slowTime
			}
		}
		if s.now%digestEvery == 0 {
			s.exchange()
		}
		if s.rng.Float64() < s.perSecond/1000 {
			s.place()
		}
		for i, e := range s.engines {
			s.work(i, e)
		}
	}
}

// known returns the loads of some milliseconds ago.
func (s *speedSim) known(delay int) [][]Load {
	return s.history[max(0, s.now-delay)/loadEvery%ringSize]
}

func (s *speedSim) loads() [][]Load {
	all := make([][]Load, speedDomains)
	for d := range all {
		all[d] = make([]Load, len(s.engines))
	}
	for i, e := range s.engines {
		used := 0
		for _, r := range e.queue {
			l := &all[r.domain][i]
			*l = l.Plus(Load{Streams: 1, RunTokens: r.prompt + r.answer/2, PrefillTokens: r.prompt})
			used += r.prompt - r.left
		}
		for _, r := range e.runs {
			l := &all[r.domain][i]
			*l = l.Plus(Load{Streams: 1, RunTokens: r.prompt + (r.answer+r.generated)/2})
			used += r.prompt + r.generated
		}
		if used > speedMemory {
			s.overfull++
		}
	}
	return all
}

// exchange makes the digests of all nodes known at the next exchange.
func (s *speedSim) exchange() {
	sum := make(map[speed.Server]speed.Report)
	for _, t := range s.nodes {
		for id, r := range t.Reports(s.time()) {
			sum[id] = speed.Merge(sum[id], r)
		}
	}
	speed.Newest(sum)
	s.digests = append(s.digests, sum)
}

func (s *speedSim) time() time.Time { return time.UnixMilli(int64(s.now)) }

// estimate returns what a node knows of the speed of a server.
func (s *speedSim) estimate(node, i int) speed.Estimate {
	e := s.engines[i]
	switch s.view {
	case viewAll:
		est := speed.Estimate{Steady: e.steady, Momentary: e.pace(s.now), Likely: 1}
		est.SlowFor = time.Duration(max(0, e.slowUntil-s.now)) * time.Millisecond
		return est
	case viewLearned:
		id := s.ids[i]
		r := s.nodes[node].Report(id, s.time())
		if n := len(s.digests) - 2; n >= 0 {
			if other, ok := s.digests[n][id]; ok {
				r = speed.Merge(r, other.Later(time.Duration(s.now-n*digestEvery)*time.Millisecond))
			}
		}
		return r.Estimate()
	}
	return speed.Estimate{}
}

func (s *speedSim) between(r [2]int) int { return r[0] + s.rng.IntN(r[1]-r[0]) }

func (s *speedSim) place() {
	node := s.rng.IntN(speedNodes)
	from := node % speedDomains
	list := make([]Candidate, len(s.engines))
	for i := range list {
		domain := i / perDomain
		list[i] = Candidate{
			Slots: simSlots, Memory: speedMemory, Domain: string(rune('a' + domain)), CrossDomain: domain != from,
			TieBreak: s.rng.Float64(), Speed: s.estimate(node, i), LoadAge: time.Duration(s.otherDelay) * time.Millisecond,
		}
		for d := range speedDomains {
			delay := s.otherDelay
			if d == from {
				delay = int(ownDelay.Milliseconds())
			}
			list[i].Load = list[i].Load.Plus(s.known(delay)[d][i])
		}
	}
	r := &speedRun{node: node, domain: from, at: s.now, prompt: s.between(s.shortText), answer: 8}
	if s.rng.Float64() < s.longShare {
		r.long, r.prompt, r.answer = true, s.between(s.longPrompt), 4*s.between(s.longEvents)
	}
	r.left = r.prompt
	need := Need{Tokens: r.prompt + r.answer/2, Prompt: r.prompt}
	if s.weighed {
		m := speed.DefaultModel
		lightest := m.Work((s.shortText[0]+s.shortText[1])/2, 8)
		heaviest := m.Work((s.longPrompt[0]+s.longPrompt[1])/2, 2*(s.longEvents[0]+s.longEvents[1]))
		need.FirstWeight = FirstWeight(m.Work(r.prompt, r.answer), lightest, heaviest)
	}
	at := Choose(list, need)
	if at < 0 {
		s.firsts = append(s.firsts, time.Hour)
		return
	}
	r.seen = list[at].Load
	e := s.engines[at]
	// Engines admit more urgent prompts first, but do not interrupt the one that they read.
	i := len(e.queue)
	for ; !r.long && i > 1 && e.queue[i-1].long; i-- {
	}
	e.queue = slices.Insert(e.queue, i, r)
}

// work ends the present step of an engine, if it is over, and begins the next.
func (s *speedSim) work(i int, e *speedEngine) {
	if float64(s.now) < e.busyUntil || len(e.queue)+len(e.runs) == 0 {
		return
	}
	m := speed.DefaultModel
	step := 0.0
	kept := e.runs[:0]
	for _, r := range e.runs {
		s.decode(i, r)
		if r.answer > 0 {
			kept = append(kept, r)
		}
	}
	e.runs = kept
	if len(e.queue) > 0 {
		r := e.queue[0]
		if r.left <= 0 {
			e.queue = e.queue[1:]
			e.runs = append(e.runs, r)
		} else {
			step += float64(min(r.left, m.ChunkTokens)) / m.TokensPerMs
			r.left -= m.ChunkTokens
		}
	}
	if len(e.runs) > 0 {
		step += float64(m.Gap(len(e.runs), false).Microseconds()) / float64(m.TokensPerEvent) / 1000
	}
	e.busyUntil = max(e.busyUntil, float64(s.now-1)) + step*e.steady*e.pace(s.now)
}

// decode generates one token of a run.
func (s *speedSim) decode(i int, r *speedRun) {
	e, id := s.engines[i], s.ids[i]
	m := speed.DefaultModel
	r.answer--
	r.generated++
	if r.generated%m.TokensPerEvent != 0 {
		return
	}
	node := s.nodes[r.node]
	gap := time.Duration(s.now-r.lastEvent) * time.Millisecond
	r.lastEvent = s.now
	if r.generated == m.TokensPerEvent {
		took := time.Duration(s.now-r.at) * time.Millisecond
		s.firsts = append(s.firsts, took)
		if !r.long {
			s.shorts = append(s.shorts, took)
		} else {
			s.longFirsts = append(s.longFirsts, took)
		}
		node.RecordPace(id, e.pace(s.now), s.time())
		node.RecordFirstEvent(id, took, m.Prefill(r.seen.PrefillTokens+r.prompt, r.seen.Streams)+m.Gap(r.seen.Streams+1, false), s.time())
		return
	}
	r.late = r.late || gap > 180*time.Millisecond
	if r.gaps = append(r.gaps, gap); len(r.gaps) == 4 {
		// A node knows the load of the engine a moment late.
		l := Load{}
		for d := range speedDomains {
			l = l.Plus(s.known(s.otherDelay)[d][i])
		}
		node.RecordGaps(id, r.gaps, m.Gap(l.Streams, l.PrefillTokens > 0), s.time())
		r.gaps = r.gaps[:0]
	}
	if r.answer == 0 && r.long {
		s.longs++
		if r.late {
			s.lateGaps++
		}
	}
}

func quantile(list []time.Duration, q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(list))
	return sorted[int(q*float64(len(sorted)-1))]
}

func (s *speedSim) String() string {
	late := 0
	for _, d := range s.firsts {
		if d > 1500*time.Millisecond {
			late++
		}
	}
	return fmt.Sprintf("first event p50 %v p95 %v p99 %v, short p95 %v, later than 1.5 s %d of %d; long streams with a late gap %d of %d; overfull %.2f%%",
		quantile(s.firsts, 0.5), quantile(s.firsts, 0.95), quantile(s.firsts, 0.99), quantile(s.shorts, 0.95), late, len(s.firsts),
		s.lateGaps, s.longs, 100*float64(s.overfull*loadEvery)/float64(s.now*len(s.engines)))
}

// Guards against prompts that queue at slow servers, and against gaps over the limit on them, where speeds are learned
// from observations and digests of up to a second ago.
func TestLearnedSpeedsServeLikeKnownOnes(t *testing.T) {
	for seed, delay := range map[uint64]int{0: 150, 1: 400} {
		var sims [3]*speedSim
		for v := range sims {
			sims[v] = newSpeedSim(seed, view(v), delay)
			sims[v].run(30 * time.Second)
			t.Logf("seed %d, view %d: %v", seed, v, sims[v])
		}
		before, learned, all := sims[viewNone], sims[viewLearned], sims[viewAll]
		if got, want := quantile(learned.firsts, 0.95), quantile(all.firsts, 0.95)*6/5; got > want {
			t.Errorf("seed %d: 95th percentile of the time to the first event: got %v, want at most %v, a fifth over that with all speeds", seed, got, want)
		}
		if got, want := quantile(learned.firsts, 0.95), quantile(before.firsts, 0.95); got > want {
			t.Errorf("seed %d: 95th percentile of the time to the first event: got %v, want at most the %v of before", seed, got, want)
		}
		if got, want := learned.lateGaps, before.lateGaps/2; got > want {
			t.Errorf("seed %d: long streams with a gap over 180 ms: got %d of %d, want at most half of the %d of before", seed, got, learned.longs, before.lateGaps)
		}
		if got, want := learned.overfull*loadEvery, learned.now*len(learned.engines)/100; got > want {
			t.Errorf("seed %d: server time with too little memory: got %d ms, want at most %d ms", seed, got, want)
		}
	}
}

// usual is the estimate of a server of which nothing is known.
var usual = speed.Report{}.Estimate()

// Guards against many nodes that choose the same server by the same report.
func TestChoosersOfOneReportSpread(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	loads := make([]Load, 48)
	for i := range loads {
		loads[i] = Load{Streams: 4 + rng.IntN(6), RunTokens: 8000 + rng.IntN(9000), PrefillTokens: rng.IntN(2) * 2500}
	}
	loads[7] = Load{} // has just become idle
	for _, tt := range []struct {
		age time.Duration
		max int // choosers of one server
	}{{150 * time.Millisecond, 54}, {500 * time.Millisecond, 25}} {
		chosen := make(map[int]int)
		for node := range 60 {
			list := make([]Candidate, len(loads))
			for i := range list {
				list[i] = Candidate{Load: loads[i], Slots: simSlots, Memory: speedMemory, CrossDomain: i%4 != node%4, TieBreak: rng.Float64(), Speed: usual, LoadAge: tt.age}
			}
			chosen[Choose(list, Need{Tokens: 3000, Prompt: 2500})]++
		}
		for server, n := range chosen {
			if n > tt.max {
				t.Errorf("report of %v ago: server %d: got %d of 60 choosers, want at most %d", tt.age, server, n, tt.max)
			}
		}
	}
}

// Guards against gaps over the limit where another server could read the prompt, and against a refusal where none could.
func TestPromptAvoidsServerWithLongGaps(t *testing.T) {
	slow := speed.Report{Factor: 1.67, Weight: 60, Momentary: 2.5}.Estimate()
	list := []Candidate{
		{Slots: simSlots, Memory: speedMemory, Speed: slow},
		{Slots: simSlots, Memory: speedMemory, Speed: usual, CrossDomain: true, Load: Load{Streams: 15, RunTokens: 20_000, PrefillTokens: 6000}},
	}
	need := Need{Tokens: 3000, Prompt: 2500}
	if got, want := Choose(list, need), 1; got != want {
		t.Errorf("got server %d, want %d, which is not slow", got, want)
	}
	if got, want := Choose(list[:1], need), 0; got != want {
		t.Errorf("got server %d, want %d, the only one", got, want)
	}
	list[0].Speed, list[0].TokensPerEvent = usual, 12
	if got, want := Choose(list, need), 1; got != want {
		t.Errorf("events of 12 tokens: got server %d, want %d", got, want)
	}
	list[0].TokensPerEvent = 4
	list[0].Speed = speed.Report{Factor: 1.67, Weight: 60, Momentary: 2.5, MomentaryAge: time.Second}.Estimate()
	if got, want := Choose(list, need), 0; got != want {
		t.Errorf("a second later: got server %d, want %d", got, want)
	}
}

// Guards against choices that change where no speeds are known.
func TestChoicesWithoutSpeedsAreUnchanged(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	for range 500 {
		list := make([]Candidate, 1+rng.IntN(40))
		for i := range list {
			list[i] = Candidate{
				Load:  Load{Streams: rng.IntN(24), RunTokens: rng.IntN(24_000), CopyTokens: rng.IntN(4000), PrefillTokens: rng.IntN(9000), Failures: rng.IntN(20) / 18},
				Slots: simSlots, Memory: speedMemory, CrossDomain: rng.IntN(4) > 0, Cold: rng.IntN(9) == 0, TieBreak: rng.Float64(),
			}
		}
		need := Need{Tokens: rng.IntN(4000)}
		want, wantCall, lowest, lowestCall := -1, -1, 0.0, 0.0
		for i, c := range list {
			memory := float64(c.Load.RunTokens) + 0.75*float64(c.Load.CopyTokens) + float64(need.Tokens)
			common := 0.75*float64(c.Load.Failures) + 0.5*map[bool]float64{true: 1}[c.Cold]
			share, far := float64(c.Load.Streams+1)/simSlots, map[bool]float64{true: 1}[c.CrossDomain]
			cost := memory/speedMemory + share + float64(c.Load.PrefillTokens)/6000 + common + 0.3*far + 0.1*c.TieBreak
			if memory <= 0.92*speedMemory && share <= 0.9 && (want < 0 || cost < lowest) {
				want, lowest = i, cost
			}
			if call := share + common + 0.03*far + 0.04*c.TieBreak; wantCall < 0 || call < lowestCall {
				wantCall, lowestCall = i, call
			}
		}
		for i := range list {
			list[i].LoadAge = time.Duration(rng.IntN(1000)) * time.Millisecond
		}
		need.Prompt = 3000
		if got := Choose(list, need); got != want {
			t.Fatalf("got server %d, want %d as before", got, want)
		}
		if got := ChooseCall(list); got != wantCall {
			t.Fatalf("call: got server %d, want %d as before", got, wantCall)
		}
	}
}

// Guards against calls that queue at a slow server while a faster one has room.
func TestCallsAvoidSlowServers(t *testing.T) {
	slow := speed.Report{Factor: 1.67, Weight: 60}.Estimate()
	list := []Candidate{{Slots: 6, Speed: slow}, {Slots: 6, Speed: usual, Load: Load{Streams: 2}}}
	if got, want := ChooseCall(list), 1; got != want {
		t.Errorf("got server %d, want %d", got, want)
	}
	list[1].Load.Streams = 14
	if got, want := ChooseCall(list), 0; got != want {
		t.Errorf("with a queue at the faster one: got server %d, want %d", got, want)
	}
}

func BenchmarkChoose600(b *testing.B) {
	list := make([]Candidate, 600)
	for i := range list {
		list[i] = Candidate{Slots: simSlots, Memory: speedMemory, TieBreak: float64(i%7) / 7, Speed: usual}
	}
	for b.Loop() {
		Choose(list, Need{Tokens: 3000, Prompt: 2500})
	}
}
