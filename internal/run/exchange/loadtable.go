// This file defines what a node knows about the load on backend servers: the work that it placed there itself, and the
// work that other nodes report.

package exchange

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/placement"
	"ebonyferry/internal/core/route"
)

// loadTable holds placed work by server ID. It is not safe for concurrent use.
type loadTable struct {
	own       loadMap
	peers     map[string]peerLoads // by node
	fullUntil map[string]time.Time // until when a server that refused work for lack of capacity is skipped

	backoffUntil map[string]time.Time // until when a server wants no requests
}

// peerLoads is the load that another node placed, as of a time.
type peerLoads struct {
	loads loadMap
	at    time.Time
}

const (
	// peerLoadTTL is how long the loads of a node count after its last message.
	peerLoadTTL = 2 * time.Second
	// fullPeriod is how long a server is skipped after it refused work for lack of capacity.
	fullPeriod = 150 * time.Millisecond
)

func newLoadTable() *loadTable {
	return &loadTable{
		own:       make(loadMap),
		peers:     make(map[string]peerLoads),
		fullUntil: make(map[string]time.Time),

		backoffUntil: make(map[string]time.Time),
	}
}

// addRun adds n calls or runs, each with the given memory, to this node's load on a server; a negative n removes them.
func (t *loadTable) addRun(server string, n, tokens int) {
	t.add(server, placement.Load{Streams: n, RunTokens: n * tokens})
}

// addCopy adds n copies to this node's load on a server; a negative n removes them.
func (t *loadTable) addCopy(server string, n, tokens int) {
	t.add(server, placement.Load{CopyTokens: n * tokens})
}

// addPrefill adds the tokens of n prompts that a server has not read yet to this node's load on it; a negative n
// removes them.
func (t *loadTable) addPrefill(server string, n, tokens int) {
	t.add(server, placement.Load{PrefillTokens: n * tokens})
}

// addFailures adds n requests that a server broke off or did not accept; a negative n removes them.
func (t *loadTable) addFailures(server string, n int) { t.add(server, placement.Load{Failures: n}) }

func (t *loadTable) add(server string, d placement.Load) {
	l := t.own[server].Plus(d)
	if l == (placement.Load{}) {
		delete(t.own, server)
		return
	}
	t.own[server] = l
}

// load returns the load of a server over all nodes.
func (t *loadTable) load(server string, now time.Time) placement.Load {
	sum := t.own[server]
	for _, p := range t.peers {
		if now.Sub(p.at) <= peerLoadTTL {
			sum = sum.Plus(p.loads[server])
		}
	}
	return sum
}

// oldestReport returns the age of the oldest report of other nodes that counts, or zero if none does.
func (t *loadTable) oldestReport(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, p := range t.peers {
		if age := now.Sub(p.at); age <= peerLoadTTL {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// newestReport returns the age of the newest report of other nodes that counts, or zero if none does.
func (t *loadTable) newestReport(now time.Time) time.Duration {
	newest := time.Duration(0)
	for _, p := range t.peers {
		if age := now.Sub(p.at); age <= peerLoadTTL && (newest == 0 || age < newest) {
			newest = age
		}
	}
	return newest
}

// loadAge returns how old the loads are that other nodes placed, as far as the node knows. A node of a small fleet learns
// of every placement at once, and otherwise at least every snapshotPeriod. Loads of other failure domains pass two hubs.
// The caller holds mu.
func (rt *Runtime) loadAge(now time.Time) time.Duration {
	if len(rt.loads.peers) == 0 {
		return 0
	}
	newest := rt.loads.newestReport(now)
	if _, ok := rt.loads.peers[hubEntry]; ok || rt.isHub {
		return newest + hubGap + broadcastGap
	}
	if newest > snapshotPeriod+loadsTimeout {
		return newest
	}
	return broadcastGap
}

// cloneOwn returns a copy of this node's loads.
func (t *loadTable) cloneOwn() loadMap { return maps.Clone(t.own) }

// receive records the loads that another node reports: its own or, from a hub, those of its failure domain.
func (t *loadTable) receive(from string, msg loadsMessage, now time.Time) {
	known := msg.Loads
	if msg.Changes {
		known = t.peers[from].loads
		if known == nil {
			known = make(loadMap)
		}
		known.merge(msg.Loads)
	}
	t.peers[from] = peerLoads{loads: known, at: now}
}

// sum returns the total of this node's loads and those of the peers that include accepts.
func (t *loadTable) sum(include func(name string) bool, now time.Time) loadMap {
	total := make(loadMap)
	total.add(t.own)
	for name, p := range t.peers {
		if include(name) && now.Sub(p.at) <= peerLoadTTL {
			total.add(p.loads)
		}
	}
	return total
}

// verdict is the set of servers of a service to avoid, as of a time.
type verdict struct {
	avoided map[string]bool
	at      time.Time
}

// verdictTTL is how long a verdict is used before the servers are judged again.
const verdictTTL = 100 * time.Millisecond

// avoided returns the servers of a service to avoid now. The caller holds mu.
func (rt *Runtime) avoided(service string, usable []backend.Server, now time.Time) map[string]bool {
	v, ok := rt.verdicts[service]
	if ok && now.Sub(v.at) < verdictTTL {
		return v.avoided
	}
	ids := make([]string, len(usable))
	for i, s := range usable {
		ids[i] = s.ID
	}
	v = verdict{avoided: rt.tracker.Judge(ids, now), at: now}
	rt.verdicts[service] = v
	return v.avoided
}

// candidates returns the servers that may receive the request adm, or a copy if adm is nil, and the matching input to
// placement. It omits the servers in exclude. The caller holds mu.
func (rt *Runtime) candidates(svc *route.Service, adm *Admitted, exclude map[string]bool, now time.Time) ([]backend.Server, []placement.Candidate) {
	usable := rt.filterVersion(rt.pool.Usable(svc.Name, now), adm, now)
	avoided := rt.avoided(svc.Name, usable, now)
	servers := make([]backend.Server, 0, len(usable))
	list := make([]placement.Candidate, 0, len(usable))
	speeds := rt.speeds.of(svc.Name)
	loadAge := rt.loadAge(now)
	for _, s := range usable {
		if exclude[s.ID] || avoided[s.ID] || now.Before(rt.loads.fullUntil[s.ID]) || now.Before(rt.loads.backoffUntil[s.ID]) {
			continue
		}
		c := placement.Candidate{
			Load:        rt.loads.load(s.ID, now),
			Slots:       s.Slots,
			Domain:      s.Domain,
			CrossDomain: s.Domain != rt.domain,
			Cold:        s.Cold(now),
			TieBreak:    rand.Float64(),
		}
		if svc.Engine != nil {
			c.Memory, c.TokensPerEvent = svc.Engine.MemoryTokens, svc.Engine.TokensPerEvent
			if svc.Engine.Slots > 0 {
				c.Slots = svc.Engine.Slots
			}
		}
		if speeds != nil {
			c.Speed, c.LoadAge = speeds.estimate(s, now), loadAge
		}
		servers = append(servers, s)
		list = append(list, c)
	}
	return servers, list
}

// coldPacer limits the requests that this node sends to cold servers. The rate of each server is divided equally among
// the nodes, in whole requests. The remainder goes to some of the nodes, which differ from server to server.
type coldPacer struct {
	sent map[string][]time.Time // send times of the last second, by server ID
}

// paceWindow is the window to which a cold server's rate applies.
const paceWindow = time.Second

// paceFraction is the used fraction of the limit: requests sent within one second may arrive within less.
const paceFraction = 0.7

// take reports whether this node may send a request to a cold server, and counts it if so.
func (p *coldPacer) take(server string, limit float64, nodes, rank int, now time.Time) bool {
	if p.sent == nil {
		p.sent = make(map[string][]time.Time)
	}
	recent := p.sent[server]
	for len(recent) > 0 && now.Sub(recent[0]) >= paceWindow {
		recent = recent[1:]
	}
	if len(recent) >= equalShare(server, int(paceFraction*limit), nodes, rank) {
		p.sent[server] = recent
		return false
	}
	p.sent[server] = append(recent, now)
	return true
}

// equalShare returns this node's share of a server's limit. The nodes that receive the remainder differ from server to
// server. A node that does not know the fleet, where nodes is 0, has no share.
func equalShare(server string, limit, nodes, rank int) int {
	if nodes == 0 {
		return 0
	}
	turn := (rank + int(xxhash.Sum64String(server)%uint64(nodes))) % nodes
	n := limit / nodes
	if turn < limit%nodes {
		n++
	}
	return n
}

const (
	// maxColdWait is how long a continuation waits for this node's share of a cold server's rate. Callers wait longer.
	maxColdWait = 1500 * time.Millisecond
	// coldCheckPeriod is how often it looks for one.
	coldCheckPeriod = 20 * time.Millisecond
)

// errCold means that a server is cold and this node has used up its share of the server's rate.
var errCold = errors.New("the server is cold")

// awaitColdShare waits until a request that can be sent to no other server may be sent to srv, and counts it if srv is cold.
func (rt *Runtime) awaitColdShare(ctx context.Context, svc *route.Service, srv backend.Server) error {
	for until := time.Now().Add(maxColdWait); ; {
		rt.mu.Lock()
		if current, ok := rt.pool.Get(srv.ID); ok {
			srv.ColdUntil = current.ColdUntil // it may have become cold since the run was copied there
		}
		taken := rt.takeColdRequest(svc, srv, time.Now())
		rt.mu.Unlock()
		switch {
		case taken:
			return nil
		case time.Now().After(until):
			return errCold
		case !pause.For(ctx, coldCheckPeriod):
			return ctx.Err()
		}
	}
}

// takeColdRequest reports whether a request may be sent to srv now, and counts it if srv is cold. The caller holds mu.
func (rt *Runtime) takeColdRequest(svc *route.Service, srv backend.Server, now time.Time) bool {
	if svc.ColdPerSecond <= 0 || !srv.Cold(now) {
		return true
	}
	nodes, rank := rt.fleet.Rank()
	limit := svc.ColdPerSecond*rt.bounds.ColdRatio + rt.bounds.ColdSlack
	return rt.coldPacer.take(srv.ID, limit, nodes, rank, now)
}
