package commit_test

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"ebonyferry/internal/core/commit"
)

func TestPeakIsTheLargestSumOverTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var streams []commit.Stream
		for range rapid.IntRange(0, 8).Draw(t, "n") {
			streams = append(streams, commit.Stream{
				Held:      rapid.IntRange(0, 500).Draw(t, "held"),
				Remaining: rapid.IntRange(0, 200).Draw(t, "remaining"),
			})
		}
		want := 0
		for now := range 201 {
			sum := 0
			for _, s := range streams {
				if s.Remaining >= now {
					sum += s.Held + now
				}
			}
			want = max(want, sum)
		}
		if got := commit.Peak(streams); got != want {
			t.Fatalf("got %d, want %d", got, want)
		}
	})
}

// certain is the length distribution of streams that generate exactly n tokens.
type certain int

func (n certain) Survival(generated, more int) float64 {
	if generated+more <= int(n) {
		return 1
	}
	return 0
}

func TestProfile(t *testing.T) {
	long := commit.NewProfile(100, 0, 0, certain(1536))
	short := commit.NewProfile(1000, 0, 0, certain(24))
	known := commit.NewKnownProfile(100, 1536)
	bounded := commit.NewProfile(100, 0, 48, certain(1536))
	var both commit.Profile
	both.Add(&long)
	both.Add(&short)
	tests := []struct {
		name string
		got  float64
		want float64
	}{
		{"one stream at its end", long.Peak(1), 1636},
		{"known length", known.Peak(1), 1636},
		{"the short one has ended by then", both.Peak(1), 1636},
		{"with a second one of the same kind", long.PeakWith(&known, 1), 3272},
		{"bound on the output", bounded.Peak(1), 124},
	}
	for _, tt := range tests {
		if tt.got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, tt.got, tt.want)
		}
	}
}

// coin is a length distribution in which a stream generates more tokens with probability one half.
type coin struct{}

func (coin) Survival(_, more int) float64 {
	if more == 0 {
		return 1
	}
	return 0.5
}

func TestMarginGrowsWithSquareRootOfStreams(t *testing.T) {
	one := commit.NewProfile(0, 0, 0, coin{})
	var hundred commit.Profile
	for range 100 {
		hundred.Add(&one)
	}
	spread := func(p commit.Profile) float64 { return p.Peak(1) - p.Peak(0) }
	if got, want := spread(hundred), 10*spread(one); math.Abs(got-want) > 1e-6*want {
		t.Errorf("margin of 100 streams: got %v, want %v, ten times that of one", got, want)
	}
}
