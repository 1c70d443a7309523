package sharing

import (
	"math"
	"time"
)

// Memory is how long memory-time counts: the time constant of its decay. It is about half of a long run, so that an
// account that stops asking regains its place within a few seconds.
const Memory = 5 * time.Second

// Ledger holds decayed amounts by key, such as the token-seconds of engine memory that client accounts received. The zero
// value is empty. It is not safe for concurrent use.
type Ledger struct {
	entries map[string]entry
}

// entry is an amount as of a time.
type entry struct {
	amount float64
	at     time.Time
}

// decay returns the fraction of an amount that is left after a time.
func decay(d time.Duration) float64 { return math.Exp(-max(0, d).Seconds() / Memory.Seconds()) }

// Add adds an amount. A negative one corrects an earlier one; the result is at least zero.
func (l *Ledger) Add(key string, amount float64, now time.Time) {
	if l.entries == nil {
		l.entries = make(map[string]entry)
	}
	l.entries[key] = entry{amount: max(0, l.At(key, now)+amount), at: now}
}

// At returns the amount of a key.
func (l *Ledger) At(key string, now time.Time) float64 {
	e, ok := l.entries[key]
	if !ok {
		return 0
	}
	return e.amount * decay(now.Sub(e.at))
}

// All returns the amounts that are at least one, and forgets the others.
func (l *Ledger) All(now time.Time) map[string]float64 {
	all := make(map[string]float64, len(l.entries))
	for key := range l.entries {
		amount := l.At(key, now)
		if amount < 1 {
			delete(l.entries, key)
			continue
		}
		all[key] = amount
	}
	return all
}
