package admission

import (
	"math"
	"time"
)

const (
	rateWindow   = 4 * time.Second // over which the rate of grants is measured
	minGrantRate = 0.2             // least rate of grants per second that is assumed
	minRateTime  = time.Second     // for which work must have waited before the rate is used
)

// classDelay gives urgent classes a head start: work of a class is ordered as if it had arrived this much later.
var classDelay = [classes]time.Duration{Quick: 0, Narrative: 400 * time.Millisecond, Batch: 20 * time.Second}

// classDeadline is the time from arrival to first token that applies when the caller sets no deadline.
var classDeadline = [classes]time.Duration{
	Quick: 1900 * time.Millisecond, Narrative: 1900 * time.Millisecond, Batch: time.Minute,
}

// queue holds the waiting work of one model by class and account, in order of arrival.
type queue struct {
	byClass         [classes][]*accountQueue
	size            int
	byAccount       map[*account]int // number of tickets of each account that has any
	waitingSince    time.Time        // since when the queue has not been empty
	grants          float64          // decayed count, as of grantsAt
	grantsAt        time.Time
	firstTokenDelay ewma // seconds from grant to first token
}

// accountQueue is the waiting work of one account in one class.
type accountQueue struct {
	account *account
	tickets []*Ticket // never empty
	heavy   bool      // the account is heavy, as of pool.levelAt
}

func (q *queue) push(t *Ticket) {
	if q.size == 0 {
		q.waitingSince = t.arrivedAt
	}
	q.size++
	q.byAccount[t.account]++
	t.account.queued++
	c := t.Work.Class
	for _, aq := range q.byClass[c] {
		if aq.account == t.account {
			aq.tickets = append(aq.tickets, t)
			return
		}
	}
	q.byClass[c] = append(q.byClass[c], &accountQueue{account: t.account, tickets: []*Ticket{t}})
}

func (q *queue) remove(t *Ticket) {
	c := t.Work.Class
	for i, aq := range q.byClass[c] {
		if aq.account != t.account {
			continue
		}
		for j, other := range aq.tickets {
			if other == t {
				aq.tickets = append(aq.tickets[:j], aq.tickets[j+1:]...)
				q.size--
				if q.byAccount[t.account]--; q.byAccount[t.account] == 0 {
					delete(q.byAccount, t.account)
				}
				t.account.queued--
				break
			}
		}
		if len(aq.tickets) == 0 {
			q.byClass[c] = append(q.byClass[c][:i], q.byClass[c][i+1:]...)
		}
		return
	}
}

// next appends to buf up to limit tickets in the order in which they should be served, at most one per account
// and class.
func (q *queue) next(buf []*Ticket, limit int) []*Ticket {
	var next [classes]int
	for c := range q.byClass {
		q.sortClass(c)
	}
	for len(buf) < limit {
		best := -1
		var due time.Time
		for c := range q.byClass {
			if next[c] >= len(q.byClass[c]) {
				continue
			}
			t := q.byClass[c][next[c]].tickets[0]
			if d := t.arrivedAt.Add(classDelay[c]); best < 0 || d.Before(due) {
				best, due = c, d
			}
		}
		if best < 0 {
			break
		}
		buf = append(buf, q.byClass[best][next[best]].tickets[0])
		next[best]++
	}
	return buf
}

// before reports whether aq is served before other. Accounts that are not heavy come first. Within each group, the
// account that was served the fewest tokens comes first.
func (aq *accountQueue) before(other *accountQueue) bool {
	if aq.heavy != other.heavy {
		return other.heavy
	}
	return aq.account.served < other.account.served
}

// sortClass sorts the queues of a class by insertion, since they are nearly sorted from the previous call.
func (q *queue) sortClass(c int) {
	queues := q.byClass[c]
	for i := 1; i < len(queues); i++ {
		for j := i; j > 0 && queues[j].before(queues[j-1]); j-- {
			queues[j], queues[j-1] = queues[j-1], queues[j]
		}
	}
}

// expired appends to buf the tickets that can no longer start in time.
func (q *queue) expired(buf []*Ticket, now time.Time) []*Ticket {
	for c := range q.byClass {
		for _, aq := range q.byClass[c] {
			for _, t := range aq.tickets {
				if now.After(t.latestStart) {
					buf = append(buf, t)
				}
			}
		}
	}
	return buf
}

// all returns the waiting tickets.
func (q *queue) all() []*Ticket {
	var list []*Ticket
	for c := range q.byClass {
		for _, aq := range q.byClass[c] {
			list = append(list, aq.tickets...)
		}
	}
	return list
}

// predictedTokens returns the memory in tokens that the waiting work is predicted to take.
func (q *queue) predictedTokens() int {
	sum := 0.0
	for c := range q.byClass {
		for _, aq := range q.byClass[c] {
			for _, t := range aq.tickets {
				sum += t.load.Peak(0)
			}
		}
	}
	return int(sum)
}

func (q *queue) countGrant(now time.Time) {
	q.decay(now)
	q.grants++
}

func (q *queue) decay(now time.Time) {
	if !q.grantsAt.IsZero() {
		q.grants *= math.Exp(-now.Sub(q.grantsAt).Seconds() / rateWindow.Seconds())
	}
	q.grantsAt = now
}

// estimateWait estimates how long t, the last ticket of its account, waits for a grant: until its turn among the
// waiting accounts or until the whole queue is served, whichever is sooner.
func (q *queue) estimateWait(t *Ticket, now time.Time) time.Duration {
	q.decay(now)
	rate := max(minGrantRate, q.grants/rateWindow.Seconds())
	active := 0
	for c := range q.byClass {
		active += len(q.byClass[c])
	}
	turns := min(q.size, t.account.queued*max(1, active))
	return time.Duration(float64(turns) / rate * float64(time.Second))
}

// ewma is an exponentially weighted moving average with its mean deviation.
type ewma struct {
	mean, dev float64
	n         int
}

const ewmaWeight = 0.1

func (e *ewma) add(x float64) {
	weight := max(ewmaWeight, 1/float64(e.n+1))
	d := x - e.mean
	e.mean += weight * d
	e.dev += weight * (math.Abs(d) - e.dev)
	e.n++
}
