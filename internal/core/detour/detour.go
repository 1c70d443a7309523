// Package detour decides through which other node a connection to a backend server passes.
//
// A node may lose its own path to servers that other nodes still reach: to one, to a failure domain, or to all. Each connection is first
// tried directly. After a head start, or when the direct attempt fails, it is also tried through another node, and the first that
// connects is used. A server whose direct path failed gets a shorter head start, until a direct connection succeeds. A quiet time
// therefore costs nothing, and the return of the path is found by the next connection.
//
// A path may also let connections be made and then reset them. Once that happens before any answer, connections to the server are tried
// through other nodes first, for a time that doubles until a direct connection is answered. If it happens at several servers and none
// answers, the node itself is taken to be cut off, and that holds for all servers.
//
// Nodes that could not connect are avoided for a while, and those that could are preferred, all alike, so that the load of a failure
// domain without a path spreads over the others.
package detour

import (
	"maps"
	"math/rand/v2"
	"time"
)

const (
	// headStart is how long a direct connection is tried alone. Servers accept within a few milliseconds.
	headStart = 100 * time.Millisecond
	// failedHeadStart is the same for a server whose direct path failed last: a few round trips within a region, so that a path that
	// works again is used alone.
	failedHeadStart = 15 * time.Millisecond
	// avoidTime is how long a node that could not connect is avoided, and preferTime how long one that could is preferred.
	avoidTime  = 2 * time.Second
	preferTime = 5 * time.Second
	// preferredShare is the share of the connections for which the choice is among the preferred nodes. The others find more
	// nodes, over which the load spreads.
	preferredShare = 0.5
	// staleTime is how long the failure of a direct path is remembered without another attempt.
	staleTime = 30 * time.Second
	// refuseTime is how long after its own direct path to a server failed a node refuses connections of others to it.
	refuseTime = time.Second
	// firstBrokenTime is how long connections go through other nodes after a direct one was reset without an answer. The time doubles
	// with each such reset in a row, up to maxBrokenTime. Each attempt to use the path again can cost a caller its request.
	firstBrokenTime = 4 * time.Second
	maxBrokenTime   = 16 * time.Second
	// cutOffServers is the number of servers whose connections are reset without an answer from which the node counts as cut off.
	cutOffServers = 2
)

// Table holds what a node knows of the paths to servers. It has no clock and is not safe for concurrent use.
type Table struct {
	failed map[string]time.Time  // last failure of the direct path since it last worked, by server ID
	broken map[string]brokenPath // by server ID
	nodes  map[string]carrier    // by node name
	rng    func() float64

	answered time.Time // last answer on a direct connection to any server
	reset    time.Time // last reset of a direct connection without an answer
}

// brokenPath is a path on which connections are made and reset without an answer.
type brokenPath struct {
	resets int // in a row
	until  time.Time
}

// carrier is what is known of another node's paths.
type carrier struct {
	connected time.Time // last connection through it
	failedAt  time.Time // last failure; zero since the last connection
}

// Option changes a Table.
type Option func(*Table)

// WithRandom replaces the source of numbers in [0, 1).
func WithRandom(fn func() float64) Option { return func(t *Table) { t.rng = fn } }

// NewTable returns a table in which all paths count as working.
func NewTable(opts ...Option) *Table {
	t := &Table{failed: make(map[string]time.Time), broken: make(map[string]brokenPath), nodes: make(map[string]carrier), rng: rand.Float64}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// HeadStart returns how long a direct connection to a server is tried before other nodes are asked.
func (t *Table) HeadStart(server string) time.Duration {
	if _, failed := t.failed[server]; failed {
		return failedHeadStart
	}
	return headStart
}

// RecordDirect records whether a direct connection to a server was made, and reports whether that is a change.
func (t *Table) RecordDirect(server string, connected bool, now time.Time) (changed bool) {
	maps.DeleteFunc(t.failed, func(_ string, at time.Time) bool { return now.Sub(at) > staleTime })
	_, failed := t.failed[server]
	if connected {
		delete(t.failed, server)
		return failed
	}
	t.failed[server] = now
	return !failed
}

// RecordReset records that a direct connection to a server was reset before any answer.
func (t *Table) RecordReset(server string, now time.Time) {
	maps.DeleteFunc(t.broken, func(_ string, b brokenPath) bool { return now.Sub(b.until) > staleTime })
	b := t.broken[server]
	b.until = now.Add(min(maxBrokenTime, firstBrokenTime<<min(b.resets, 10)))
	b.resets++
	t.broken[server], t.reset = b, now
}

// RecordAnswer records that a server sent the beginning of an answer on a direct connection. A node that counted as cut off has its paths
// back.
func (t *Table) RecordAnswer(server string, now time.Time) {
	if t.isCutOff() {
		clear(t.broken)
	}
	delete(t.broken, server)
	t.answered = now
}

// NextProbe returns the server with a broken path that a node should connect to directly, to find out whether the path is back: the one
// whose path may be used again first.
func (t *Table) NextProbe(now time.Time) (server string, ok bool) {
	var first time.Time
	for id, b := range t.broken {
		if now.Before(b.until) && (!ok || b.until.Before(first)) {
			server, first, ok = id, b.until, true
		}
	}
	return server, ok
}

// IsBroken reports whether a direct connection to a server is likely to be reset, so that other nodes should be asked first.
func (t *Table) IsBroken(server string, now time.Time) bool {
	if now.Before(t.broken[server].until) {
		return true
	}
	if !t.isCutOff() {
		return false
	}
	for _, b := range t.broken {
		if now.Before(b.until) {
			return true
		}
	}
	return false
}

// isCutOff reports whether connections to several servers were reset and no server has answered since.
func (t *Table) isCutOff() bool { return len(t.broken) >= cutOffServers && !t.answered.After(t.reset) }

// MayCarry reports whether this node should try to connect to a server for another node.
func (t *Table) MayCarry(server string, now time.Time) bool {
	at, failed := t.failed[server]
	return (!failed || now.Sub(at) > refuseTime) && !t.IsBroken(server, now)
}

// CountFailed returns the number of servers whose direct path failed last.
func (t *Table) CountFailed() int { return len(t.failed) }

// Choose returns the node through which to connect, of those that are not in tried. It returns "" if there is none.
func (t *Table) Choose(nodes []string, tried map[string]bool, now time.Time) string {
	var preferred, others, avoided []string
	for _, name := range nodes {
		c := t.nodes[name]
		switch {
		case tried[name]:
		case !c.failedAt.IsZero() && now.Sub(c.failedAt) < avoidTime:
			avoided = append(avoided, name)
		case !c.connected.IsZero() && now.Sub(c.connected) < preferTime:
			preferred = append(preferred, name)
		default:
			others = append(others, name)
		}
	}
	switch {
	case len(preferred) > 0 && (len(others) == 0 || t.rng() < preferredShare):
		return t.pick(preferred)
	case len(others) > 0:
		return t.pick(others)
	}
	return t.pick(avoided)
}

func (t *Table) pick(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[min(int(t.rng()*float64(len(list))), len(list)-1)]
}

// RecordCarrier records whether a node could connect to a server.
func (t *Table) RecordCarrier(node string, connected bool, now time.Time) {
	maps.DeleteFunc(t.nodes, func(_ string, c carrier) bool {
		return now.Sub(c.connected) > staleTime && now.Sub(c.failedAt) > staleTime
	})
	c := t.nodes[node]
	if connected {
		c = carrier{connected: now}
	} else {
		c.failedAt = now
	}
	t.nodes[node] = c
}
