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

// This file defines how relays exchange what the store does not tell: nodes that heartbeats show dead, nodes
// that cannot serve, and loads. A relay asks the other relays of its failure domain, and one relay of each
// other failure domain; its followers hear the outcome with their next answer.

const pathDigest = "/fleet/digest"

// Status is what a node says of itself.
type Status struct {
	Unable bool `json:"unable,omitempty"` // it cannot serve callers
	Load   int  `json:"load,omitempty"`   // in percent of what it bears
}

// heardStatus is a follower's status with the time it was heard.
type heardStatus struct {
	Status
	at time.Time
}

// heardDigest is a relay's digest with the time it was heard.
type heardDigest struct {
	digestAnswer
	at time.Time
}

type digestRequest struct {
	Domain string `json:"domain"` // of the asking relay
}

// digestAnswer is what a relay and its followers know of their own failure domain. Loads go to relays of the
// same one only.
type digestAnswer struct {
	Unreachable []membership.Incarnation `json:"unreachable,omitempty"`
	Unable      []string                 `json:"unable,omitempty"`
	Loads       map[string]int           `json:"loads,omitempty"`
}

// SetStatus sets what the node says of itself.
func (f *Fleet) SetStatus(s Status) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status = s
}

func (f *Fleet) noteStatus(from node.Sender, s Status) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.statuses[from.Name]
	f.statuses[from.Name] = heardStatus{Status: s, at: time.Now()}
	if old.Unable != s.Unable && f.relay {
		f.merge(time.Now())
	}
}

func (f *Fleet) handleDigest(_ context.Context, _ node.Sender, req digestRequest) (digestAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	answer := digestAnswer{Unreachable: f.state.FoundUnreachable()}
	loads, unable := f.heard(time.Now())
	if req.Domain == f.self.FailureDomain {
		answer.Loads, answer.Unable = loads, unable
		return answer, nil
	}
	for _, fellow := range f.fellows {
		unable = append(unable, fellow.Unable...)
	}
	answer.Unable = unable
	return answer, nil
}

// Returns what this node and its followers say of themselves. The caller holds f.mu.
func (f *Fleet) heard(now time.Time) (loads map[string]int, unable []string) {
	f.statuses[f.self.Name] = heardStatus{Status: f.status, at: now}
	loads = make(map[string]int, len(f.statuses))
	for name, s := range f.statuses {
		if now.Sub(s.at) > f.digestLife() {
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

// Returns how long a digest or a status counts.
func (f *Fleet) digestLife() time.Duration {
	return 3 * max(f.timing.DigestInterval, f.timing.FollowWait)
}

// Asks other relays in every period while this node is a relay.
func (f *Fleet) exchange(ctx context.Context) error {
	for pause.For(ctx, f.timing.DigestInterval) {
		relays, self := f.Relays()
		f.mu.Lock()
		f.relay = self
		f.mu.Unlock()
		if !self {
			continue
		}
		f.askRelays(ctx, relays)
		f.mu.Lock()
		f.merge(time.Now())
		f.mu.Unlock()
	}
	return nil
}

// Asks the other relays of the own failure domain, and one relay of each other one.
func (f *Fleet) askRelays(ctx context.Context, relays []membership.Node) {
	var group sync.WaitGroup
	for _, r := range relays {
		if r.Name != f.self.Name {
			group.Go(func() { f.askDigest(ctx, r, f.fellows, r.Name) })
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
				if f.askDigest(ctx, r, f.domains, domain) {
					return
				}
			}
		})
	}
	group.Wait()
}

// Asks one relay, keeps its digest under key, and reports whether it answered.
func (f *Fleet) askDigest(ctx context.Context, r membership.Node, into map[string]heardDigest, key string) bool {
	req := digestRequest{Domain: f.self.FailureDomain}
	answer, err := node.Call[digestRequest, digestAnswer](ctx, f.client, r.Addr, pathDigest, req)
	if err != nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	into[key] = heardDigest{digestAnswer: answer, at: time.Now()}
	return true
}

// Puts together what the node and other relays heard, and wakes the followers when more than loads changed.
// The caller holds f.mu.
func (f *Fleet) merge(now time.Time) {
	loads, unable := f.heard(now)
	for name, d := range f.fellows {
		if now.Sub(d.at) > f.digestLife() {
			delete(f.fellows, name)
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
	for domain, d := range f.domains {
		if now.Sub(d.at) > f.digestLife() {
			delete(f.domains, domain)
			continue
		}
		unable = append(unable, d.Unable...)
		unreachable = append(unreachable, d.Unreachable...)
	}
	unable = slices.DeleteFunc(unable, func(name string) bool { return f.overruled(name) })
	f.state.SetLoads(loads)
	changed := f.state.SetReportedUnreachable(unreachable)
	if f.state.SetUnable(unable) || changed {
		f.version++
		f.wake()
	}
	f.publish(now)
}

// Reports whether this node has heard from a node itself that it can serve, which counts more than what other
// relays say of it. The caller holds f.mu.
func (f *Fleet) overruled(name string) bool {
	s, ok := f.statuses[name]
	return ok && !s.Unable
}

// unknownLoad stands for a load that is not known.
const unknownLoad = -1

// Returns the names of the listed nodes of the own failure domain, sorted. Nodes with the same revision of
// the list agree on it. The caller holds f.mu.
func (f *Fleet) domainNames() []string {
	var names []string
	for _, n := range f.state.Listed() {
		if n.FailureDomain == f.self.FailureDomain {
			names = append(names, n.Name)
		}
	}
	return names
}

// Returns the loads in the order of names, without the names. It is nil when none is known.
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
