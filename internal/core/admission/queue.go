package admission

import (
	"math"
	"time"
)

// This file defines the queue of one model.

const (
	rateWindow   = 4 * time.Second // over which the rate of grants is measured
	minGrantRate = 0.2             // grants a second assumed when none were seen
	rateEvidence = time.Second     // for which work must have waited before the rate counts
)

// Head start of urgent classes: work of a class is served as if it had come this much later.
var classDelay = [classes]time.Duration{Quick: 0, Narrative: 400 * time.Millisecond, Batch: 20 * time.Second}

// Time from arrival to the first token that is wanted when the caller states none.
var classDeadline = [classes]time.Duration{
	Quick: 1900 * time.Millisecond, Narrative: 1900 * time.Millisecond, Batch: time.Minute,
}

// queue holds the waiting work of one model, per class and account, first come first.
type queue struct {
	lines [classes][]*line
	n     int
	of    map[*account]int // tickets by account, of those that have any
	since time.Time        // from when on some work has waited
	rate  float64          // decayed count of grants
	at    time.Time        // of rate
	first ewma             // seconds from grant to first token
}

// line is the waiting work of one account in one class.
type line struct {
	account *account
	tickets []*Ticket // never empty
	heavy   bool      // the account runs too much, as of the last look
}

func (q *queue) push(t *Ticket) {
	if q.n == 0 {
		q.since = t.arrivedAt
	}
	q.n++
	q.of[t.account]++
	t.account.queued++
	c := t.Work.Class
	for _, l := range q.lines[c] {
		if l.account == t.account {
			l.tickets = append(l.tickets, t)
			return
		}
	}
	q.lines[c] = append(q.lines[c], &line{account: t.account, tickets: []*Ticket{t}})
}

// Remove takes t out of the queue.
func (q *queue) remove(t *Ticket) {
	c := t.Work.Class
	for i, l := range q.lines[c] {
		if l.account != t.account {
			continue
		}
		for j, other := range l.tickets {
			if other == t {
				l.tickets = append(l.tickets[:j], l.tickets[j+1:]...)
				q.n--
				if q.of[t.account]--; q.of[t.account] == 0 {
					delete(q.of, t.account)
				}
				t.account.queued--
				break
			}
		}
		if len(l.tickets) == 0 {
			q.lines[c] = append(q.lines[c][:i], q.lines[c][i+1:]...)
		}
		return
	}
}

// Heads appends to buf up to limit tickets in the order in which they should be served, at most one per account
// and class.
func (q *queue) heads(buf []*Ticket, limit int) []*Ticket {
	var next [classes]int
	for c := range q.lines {
		q.sortLines(c)
	}
	for len(buf) < limit {
		best := -1
		var due time.Time
		for c := range q.lines {
			if next[c] >= len(q.lines[c]) {
				continue
			}
			t := q.lines[c][next[c]].tickets[0]
			if d := t.arrivedAt.Add(classDelay[c]); best < 0 || d.Before(due) {
				best, due = c, d
			}
		}
		if best < 0 {
			break
		}
		buf = append(buf, q.lines[best][next[best]].tickets[0])
		next[best]++
	}
	return buf
}

// Before reports whether l is served before other: heavy accounts come last, then the least served first.
func (l *line) before(other *line) bool {
	if l.heavy != other.heavy {
		return other.heavy
	}
	return l.account.virtual < other.account.virtual
}

// Orders the lines of a class. They are nearly sorted from the time before.
func (q *queue) sortLines(c int) {
	lines := q.lines[c]
	for i := 1; i < len(lines); i++ {
		for j := i; j > 0 && lines[j].before(lines[j-1]); j-- {
			lines[j], lines[j-1] = lines[j-1], lines[j]
		}
	}
}

// Expired appends to buf the tickets that can no longer start in time.
func (q *queue) expired(buf []*Ticket, now time.Time) []*Ticket {
	for c := range q.lines {
		for _, l := range q.lines[c] {
			for _, t := range l.tickets {
				if now.After(t.latest) {
					buf = append(buf, t)
				}
			}
		}
	}
	return buf
}

// All returns the tickets that wait.
func (q *queue) all() []*Ticket {
	var list []*Ticket
	for c := range q.lines {
		for _, l := range q.lines[c] {
			list = append(list, l.tickets...)
		}
	}
	return list
}

// Tokens returns the memory that the waiting work is predicted to take.
func (q *queue) tokens() int {
	sum := 0.0
	for c := range q.lines {
		for _, l := range q.lines[c] {
			for _, t := range l.tickets {
				sum += t.load.Peak(0)
			}
		}
	}
	return int(sum)
}

// Granted counts a grant.
func (q *queue) granted(now time.Time) {
	q.decay(now)
	q.rate++
}

func (q *queue) decay(now time.Time) {
	if !q.at.IsZero() {
		q.rate *= math.Exp(-now.Sub(q.at).Seconds() / rateWindow.Seconds())
	}
	q.at = now
}

// Wait estimates how long t, which is at the end of its line, waits for a place: for its turn among the
// accounts that wait, or for all that wait when that is sooner.
func (q *queue) wait(t *Ticket, now time.Time) time.Duration {
	q.decay(now)
	rate := max(minGrantRate, q.rate/rateWindow.Seconds())
	active := 0
	for c := range q.lines {
		active += len(q.lines[c])
	}
	turns := min(q.n, t.account.queued*max(1, active))
	return time.Duration(float64(turns) / rate * float64(time.Second))
}

// ewma is an exponentially weighted mean with its mean deviation.
type ewma struct {
	mean, dev float64
	n         int
}

const ewmaShare = 0.1

func (e *ewma) add(x float64) {
	share := max(ewmaShare, 1/float64(e.n+1))
	d := x - e.mean
	e.mean += share * d
	e.dev += share * (math.Abs(d) - e.dev)
	e.n++
}
