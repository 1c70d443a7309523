// Package evidence detects backend servers whose answers fail more often or take longer than those of their peers.
//
// A server may fail some of its requests or turn slow while its health probe still succeeds. A [Tracker] keeps
// exponentially decaying counts of answers, failures and durations for each server, and compares them with those of
// the other servers of the service. A server that is far worse is avoided for a while and then tried again. At most a
// fraction of a service is avoided by such verdicts, since a fault that all servers share lies elsewhere. A server that
// cannot be reached is avoided too. Gateways use this package. Other nodes use retry.Ejector.
package evidence

import (
	"maps"
	"math"
	"time"
)

const (
	// halfLife is the time in which an answer loses half of its weight.
	halfLife = 3 * time.Second
	// minAnswers is the least weight of answers for a verdict.
	minAnswers = 4.0
	// failureExcess is how much a server's failure rate may exceed that of its peers.
	failureExcess = 0.2
	// slowFactor is the largest ratio of a server's mean duration to that of its peers.
	slowFactor = 3.0
	// firstAvoidTime is how long a server is avoided after its first verdict. The time doubles with each verdict in a
	// row, up to maxAvoidTime.
	firstAvoidTime = 2 * time.Second
	maxAvoidTime   = 16 * time.Second
	// maxAvoidedShare is the largest share of a service's servers that verdicts may avoid.
	maxAvoidedShare = 0.4
	// firstUnreachableTime is how long a server is avoided after RecordUnreachable. The time doubles with each
	// such failure, up to maxUnreachableTime, until the server answers. During an outage of the store, nothing else
	// shows that a server has failed.
	firstUnreachableTime = time.Second
	maxUnreachableTime   = 4 * time.Second
)

// serverRecord holds the decayed counts and the verdicts of one server.
type serverRecord struct {
	weight           float64 // of answers
	failures         float64 // weight of failures
	seconds          float64 // weighted sum of durations
	decayedAt        time.Time
	avoidedUntil     time.Time // end of the avoidance by the last verdict
	verdicts         int       // in a row
	unreachableUntil time.Time // end of the avoidance because it was unreachable
	unreachableCount int       // since its last answer
}

// Tracker tracks the servers of all services. It is not safe for concurrent use.
type Tracker struct {
	servers map[string]*serverRecord
}

// New returns a tracker without records.
func New() *Tracker { return &Tracker{servers: make(map[string]*serverRecord)} }

// record returns the record of server, decayed to now.
func (t *Tracker) record(server string, now time.Time) *serverRecord {
	r := t.servers[server]
	if r == nil {
		r = &serverRecord{decayedAt: now}
		t.servers[server] = r
	}
	decay := math.Exp2(-now.Sub(r.decayedAt).Seconds() / halfLife.Seconds())
	r.weight *= decay
	r.failures *= decay
	r.seconds *= decay
	r.decayedAt = now
	return r
}

// RecordAnswer records an answer of server and how long it took.
func (t *Tracker) RecordAnswer(server string, took time.Duration, failed bool, now time.Time) {
	r := t.record(server, now)
	r.weight++
	r.seconds += took.Seconds()
	r.unreachableUntil, r.unreachableCount = time.Time{}, 0
	if failed {
		r.failures++
	}
}

// RecordUnreachable records that server cut, refused or did not answer a connection.
func (t *Tracker) RecordUnreachable(server string, now time.Time) {
	r := t.record(server, now)
	r.weight++
	r.failures++
	r.unreachableUntil = now.Add(min(maxUnreachableTime, firstUnreachableTime<<min(r.unreachableCount, 10)))
	r.unreachableCount++
}

// RetainOnly drops the records of all servers except the given ones.
func (t *Tracker) RetainOnly(servers map[string]bool) {
	maps.DeleteFunc(t.servers, func(id string, _ *serverRecord) bool { return !servers[id] })
}

// Judge records new verdicts and returns the servers of a service to avoid now. Unreachable servers are avoided unless
// all are unreachable, because then the fault is more likely on this node's side.
func (t *Tracker) Judge(servers []string, now time.Time) map[string]bool {
	avoided := t.unreachable(servers, now)
	if len(avoided) == len(servers) {
		clear(avoided)
	}
	limit := max(len(avoided), int(maxAvoidedShare*float64(len(servers))))
	for _, s := range servers {
		if r := t.servers[s]; r != nil && now.Before(r.avoidedUntil) && len(avoided) < limit {
			avoided[s] = true
		}
	}
	for _, s := range servers {
		if len(avoided) >= limit {
			break
		}
		if !avoided[s] && t.isOutlier(s, servers, now) {
			t.avoid(s, now)
			avoided[s] = true
		}
	}
	return avoided
}

func (t *Tracker) unreachable(servers []string, now time.Time) map[string]bool {
	down := make(map[string]bool)
	for _, s := range servers {
		if r := t.servers[s]; r != nil && now.Before(r.unreachableUntil) {
			down[s] = true
		}
	}
	return down
}

// CountUnreachable returns the number of servers to which the last connection failed.
func (t *Tracker) CountUnreachable() int {
	n := 0
	for _, r := range t.servers {
		if r.unreachableCount > 0 {
			n++
		}
	}
	return n
}

func (t *Tracker) avoid(server string, now time.Time) {
	r := t.servers[server]
	r.avoidedUntil = now.Add(min(maxAvoidTime, firstAvoidTime<<min(r.verdicts, 10)))
	r.verdicts++
	// The next verdict needs new evidence.
	r.weight, r.failures, r.seconds = 0, 0, 0
}

// isOutlier reports whether server is far worse than its peers.
func (t *Tracker) isOutlier(server string, servers []string, now time.Time) bool {
	if t.servers[server] == nil {
		return false
	}
	own := t.record(server, now)
	if own.weight < minAnswers {
		return false
	}
	var peers serverRecord
	for _, s := range servers {
		if s == server || t.servers[s] == nil {
			continue
		}
		r := t.record(s, now)
		peers.weight += r.weight
		peers.failures += r.failures
		peers.seconds += r.seconds
	}
	if peers.weight < minAnswers {
		return false
	}
	if own.failures/own.weight > peers.failures/peers.weight+failureExcess {
		return true
	}
	if own.seconds/own.weight > slowFactor*peers.seconds/peers.weight {
		return true
	}
	own.verdicts = 0
	return false
}
