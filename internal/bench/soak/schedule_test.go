package soak

import (
	"reflect"
	"testing"
	"time"
)

func TestScheduleKeepsItsBounds(t *testing.T) {
	p := plan{
		nodes:    []string{"n1", "n2", "n3", "n4", "n5", "n6"},
		engines:  []string{"e1", "e2"},
		domains:  []string{"a", "b"},
		duration: time.Minute,
		lease:    2 * time.Second,
	}
	seen := make(map[Kind]bool)
	for seed := range uint64(50) {
		actions := p.draw(seed)
		if got := p.draw(seed); !reflect.DeepEqual(got, actions) {
			t.Fatalf("seed %d: two schedules differ", seed)
		}
		if len(actions) < 5 {
			t.Errorf("seed %d: got %d actions, want at least 5", seed, len(actions))
		}
		for i, a := range actions {
			seen[a.Kind] = true
			if a.At < faultFreeStart || a.end() > p.duration {
				t.Errorf("seed %d: action %v is out of bounds", seed, a)
			}
			if a.Kind == PauseNode && a.For <= p.lease {
				t.Errorf("seed %d: pause %v is no longer than a lease", seed, a)
			}
			if !p.fits(a, actions[:i]) {
				t.Errorf("seed %d: action %v breaks a bound", seed, a)
			}
		}
	}
	for _, w := range weights {
		if !seen[w.kind] {
			t.Errorf("kind %s was never drawn", w.kind)
		}
	}
}
