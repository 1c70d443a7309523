// Package evidence finds backend servers that fail or lag behind their peers, by their answers.
//
// A server may fail part of its requests, or turn slow, while its health probe is good. A Tracker keeps decaying
// counts of answers, failures and durations for each server and compares them with the servers that can stand in
// for it. One that is far worse is avoided for a while, then tried again; never more than a part of a service is
// avoided, since a fault that all share lies elsewhere.
package evidence

import (
	"maps"
	"math"
	"time"
)

const (
	// halfLife is the time in which an answer loses half of its weight.
	halfLife = 3 * time.Second
	// minAnswers is the weight of answers below which there is no verdict.
	minAnswers = 4.0
	// failureExcess is how much a server's failure rate may exceed that of its peers.
	failureExcess = 0.2
	// slowFactor is how many times longer than its peers a server may take on the mean.
	slowFactor = 3.0
	// avoidFor is how long a server is avoided at first; it doubles up to maxAvoid while the verdict repeats.
	avoidFor = 2 * time.Second
	maxAvoid = 16 * time.Second
	// maxAvoided is the part of a service that is avoided at most.
	maxAvoided = 0.4
	// crashAvoid is how long a server is avoided that cut or refused a connection; it doubles up to maxCrashAvoid until
	// the server answers. While the store is away, nothing else tells that a server has gone.
	crashAvoid    = time.Second
	maxCrashAvoid = 4 * time.Second
)

// record is what is known of one server.
type record struct {
	weight   float64 // of answers
	failures float64 // weight of failures
	seconds  float64 // weighted sum of durations
	at       time.Time
	until    time.Time // avoided before this, by a verdict
	times    int       // verdicts in a row
	down     time.Time // avoided before this, since it was unreachable
	downs    int       // times that it was unreachable since its last answer
}

// Tracker follows the servers of all services. It has one owner.
type Tracker struct {
	servers map[string]*record
}

// New returns a tracker that knows nothing.
func New() *Tracker { return &Tracker{servers: make(map[string]*record)} }

func (t *Tracker) record(server string, now time.Time) *record {
	r := t.servers[server]
	if r == nil {
		r = &record{at: now}
		t.servers[server] = r
	}
	fade := math.Exp2(-now.Sub(r.at).Seconds() / halfLife.Seconds())
	r.weight *= fade
	r.failures *= fade
	r.seconds *= fade
	r.at = now
	return r
}

// Answered records an answer of server and how long it took.
func (t *Tracker) Answered(server string, took time.Duration, failed bool, now time.Time) {
	r := t.record(server, now)
	r.weight++
	r.seconds += took.Seconds()
	r.down, r.downs = time.Time{}, 0
	if failed {
		r.failures++
	}
}

// Unreachable records that server cut, refused or did not answer a connection.
func (t *Tracker) Unreachable(server string, now time.Time) {
	r := t.record(server, now)
	r.weight++
	r.failures++
	r.down = now.Add(min(maxCrashAvoid, crashAvoid<<min(r.downs, 10)))
	r.downs++
}

// Keep drops what is known of all servers but those given.
func (t *Tracker) RetainOnly(servers map[string]bool) {
	maps.DeleteFunc(t.servers, func(id string, _ *record) bool { return !servers[id] })
}

// Judge returns which of the servers of a service are to be avoided now. Unreachable ones are, unless all are: then the
// fault is more likely near than with them.
func (t *Tracker) Judge(servers []string, now time.Time) map[string]bool {
	avoided := t.unreachable(servers, now)
	if len(avoided) == len(servers) {
		clear(avoided)
	}
	limit := max(len(avoided), int(maxAvoided*float64(len(servers))))
	for _, s := range servers {
		if r := t.servers[s]; r != nil && now.Before(r.until) && len(avoided) < limit {
			avoided[s] = true
		}
	}
	for _, s := range servers {
		if len(avoided) >= limit {
			break
		}
		if !avoided[s] && t.worse(s, servers, now) {
			t.avoid(s, now)
			avoided[s] = true
		}
	}
	return avoided
}

func (t *Tracker) unreachable(servers []string, now time.Time) map[string]bool {
	down := make(map[string]bool)
	for _, s := range servers {
		if r := t.servers[s]; r != nil && now.Before(r.down) {
			down[s] = true
		}
	}
	return down
}

func (t *Tracker) avoid(server string, now time.Time) {
	r := t.servers[server]
	r.until = now.Add(min(maxAvoid, avoidFor<<min(r.times, 10)))
	r.times++
	// The next verdict needs new evidence.
	r.weight, r.failures, r.seconds = 0, 0, 0
}

// Reports whether server is far worse than its peers.
func (t *Tracker) worse(server string, servers []string, now time.Time) bool {
	if t.servers[server] == nil {
		return false
	}
	own := t.record(server, now)
	if own.weight < minAnswers {
		return false
	}
	var peers record
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
	own.times = 0
	return false
}
