// This file defines how relays exchange what the store does not hold: nodes that failed heartbeats, nodes that
// cannot serve, and loads. A relay requests a digest from the other relays of its failure domain and from one
// relay of each other failure domain. Its followers receive the result with their next answer.

package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/edge/node"
)

const pathDigest = "/fleet/digest"

// Status is what a node reports about itself.
type Status struct {
	Unable bool `json:"unable,omitempty"` // it cannot serve callers
	Load   int  `json:"load,omitempty"`   // in percent of its capacity
}

// receivedStatus is a follower's status with the time at which it was received.
type receivedStatus struct {
	Status
	at time.Time
}

// receivedDigest is a relay's digest with the time at which it was received.
type receivedDigest struct {
	digestAnswer
	at time.Time
}

type digestRequest struct {
	Domain string `json:"domain"` // of the requesting relay
}

// digestAnswer is what a relay and its followers know about their own failure domain. Loads are sent only to
// relays of the same failure domain. The others also get the unable nodes that other relays reported.
type digestAnswer struct {
	Unreachable []membership.Incarnation `json:"unreachable,omitempty"`
	Unable      []string                 `json:"unable,omitempty"`
	Loads       map[string]int           `json:"loads,omitempty"`
}

// SetStatus sets what the node reports about itself.
func (f *Fleet) SetStatus(s Status) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status = s
}

// recordStatus records a follower's status.
func (f *Fleet) recordStatus(from node.Sender, s Status) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.statuses[from.Name]
	f.statuses[from.Name] = receivedStatus{Status: s, at: time.Now()}
	if old.Unable != s.Unable && f.isRelay {
		f.mergeDigests(time.Now())
	}
}

func (f *Fleet) handleDigest(_ context.Context, _ node.Sender, req digestRequest) (digestAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	answer := digestAnswer{Unreachable: f.state.FoundUnreachable()}
	loads, unable := f.collectStatuses(time.Now())
	if req.Domain == f.self.FailureDomain {
		answer.Loads, answer.Unable = loads, unable
		return answer, nil
	}
	for _, d := range f.relayDigests {
		unable = append(unable, d.Unable...)
	}
	answer.Unable = unable
	return answer, nil
}

// collectStatuses returns what this node and its followers report about themselves, and drops expired reports.
// The caller holds f.mu.
func (f *Fleet) collectStatuses(now time.Time) (loads map[string]int, unable []string) {
	f.statuses[f.self.Name] = receivedStatus{Status: f.status, at: now}
	loads = make(map[string]int, len(f.statuses))
	for name, s := range f.statuses {
		if now.Sub(s.at) > f.digestTTL() {
			delete(f.statuses, name)
			continue
		}
		loads[name] = s.Load
		if s.Unable {
			unable = append(unable, name)
		}
	}
	return loads, unable
}

// digestTTL returns how long a digest or a status is valid.
func (f *Fleet) digestTTL() time.Duration {
	return 3 * max(f.timing.DigestInterval, f.timing.FollowWait)
}

// exchangeDigests requests the digests of other relays periodically while this node is a relay.
func (f *Fleet) exchangeDigests(ctx context.Context) error {
	for pause.For(ctx, f.timing.DigestInterval) {
		relays, self := f.Relays()
		f.mu.Lock()
		f.isRelay = self
		f.mu.Unlock()
		if !self {
			continue
		}
		f.fetchDigests(ctx, relays)
		f.mu.Lock()
		f.mergeDigests(time.Now())
		f.mu.Unlock()
	}
	return nil
}

// fetchDigests requests the digests of the other relays of the own failure domain and of one relay of each other
// failure domain.
func (f *Fleet) fetchDigests(ctx context.Context, relays []membership.Node) {
	var group sync.WaitGroup
	for _, r := range relays {
		if r.Name != f.self.Name {
			group.Go(func() { f.fetchDigest(ctx, r, f.relayDigests, r.Name) })
		}
	}
	domains := make(map[string]bool)
	nodes := f.View().Nodes
	for _, n := range nodes {
		domains[n.FailureDomain] = true
	}
	delete(domains, f.self.FailureDomain)
	for domain := range domains {
		group.Go(func() {
			for _, r := range membership.Sources(membership.Relays(nodes, domain), f.self.Name) {
				if f.fetchDigest(ctx, r, f.domainDigests, domain) {
					return
				}
			}
		})
	}
	group.Wait()
}

// fetchDigest requests the digest of one relay, stores it under key, and reports whether the relay answered.
func (f *Fleet) fetchDigest(ctx context.Context, r membership.Node, into map[string]receivedDigest, key string) bool {
	req := digestRequest{Domain: f.self.FailureDomain}
	answer, err := node.Call[digestRequest, digestAnswer](ctx, f.client, r.Addr, pathDigest, req)
	if err != nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	into[key] = receivedDigest{digestAnswer: answer, at: time.Now()}
	return true
}

// mergeDigests combines the statuses and digests that this node received, and wakes the followers if more than
// loads changed. The caller holds f.mu.
func (f *Fleet) mergeDigests(now time.Time) {
	loads, unable := f.collectStatuses(now)
	for name, d := range f.relayDigests {
		if now.Sub(d.at) > f.digestTTL() {
			delete(f.relayDigests, name)
			continue
		}
		unable = append(unable, d.Unable...)
		for n, load := range d.Loads {
			if _, own := loads[n]; !own {
				loads[n] = load
			}
		}
	}
	var unreachable []membership.Incarnation
	for domain, d := range f.domainDigests {
		if now.Sub(d.at) > f.digestTTL() {
			delete(f.domainDigests, domain)
			continue
		}
		unable = append(unable, d.Unable...)
		unreachable = append(unreachable, d.Unreachable...)
	}
	unable = slices.DeleteFunc(unable, func(name string) bool { return f.reportedAble(name) })
	f.state.SetLoads(loads)
	changed := f.state.SetReportedUnreachable(unreachable)
	if f.state.SetUnable(unable) || changed {
		f.version++
		f.wakeFollowers()
	}
	f.publish(now)
}

// reportedAble reports whether the named node reported to this node directly that it can serve. Such a report
// overrides those of other relays. The caller holds f.mu.
func (f *Fleet) reportedAble(name string) bool {
	s, ok := f.statuses[name]
	return ok && !s.Unable
}

// unknownLoad represents an unknown load in a packed list.
const unknownLoad = -1

// domainNames returns the names of the listed nodes of the own failure domain, sorted. It is the same at all
// nodes that have the same revision of the list. The caller holds f.mu.
func (f *Fleet) domainNames() []string {
	var names []string
	for _, n := range f.state.Listed() {
		if n.FailureDomain == f.self.FailureDomain {
			names = append(names, n.Name)
		}
	}
	return names
}

// packLoads returns the loads in the order of names, without the names. It returns nil if no load is known.
func packLoads(names []string, loads map[string]int) []int {
	if len(loads) == 0 {
		return nil
	}
	packed := make([]int, len(names))
	for i, name := range names {
		load, ok := loads[name]
		if !ok {
			load = unknownLoad
		}
		packed[i] = load
	}
	return packed
}

func unpackLoads(names []string, packed []int) map[string]int {
	loads := make(map[string]int, len(names))
	for i, name := range names {
		if packed[i] != unknownLoad {
			loads[name] = packed[i]
		}
	}
	return loads
}
