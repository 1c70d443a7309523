package length_test

import (
	"math"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"ebonyferry/internal/core/length"
)

func TestDistIsADistribution(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := length.New().Series(length.Key{Account: "a"})
		for _, n := range rapid.SliceOf(rapid.IntRange(0, 100_000)).Draw(t, "lengths") {
			s.Observe(n)
		}
		d := s.Dist()
		generated := rapid.IntRange(0, 50_000).Draw(t, "given")
		more := rapid.IntRange(0, 50_000).Draw(t, "more")
		step := rapid.IntRange(0, 1000).Draw(t, "step")
		near, far := d.Survival(generated, more), d.Survival(generated, more+step)
		if near < 0 || near > 1 || far > near+1e-12 {
			t.Fatalf("survival of %d and %d more: got %v and %v, want a falling probability", more, more+step, near, far)
		}
		q := rapid.Float64Range(0.05, 0.95).Draw(t, "q")
		n := d.Quantile(generated, q)
		if got, want := 1-d.Survival(generated, n+1), q; n > 0 && generated+n < 100_000 && got < want-0.02 {
			t.Fatalf("quantile %v after %d is %d: got probability %v to stay within, want %v", q, generated, n, got, want)
		}
	})
}

func TestQuantileFollowsAccountClassAndDrift(t *testing.T) {
	p := length.New()
	long := p.Series(length.Key{Account: "long", Class: "narrative"})
	for i := range 400 {
		long.Observe(900 + i%200)
	}
	newcomer := p.Series(length.Key{Account: "new", Class: "narrative"})
	other := p.Series(length.Key{Account: "other", Class: "narrative"})
	for range 100 {
		other.Observe(50)
	}
	drifted := p.Series(length.Key{Account: "drifted", Class: "batch"})
	for range 400 {
		drifted.Observe(300)
	}
	for range 100 {
		drifted.Observe(600)
	}
	tests := []struct {
		name      string
		series    *length.Series
		generated int
		low, high int
	}{
		{"own lengths", long, 0, 700, 1300},
		{"remaining", long, 800, 50, 500},
		{"lengths of the class", newcomer, 0, 500, 1300},
		{"account differs from class", other, 0, 35, 70},
		{"after 100 doubled lengths", drifted, 0, 450, 750},
	}
	for _, tt := range tests {
		if got := tt.series.Dist().Quantile(tt.generated, 0.5); got < tt.low || got > tt.high {
			t.Errorf("%s: got median %d, want %d to %d", tt.name, got, tt.low, tt.high)
		}
	}
}

func TestQuantileBeyondAllObservations(t *testing.T) {
	s := length.New().Series(length.Key{Account: "a"})
	for range 200 {
		s.Observe(100)
	}
	got := s.Dist().Quantile(20_000, 0.5)
	if got <= 0 || got > 100_000 || math.IsNaN(s.Dist().Survival(20_000, 100)) {
		t.Errorf("median after 20000 tokens: got %d, want one above zero", got)
	}
}

func TestSeriesAreBounded(t *testing.T) {
	p := length.New(length.WithMaxSeries(10))
	kept := p.Series(length.Key{Account: "0"})
	for i := range 100 {
		p.Series(length.Key{Account: strconv.Itoa(i)}).Observe(5)
		p.Series(length.Key{Account: "0"})
	}
	if got, want := p.Len(), 10; got != want {
		t.Errorf("series: got %d, want %d", got, want)
	}
	if got, want := p.Series(length.Key{Account: "0"}), kept; got != want {
		t.Error("the series in use was evicted")
	}
}

func TestDriftAppliesToAccountsWithoutNewLengths(t *testing.T) {
	p := length.New()
	key := func(i int) length.Key { return length.Key{Account: strconv.Itoa(i), Class: "narrative"} }
	for i := range 2000 {
		p.Series(key(i % 20)).Observe(300)
	}
	before := p.Series(key(19)).Dist().Quantile(0, 0.5)
	for i := range 150 {
		p.Series(key(i % 19)).Observe(600)
	}
	if got, low := p.Series(key(19)).Dist().Quantile(0, 0.5), before*3/2; got < low {
		t.Errorf("median of the account without new lengths: got %d, want at least %d (before the drift %d)", got, low, before)
	}
}
