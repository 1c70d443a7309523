// Package permit divides the rate of requests that a backend server accepts among the nodes that send to it.
//
// A server in need names a rate in its answers, see Rate. One node, the server's issuer, then issues permits, each for one
// request at a time from which it is valid. A Holder keeps the permits of a node. So the sum over all nodes follows the rate
// however uneven their demand is, and a rate of less than one request per second and node can be used too. Packages slice
// and retry divide bounds in advance; here, static shares would round to nothing.
//
// Within a window of length w, the nodes send at most rate*(w+Validity) + burst + debt requests by the permits of one issuer:
//
//   - An Issuer counts each permit when it issues it, and never issues more than its rate allows until then, except for
//     urgent requests, which may take up to a quarter of a second's requests, and one more, in advance.
//   - A permit expires Validity after the time from which it is valid, by the clock of its holder. So a node that stood still
//     or was cut off does not send what it had before, and nothing has to be returned.
//
// All nodes choose the issuer by the list of live nodes. Nodes whose lists differ may ask two of them for a while, and nodes
// that cannot reach the first ask the next. An issuer that is not certain to be the only one issues half of the rate, see
// Issuer.Share.
package permit

import (
	"math"
	"time"
)

const (
	// Validity is how long a permit may be used.
	Validity = 500 * time.Millisecond
	// MaxRetry is the longest retry time. Requests are rarely worth more than a few seconds, and rates change.
	MaxRetry = 3 * time.Second
	// ShareTime is how long an issuer issues half of the rate after another may have issued permits too.
	ShareTime = 3 * time.Second
	// returnShare is the fraction of the rate that is planned for refused callers. New callers take the rest.
	returnShare = 0.5
	// askRate is how many requests for permits of one server its issuer wants per second, from all nodes together. At this rate
	// a permit that becomes free is taken at once, and the messages do not grow with the fleet.
	askRate = 100
	// burstTime is the time whose requests, and one more, an issuer may issue at once after a time without requests. Without it,
	// the rate would be unused while refused callers wait for their retry time.
	burstTime = 500 * time.Millisecond
	// debtTime is the time whose requests, and one more, urgent requests may take in advance.
	debtTime = 250 * time.Millisecond
)

// Request asks for permits.
type Request struct {
	Count   int           // of requests; may be 0
	MaxWait time.Duration // a permit that is valid later than this is of no use
	Urgent  bool          // the request continues work that would otherwise be lost
	Refused int           // callers refused since the last request for whom no permit was requested
	Servers int           // number of servers between which the requests choose; 0 means 1
}

// Grant is the answer to a Request.
type Grant struct {
	Count int           // of permits
	First time.Duration // until the first permit is valid
	Every time.Duration // between two permits
	// If the holder got fewer permits than it asked for, it does not ask again for the time Retry, and Turn is the time until a
	// caller that is refused now may expect a permit. Otherwise both are 0.
	Retry, Turn time.Duration
}

// Issuer issues the permits of one server. It is not safe for concurrent use.
type Issuer struct {
	rate       float64   // per second
	tokens     float64   // permits that are left; below 0 while issued permits are not yet valid
	rejected   float64   // refused callers whose turn has not come
	asked      float64   // recent requests for permits beyond askRate
	updated    time.Time // when these were computed
	sharedTill time.Time // another issuer may issue permits until then
}

// NewIssuer returns an issuer of a rate per second.
func NewIssuer(rate float64, now time.Time) *Issuer {
	return &Issuer{rate: rate, tokens: 1, updated: now}
}

// SetRate changes the rate. Holders drop the permits of a higher rate, so those that are not yet valid do not count against the new
// one.
func (i *Issuer) SetRate(rate float64, now time.Time) {
	i.advance(now)
	i.rate = rate
	i.tokens = min(i.burst(), max(i.tokens, -i.debt()))
	i.rejected = min(i.rejected, rate*MaxRetry.Seconds())
}

// Share records that another issuer may issue permits too, as of now.
func (i *Issuer) Share(now time.Time) {
	i.advance(now)
	i.sharedTill = now.Add(ShareTime)
}

// currentRate returns the rate at which permits are issued.
func (i *Issuer) currentRate(now time.Time) float64 {
	if now.Before(i.sharedTill) {
		return i.rate / 2
	}
	return i.rate
}

// burst is how many permits may be left unused.
func (i *Issuer) burst() float64 { return 1 + i.rate*burstTime.Seconds() }

// debt is how many permits urgent requests may take in advance.
func (i *Issuer) debt() float64 { return 1 + i.rate*debtTime.Seconds() }

func (i *Issuer) advance(now time.Time) {
	n := i.currentRate(now) * now.Sub(i.updated).Seconds()
	i.asked = max(0, i.asked-askRate*now.Sub(i.updated).Seconds())
	i.updated = now
	if n <= 0 {
		return
	}
	i.tokens = min(i.burst(), i.tokens+n)
	i.rejected = max(0, i.rejected-n)
}

// Issue answers a request.
func (i *Issuer) Issue(r Request, now time.Time) Grant {
	i.advance(now)
	rate := i.currentRate(now)
	g := Grant{First: i.wait(rate), Every: seconds(1 / rate)}
	if r.Urgent && i.tokens+i.debt() >= 1 {
		g.First = 0
	}
	for g.Count < r.Count && (i.wait(rate) <= r.MaxWait || r.Urgent && i.tokens+i.debt() >= 1) {
		i.tokens--
		g.Count++
	}
	i.asked++
	i.rejected = min(i.rejected+float64(r.Refused), rate*MaxRetry.Seconds())
	if short := r.Count - g.Count; short > 0 {
		g.Retry = min(MaxRetry, max(i.wait(rate), seconds(i.asked/askRate)))
		g.Turn = min(MaxRetry, i.wait(rate)+seconds(i.rejected/(returnShare*rate)))
		// The requests ask the other servers' issuers too, each of which counts its part.
		i.rejected = min(i.rejected+float64(short)/float64(max(1, r.Servers)), rate*MaxRetry.Seconds())
	}
	return g
}

// wait returns how long it takes until the next permit is valid.
func (i *Issuer) wait(rate float64) time.Duration {
	return seconds(max(0, (1-i.tokens)/rate))
}

func seconds(s float64) time.Duration { return time.Duration(math.Ceil(s * float64(time.Second))) }

// Holder holds a node's permits of one server. It is not safe for concurrent use. The zero value holds none.
type Holder struct {
	permits []time.Time // from when each permit is valid, in order
	retryAt time.Time   // the node does not ask before this time
	turnAt  time.Time   // when the next refused caller may expect a permit
	refused int         // refused callers that the issuer does not know of
}

// Accept adds the permits of a grant that arrived at now. Its times run from then, so that they are no earlier than the issuer
// meant.
func (h *Holder) Accept(g Grant, now time.Time) {
	for n := range g.Count {
		h.permits = append(h.permits, now.Add(g.First+time.Duration(n)*g.Every))
	}
	h.retryAt, h.turnAt = now.Add(g.Retry), now.Add(g.Turn)
}

// Available reports whether the node has a permit for a request now.
func (h *Holder) Available(now time.Time) bool {
	for len(h.permits) > 0 && now.Sub(h.permits[0]) >= Validity {
		h.permits = h.permits[1:]
	}
	return len(h.permits) > 0 && !now.Before(h.permits[0])
}

// Take uses a permit and reports whether there was one.
func (h *Holder) Take(now time.Time) bool {
	if !h.Available(now) {
		return false
	}
	h.permits = h.permits[1:]
	return true
}

// Pending returns the number of permits that are valid later than now.
func (h *Holder) Pending(now time.Time) int {
	n := 0
	for _, from := range h.permits {
		if now.Before(from) {
			n++
		}
	}
	return n
}

// RetryAt returns the time before which the node does not ask for permits. It may have passed.
func (h *Holder) RetryAt() time.Time { return h.retryAt }

// TurnAt returns when the next refused caller may expect a permit. It may have passed.
func (h *Holder) TurnAt() time.Time { return h.turnAt }

// Refuse returns the turn of a refused caller; those of later callers follow at their share of the rate. The issuer has counted the
// caller if asked reports that a permit was requested for it.
func (h *Holder) Refuse(rate float64, asked bool, now time.Time) time.Time {
	if !asked {
		h.refused++
	}
	turn := h.turnAt
	h.turnAt = turn.Add(seconds(1 / (returnShare * rate)))
	if latest := now.Add(MaxRetry); turn.After(latest) {
		return latest
	}
	return turn
}

// TakeRefused returns the number of refused callers that the issuer does not know of, and counts them as known.
func (h *Holder) TakeRefused() int {
	n := h.refused
	h.refused = 0
	return n
}

// Postpone makes the node ask no earlier than a time.
func (h *Holder) Postpone(until time.Time) {
	if until.After(h.retryAt) {
		h.retryAt = until
	}
}

// Drop drops all permits and the retry time: the rate has changed.
func (h *Holder) Drop() { *h = Holder{} }
