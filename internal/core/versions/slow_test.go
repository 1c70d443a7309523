package versions

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// step is an event of a replay.
type step struct {
	at time.Duration // since the order
	do func()
}

// replay runs steps in order of time. It implements heap.Interface.
type replay []step

func (q replay) Len() int           { return len(q) }
func (q replay) Less(i, j int) bool { return q[i].at < q[j].at }
func (q replay) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *replay) Push(x any)        { *q = append(*q, x.(step)) }
func (q *replay) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (q *replay) add(at time.Duration, do func()) { heap.Push(q, step{at, do}) }

// speed is how fast a version answers.
type speed struct {
	first, gap time.Duration // means without load
	late       float64       // share of the requests that it answers only after their caller has left
	load       float64       // how much longer it takes under the load of all requests, as a fraction
	cold       float64       // how much longer it takes in the first two seconds of the order, as a fraction
}

// factor returns how much longer an answer takes at a time under a share of the load.
func (s speed) factor(at time.Duration, share float64) float64 {
	f := 1 + s.load*share
	if at < 2*time.Second {
		f += s.cold
	}
	return f
}

// outcome is how a rollout ended.
type outcome struct {
	state       State
	after       time.Duration
	sent, sent2 int // requests until the duration has passed, and those of the new version
}

// rollOut replays a rollout before streams that arrive at a rate, of which most are short.
func rollOut(rng *rand.Rand, d time.Duration, perSecond float64, old, new speed) outcome {
	const callerLeaves, target = 5300 * time.Millisecond, 1500 * time.Millisecond
	r := New(Order{Service: "s", Target: "v2", Duration: d}, start)
	var q replay
	var o outcome
	serve := func(at time.Duration, id string) {
		share := r.Share(start.Add(at))
		version, s, factor := "v1", old, old.factor(at, 1-share)
		if rng.Float64() < share {
			version, s, factor = "v2", new, new.factor(at, share)
		}
		gap := time.Duration(factor * float64(s.gap))
		if o.sent++; version == "v2" {
			o.sent2++
		}
		r.ExpectAnswer(id, version, target, start.Add(at))
		if rng.Float64() < s.late {
			q.add(at+callerLeaves, func() { r.EndWait(id, false, start.Add(at+callerLeaves)) })
			return
		}
		first := time.Duration((0.4 + 0.6*rng.ExpFloat64()) * factor * float64(s.first))
		q.add(at+first, func() {
			r.EndWait(id, true, start.Add(at+first))
			r.RecordAnswer(version, first, false)
		})
		events := 1 + rng.IntN(5)
		if rng.Float64() < 0.4 {
			events = 200
		}
		for n := 4; n < events; n += 4 {
			q.add(at+first+time.Duration(n)*gap, func() {
				var gaps []time.Duration
				for range 4 {
					gaps = append(gaps, time.Duration((0.5+0.5*rng.ExpFloat64())*float64(gap)))
				}
				r.RecordGaps(version, gaps, n == 4)
			})
		}
	}
	for at := time.Duration(0); at < d; at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)) {
		q.add(at, func() { serve(at, strconv.FormatInt(int64(at), 10)) })
	}
	for at := time.Duration(0); at < 2*d; at += 400 * time.Millisecond {
		q.add(at, func() {
			now := start.Add(at)
			r.ApplyFleetEvidence(r.LocalEvidence(now), now)
			if s := r.ProposedState(now); s != Running && r.State() == Running {
				r.SetState(s)
				o.state, o.after = s, at
			}
		})
	}
	for q.Len() > 0 {
		heap.Pop(&q).(step).do()
	}
	return o
}

var sound = speed{first: 400 * time.Millisecond, gap: 45 * time.Millisecond}

// A version that answers several times more slowly was completed, since the share of the requests grew while its answers were
// still to come.
func TestSlowVersionsAreRolledBack(t *testing.T) {
	tests := []struct {
		name string
		new  speed
	}{
		{"late first events", speed{first: 2 * time.Second, gap: 45 * time.Millisecond}},
		{"slow events after an early first", speed{first: 400 * time.Millisecond, gap: 220 * time.Millisecond}},
		{"all of it", speed{first: 2 * time.Second, gap: 280 * time.Millisecond}},
		{"callers leave before the first event", speed{first: 400 * time.Millisecond, gap: 45 * time.Millisecond, late: 0.6}},
	}
	for _, tt := range tests {
		for _, perSecond := range []float64{6, 8, 50} {
			t.Run(tt.name+" at "+strconv.Itoa(int(perSecond)), func(t *testing.T) {
				for seed := range uint64(40) {
					o := rollOut(rand.New(rand.NewPCG(seed, 3)), 15*time.Second, perSecond, sound, tt.new)
					if o.state != RolledBack {
						t.Errorf("seed %d: got state %v after %v, want rolled back", seed, o.state, o.after)
					}
					if got, want := o.sent2, o.sent/10+50; got > want {
						t.Errorf("seed %d: the version got %d requests of %d, want at most %d", seed, got, o.sent, want)
					}
				}
			})
		}
	}
}

// A good version must be completed within the order's duration, also with few requests, when it becomes as slow as the old one
// was under its load, and when its servers start cold.
func TestGoodVersionsAreCompletedInTime(t *testing.T) {
	busy := sound
	busy.load = 0.75
	cold := busy
	cold.cold = 1.5
	for _, tt := range []struct {
		name     string
		old, new speed
		d        time.Duration
	}{
		{"equal", sound, sound, 15 * time.Second},
		{"slower under load", busy, busy, 15 * time.Second},
		{"cold at first", busy, cold, 15 * time.Second},
		{"in a short rollout", sound, sound, 12 * time.Second},
	} {
		for _, perSecond := range []float64{6, 8, 50} {
			t.Run(tt.name+" at "+strconv.Itoa(int(perSecond)), func(t *testing.T) {
				missed := 0
				for seed := range uint64(100) {
					o := rollOut(rand.New(rand.NewPCG(seed, 4)), tt.d, perSecond, tt.old, tt.new)
					if o.state != Completed || o.after > tt.d {
						missed++
						t.Logf("seed %d: state %v after %v", seed, o.state, o.after)
					}
				}
				if limit := 2; missed > limit {
					t.Errorf("good versions not completed in time: got %d of 100, want at most %d", missed, limit)
				}
			})
		}
	}
}
