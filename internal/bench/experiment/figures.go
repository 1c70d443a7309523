package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// This file defines what is measured of one run.

const (
	lateShare  = 0.05 // of a request's gaps that may be late for its tokens to count as good
	histMax    = int64(time.Hour / time.Microsecond)
	histDigits = 3
)

// Figures are the measurements of one policy. Times are in virtual time.
type Figures struct {
	Requests               int     `json:"requests"`
	Completed              int     `json:"completed"`
	Refused                int     `json:"refused"`
	Failed                 int     `json:"failed"` // given up by their callers after their engines died
	StallSeconds           float64 `json:"stallSeconds"`
	Preemptions            int     `json:"preemptions"`
	FirstTokenP95Ms        float64 `json:"firstTokenP95Ms"`
	BetweenTokensP95Ms     float64 `json:"betweenTokensP95Ms"`
	BetweenTokensP99Ms     float64 `json:"betweenTokensP99Ms"`
	TokensPerSecond        float64 `json:"tokensPerSecond"`
	GoodputTokensPerSecond float64 `json:"goodputTokensPerSecond"`
	ColdOverloads          int     `json:"coldOverloads"`
	// BullyFactor is the worst ratio of an account's p95 of first tokens to its figure without the bully.
	BullyFactor float64 `json:"bullyFactor,omitempty"`
	// AttemptsPerRequest counts how often callers sent a request, on average.
	AttemptsPerRequest float64 `json:"attemptsPerRequest"`
	Quarantined        int     `json:"quarantined,omitempty"`
	// FalselyQuarantined counts harmless requests that were put in quarantine.
	FalselyQuarantined int `json:"bystandersCondemned"`
	Crashes            int `json:"crashes,omitempty"` // of engines, by poisonous requests
	// Move holds the measurements of the experiment domainMove.
	Move *MoveFigures `json:"move,omitempty"`

	counters
}

// counters is what the figures are worked out from.
type counters struct {
	attempts      int
	tokens, good  int64
	firsts        *hdrhistogram.Histogram // microseconds
	between       *hdrhistogram.Histogram // microseconds
	accountFirsts []*hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, histMax, histDigits) }

func (f *Figures) init(sc *scenario) {
	f.firsts, f.between = newHistogram(), newHistogram()
	for range sc.accounts {
		f.accountFirsts = append(f.accountFirsts, newHistogram())
	}
}

func (f *Figures) first(r *request, d time.Duration) {
	us := max(1, d.Microseconds())
	_ = f.firsts.RecordValue(us) // below histMax
	_ = f.accountFirsts[r.account].RecordValue(us)
}

func (f *Figures) gap(d time.Duration, n int) {
	if n <= 0 {
		return
	}
	_ = f.between.RecordValues(max(1, d.Microseconds()), int64(n)) // below histMax
	f.tokens += int64(n)
	if d > targetGap {
		f.StallSeconds += (d - targetGap).Seconds() * float64(n)
	}
}

// Completed counts a whole answer; its tokens are good when its first token and its gaps came in time.
func (f *Figures) completed(r *request) {
	f.Completed++
	inTime := r.firstAt-r.sentAt <= targetFirst
	if inTime && float64(r.late) <= lateShare*float64(r.length) {
		f.good += int64(r.length)
	}
}

func (f *Figures) close(sc *scenario) {
	seconds := sc.end.Seconds()
	f.FirstTokenP95Ms = float64(f.firsts.ValueAtQuantile(95)) / 1000
	f.BetweenTokensP95Ms = float64(f.between.ValueAtQuantile(95)) / 1000
	f.BetweenTokensP99Ms = float64(f.between.ValueAtQuantile(99)) / 1000
	f.TokensPerSecond = float64(f.tokens) / seconds
	f.GoodputTokensPerSecond = float64(f.good) / seconds
	if f.Requests > 0 {
		f.AttemptsPerRequest = float64(f.attempts) / float64(f.Requests)
	}
}
