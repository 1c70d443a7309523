// This file defines the measurements of one run.

package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLateShare = 0.05 // share of late gaps up to which the tokens of a request count as goodput
	histMax      = int64(time.Hour / time.Microsecond)
	histDigits   = 3
)

// Figures holds the measurements of one policy. Times are virtual.
type Figures struct {
	Requests               int     `json:"requests"`
	Completed              int     `json:"completed"`
	Refused                int     `json:"refused"`
	Failed                 int     `json:"failed"` // abandoned by their callers after crashes of their engines
	StallSeconds           float64 `json:"stallSeconds"`
	Preemptions            int     `json:"preemptions"`
	FirstTokenP95Ms        float64 `json:"firstTokenP95Ms"`
	BetweenTokensP95Ms     float64 `json:"betweenTokensP95Ms"`
	BetweenTokensP99Ms     float64 `json:"betweenTokensP99Ms"`
	TokensPerSecond        float64 `json:"tokensPerSecond"`
	GoodputTokensPerSecond float64 `json:"goodputTokensPerSecond"`
	ColdOverloads          int     `json:"coldOverloads"`
	// BullyFactor is the worst ratio of an account's first token p95 to the same without the bully.
	BullyFactor float64 `json:"bullyFactor,omitempty"`
	// AttemptsPerRequest is the mean number of times that callers sent a request.
	AttemptsPerRequest float64 `json:"attemptsPerRequest"`
	Quarantined        int     `json:"quarantined,omitempty"`
	// FalselyQuarantined counts harmless requests that were put in quarantine.
	FalselyQuarantined int `json:"bystandersCondemned"`
	Crashes            int `json:"crashes,omitempty"` // of engines, by poison requests
	// Move holds the measurements of the experiment domainMove.
	Move *MoveFigures `json:"move,omitempty"`

	counters
}

// counters holds the counts from which summarize computes figures.
type counters struct {
	attempts           int
	tokens, goodTokens int64
	firstTokens        *hdrhistogram.Histogram // microseconds
	tokenGaps          *hdrhistogram.Histogram // microseconds
	accountFirstTokens []*hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, histMax, histDigits) }

func (f *Figures) init(sc *scenario) {
	f.firstTokens, f.tokenGaps = newHistogram(), newHistogram()
	for range sc.accounts {
		f.accountFirstTokens = append(f.accountFirstTokens, newHistogram())
	}
}

func (f *Figures) recordFirstToken(r *request, d time.Duration) {
	us := max(1, d.Microseconds())
	_ = f.firstTokens.RecordValue(us) // below histMax
	_ = f.accountFirstTokens[r.account].RecordValue(us)
}

// recordGaps records n gaps of d between tokens.
func (f *Figures) recordGaps(d time.Duration, n int) {
	if n <= 0 {
		return
	}
	_ = f.tokenGaps.RecordValues(max(1, d.Microseconds()), int64(n)) // below histMax
	f.tokens += int64(n)
	if d > targetGap {
		f.StallSeconds += (d - targetGap).Seconds() * float64(n)
	}
}

// recordCompleted counts a complete answer. Its tokens count as goodput if the first token was in time and few gaps
// were late.
func (f *Figures) recordCompleted(r *request) {
	f.Completed++
	firstInTime := r.firstTokenAt-r.sentAt <= targetFirst
	if firstInTime && float64(r.lateGaps) <= maxLateShare*float64(r.length) {
		f.goodTokens += int64(r.length)
	}
}

func (f *Figures) summarize(sc *scenario) {
	seconds := sc.end.Seconds()
	f.FirstTokenP95Ms = float64(f.firstTokens.ValueAtQuantile(95)) / 1000
	f.BetweenTokensP95Ms = float64(f.tokenGaps.ValueAtQuantile(95)) / 1000
	f.BetweenTokensP99Ms = float64(f.tokenGaps.ValueAtQuantile(99)) / 1000
	f.TokensPerSecond = float64(f.tokens) / seconds
	f.GoodputTokensPerSecond = float64(f.goodTokens) / seconds
	if f.Requests > 0 {
		f.AttemptsPerRequest = float64(f.attempts) / float64(f.Requests)
	}
}
