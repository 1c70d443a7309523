package speed

import (
	"math"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a prediction that is off by more than engines vary.
func TestModel(t *testing.T) {
	tests := []struct {
		name      string
		got       time.Duration
		low, high time.Duration
	}{
		{"prompt alone", DefaultModel.Prefill(3000, 0), 210 * time.Millisecond, 220 * time.Millisecond},
		{"prompt beside a run", DefaultModel.Prefill(3000, 1), 300 * time.Millisecond, 450 * time.Millisecond},
		{"prompt beside 12 runs", DefaultModel.Prefill(3000, 12), 300 * time.Millisecond, 450 * time.Millisecond},
		{"gap", DefaultModel.Gap(10, false), 32 * time.Millisecond, 34 * time.Millisecond},
		{"gap beside a prompt", DefaultModel.Gap(10, true), 64 * time.Millisecond, 66 * time.Millisecond},
	}
	for _, tt := range tests {
		if tt.got < tt.low || tt.got > tt.high {
			t.Errorf("%s: got %v, want %v to %v", tt.name, tt.got, tt.low, tt.high)
		}
	}
}

// observe records gaps every 200 ms for a time, at a factor that may change.
func observe(tr *Tracker, s Server, from time.Time, d time.Duration, factor func(time.Duration) float64) time.Time {
	for at := time.Duration(0); at < d; at += 200 * time.Millisecond {
		tr.RecordGaps(s, []time.Duration{time.Duration(40e6 * factor(at))}, 40*time.Millisecond, from.Add(at))
	}
	return from.Add(d)
}

// Guards against slow periods that are taken for slow hardware, and against hardware whose factor is not learned.
func TestSteadyFactor(t *testing.T) {
	for _, want := range []float64{0.625, 1, 1.67} {
		tr := NewTracker()
		s := Server{"a", 1}
		now := observe(tr, s, start, 20*time.Second, func(at time.Duration) float64 {
			if at%(4*time.Second) >= 3400*time.Millisecond {
				return 2.5 * want
			}
			return want
		})
		e := tr.Report(s, now.Add(time.Second)).Estimate()
		if got := e.Steady; math.Abs(got/want-1) > 0.12 {
			t.Errorf("steady factor: got %.2f, want %.2f", got, want)
		}
		if e.Confidence < 0.8 || e.Momentary != 1 {
			t.Errorf("got %+v, want confidence of at least 0.8 and no momentary factor", e)
		}
	}
}

// Guards against a server that is avoided for longer than its slow period, and against one that stays slow unseen.
func TestMomentaryFactor(t *testing.T) {
	tr := NewTracker()
	s := Server{"a", 1}
	now := observe(tr, s, start, 10*time.Second, func(time.Duration) float64 { return 1 })
	tr.RecordPace(s, 2.5, now)
	for _, tt := range []struct {
		after     time.Duration
		low, high float64
	}{{0, 2.4, 2.6}, {300 * time.Millisecond, 1.5, 2}, {time.Second, 0.95, 1.05}} {
		e := tr.Report(s, now.Add(tt.after)).Estimate()
		if got := e.Factor(); got < tt.low || got > tt.high {
			t.Errorf("factor after %v: got %.2f, want %.1f to %.1f", tt.after, got, tt.low, tt.high)
		}
	}
	now = now.Add(2 * time.Second)
	held := []time.Duration{200 * time.Millisecond, 0, 100 * time.Millisecond, 100 * time.Millisecond}
	tr.RecordGaps(s, held, 40*time.Millisecond, now)
	e := tr.Report(s, now).Estimate()
	if got, want := e.Factor(), 1.3; got > want {
		t.Errorf("factor by events that arrive together: got %.2f, want at most %.1f", got, want)
	}
	tr.RecordGaps(s, []time.Duration{100 * time.Millisecond}, 40*time.Millisecond, now)
	e = tr.Report(s, now).Estimate()
	if got, want := e.Factor(), 2.0; got < want {
		t.Errorf("factor by gaps: got %.2f, want at least %.1f", got, want)
	}
	tr.RecordPace(s, 1, now.Add(50*time.Millisecond))
	e = tr.Report(s, now.Add(50*time.Millisecond)).Estimate()
	if got, want := e.Factor(), 1.2; got > want {
		t.Errorf("factor once the server is as usual again: got %.2f, want at most %.1f", got, want)
	}
}

// Guards against a prediction that stretches long work as if a slow period lasted for all of it.
func TestTimeOfWork(t *testing.T) {
	e := Estimate{Steady: 1, Momentary: 2.5, SlowFor: 300 * time.Millisecond}
	for _, tt := range []struct{ work, want time.Duration }{
		{100 * time.Millisecond, 250 * time.Millisecond},
		{120 * time.Millisecond, 300 * time.Millisecond},
		{420 * time.Millisecond, 600 * time.Millisecond},
	} {
		if got := e.Time(tt.work); (got - tt.want).Abs() > time.Millisecond {
			t.Errorf("%v of work: got %v, want %v", tt.work, got, tt.want)
		}
	}
}

// Guards against a server that is avoided for ever because nothing is observed of it.
func TestOldEstimateLosesWeight(t *testing.T) {
	tr := NewTracker()
	s := Server{"a", 1}
	now := observe(tr, s, start, 10*time.Second, func(time.Duration) float64 { return 2 })
	e := tr.Report(s, now.Add(40*time.Second)).Estimate()
	if got, want := e.Steady, 1.15; got > want {
		t.Errorf("after 40 s: got %.2f, want at most %.2f", got, want)
	}
	if e.Age < 40*time.Second {
		t.Errorf("age: got %v, want at least 40s", e.Age)
	}
}

// Guards against factors of an earlier process, and against its late answers.
func TestServerThatStartsAgain(t *testing.T) {
	tr := NewTracker()
	old, next := Server{"a", 1}, Server{"a", 2}
	now := observe(tr, old, start, 10*time.Second, func(time.Duration) float64 { return 3 })
	if got := tr.Report(next, now); got != (Report{}) {
		t.Errorf("before the first observation: got %+v, want none", got)
	}
	tr.RecordPace(next, 1, now)
	tr.RecordGaps(old, []time.Duration{time.Second}, 40*time.Millisecond, now)
	e := tr.Report(next, now).Estimate()
	if got := e.Steady; got != 1 {
		t.Errorf("steady factor: got %.2f, want 1", got)
	}
}

// Guards against sums of reports that depend on how nodes are grouped, and against digests that grow with the servers.
func TestReports(t *testing.T) {
	a := Report{Factor: 2, Weight: 10, Age: time.Second, Momentary: 1, MomentaryAge: 900 * time.Millisecond}
	b := Report{Factor: 1, Weight: 10, Age: 3 * time.Second, Momentary: 2.5, MomentaryAge: 100 * time.Millisecond}
	got := Merge(a, b)
	if math.Abs(got.Factor-math.Sqrt2) > 0.01 || got.Weight != 20 || got.Age != time.Second || got.Momentary != 2.5 {
		t.Errorf("got %+v, want a factor of 1.41 of weight 20, 1 s old, and 2.5 at the moment", got)
	}
	if got := Merge(Report{}, a); got != a {
		t.Errorf("with a zero report: got %+v, want %+v", got, a)
	}
	tr := NewTracker()
	now := start
	for i := range 300 {
		now = observe(tr, Server{string(rune('a' + i)), 1}, start, 2*time.Second, func(time.Duration) float64 { return 1 + float64(i%2) })
	}
	if got, want := len(tr.Reports(now)), maxReported; got != want {
		t.Errorf("reported servers: got %d, want %d", got, want)
	}
	for s, r := range tr.Reports(now) {
		if r.Factor < 1+minDeviation {
			t.Errorf("server %q with factor %.2f is reported", s.ID, r.Factor)
		}
	}
}
