// This file defines how a node receives heads: it watches the store or follows a relay, and queries other failure
// domains while the store does not answer.

package intent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/core/spread"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
)

const pathFollow = "/intent/follow"

// followRequest requests a head of a higher revision than the sender's, and reports what the sender has in force.
type followRequest struct {
	Have    bundle.Revision `json:"have"`
	Problem string          `json:"problem,omitempty"` // why a higher head is not in force
	WaitMs  int64           `json:"waitMs"`
	Report  bool            `json:"report,omitempty"` // the sender follows the receiver, which records its report
}

// followAnswer holds the receiver's head if it is higher, and when the store last confirmed it.
type followAnswer struct {
	Revision  bundle.Revision `json:"revision"`
	Head      *bundle.Head    `json:"head,omitempty"`
	AgeMs     int64           `json:"ageMs"`               // since the store last confirmed Revision; negative if it never did
	SharedMs  int64           `json:"sharedMs,omitempty"`  // how long the answering node may still rely on a shared outage
	Followers int             `json:"followers,omitempty"` // that reported within maxReportAge
	Problem   string          `json:"problem,omitempty"`   // why a higher head is not in force
}

// neverConfirmedMs is the age of a head that the store never confirmed.
const neverConfirmedMs = -1

// keepHead keeps the head current until ctx ends.
func (in *Intent) keepHead(ctx context.Context) error {
	for ctx.Err() == nil {
		src, fromStore := in.nextSource()
		if fromStore {
			in.pollStore(ctx)
			continue
		}
		wait := FollowWait
		if in.isCutOff() {
			wait = 0
		}
		if err := in.pollNode(ctx, src, wait, true); err != nil {
			in.avoidRelay(src.Name)
			continue
		}
		in.loadLatest(ctx)
		if in.isCutOff() {
			in.avoidRelay(src.Name) // the relay may be cut off from a store that this node reaches
		}
	}
	return nil
}

func (in *Intent) isCutOff() bool {
	_, fresh := in.Current()
	return fresh.Status == spread.CutOff
}

// nextSource returns the relay to follow, or true if this node reads the store itself. It does so as a relay, when no
// relay is left, and until it applies its first head: a relay may have a lower head than this node applied before it
// restarted.
func (in *Intent) nextSource() (membership.Node, bool) {
	relays, selfIsRelay := in.fleet.Relays()
	in.mu.Lock()
	defer in.mu.Unlock()
	if selfIsRelay || in.inForce == nil {
		return membership.Node{}, true
	}
	for _, r := range membership.Sources(relays, in.fleet.Self().Name) {
		if time.Now().After(in.avoid[r.Name]) {
			return r, false
		}
	}
	return membership.Node{}, true
}

func (in *Intent) avoidRelay(name string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.avoid[name] = time.Now().Add(avoidTime)
}

// pollStore reads or watches the head in the store once.
func (in *Intent) pollStore(ctx context.Context) {
	if err := in.readStore(ctx); err != nil {
		pause.For(ctx, pause.Between(retryMin, retryMax))
	}
	in.restoreHead(ctx)
	in.loadLatest(ctx)
}

// pollFleet queries the fleet while this node has no relay to follow and the store does not confirm the head.
func (in *Intent) pollFleet(ctx context.Context) error {
	for ctx.Err() == nil {
		if _, fromStore := in.nextSource(); fromStore && in.confirmationOverdue(time.Now()) {
			in.queryFleet(ctx)
		}
		pause.For(ctx, queryPeriod)
	}
	return nil
}

// confirmationOverdue reports whether the store has not confirmed the head for maxConfirmationGap.
func (in *Intent) confirmationOverdue(now time.Time) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return now.Sub(in.state.Confirmation().ConfirmedAt) > maxConfirmationGap
}

func (in *Intent) readStore(ctx context.Context) error {
	in.mu.Lock()
	after := in.revision
	in.mu.Unlock()
	if after == 0 {
		return in.listHead(ctx)
	}
	changes, revision, err := in.store.Watch(ctx, bundle.HeadKey, after)
	if errors.Is(err, kvstore.ErrCompacted) {
		return in.listHead(ctx)
	}
	if err != nil {
		return err
	}
	var entries []kvstore.Entry
	for _, c := range changes {
		if c.Key == bundle.HeadKey && !c.Deleted {
			entries = append(entries, c.Entry)
		}
	}
	in.recordStoreHead(entries, revision)
	return nil
}

func (in *Intent) listHead(ctx context.Context) error {
	entries, revision, err := in.store.List(ctx, bundle.HeadKey)
	if err != nil {
		return err
	}
	in.recordStoreHead(entries, revision)
	if revision == 0 {
		pause.For(ctx, retryMin) // an empty store has no revision to watch from
	}
	return nil
}

// recordStoreHead records the store's current head, if entries holds one, and the store's confirmation of the latest
// head.
func (in *Intent) recordStoreHead(entries []kvstore.Entry, revision kvstore.Revision) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.revision != 0 && revision.Era() > in.revision.Era() {
		in.headLost = true
	}
	in.revision = revision
	for _, entry := range entries {
		var h bundle.Head
		if err := json.Unmarshal(entry.Value, &h); err != nil || h.Revision == 0 {
			event.Log(in.log, event.BadHead, event.Fields{"error": fmt.Sprint(err)})
			continue
		}
		if in.state.RecordHead(h) {
			in.latestFrom = membership.Node{}
			in.rememberHead(h)
		}
	}
	latest, _ := in.state.Latest()
	in.state.Confirm(latest.Revision, time.Now())
	in.publish()
}

// pollNode calls queryNode and drops the answer, which queryNode has recorded.
func (in *Intent) pollNode(ctx context.Context, src membership.Node, wait time.Duration, report bool) error {
	_, err := in.queryNode(ctx, src, wait, report)
	return err
}

// queryNode requests a higher head from a node, and records the head and the confirmation in its answer. With a wait of
// zero the node answers immediately. With report, the node records what this node has in force, and this node adopts the
// problem in the answer unless it has a higher head to load.
func (in *Intent) queryNode(ctx context.Context, src membership.Node, wait time.Duration, report bool) (followAnswer, error) {
	in.mu.Lock()
	req := followRequest{Have: in.state.Applied().Revision, Problem: in.problem, WaitMs: wait.Milliseconds(), Report: report}
	in.mu.Unlock()
	if wait > 0 {
		reachable, cancel := in.fleet.WhileReachable(ctx, src.Name)
		defer cancel()
		ctx = reachable
	}
	answer, err := node.Call[followRequest, followAnswer](ctx, in.followClient, src.Addr, pathFollow, req)
	if err != nil {
		return answer, err
	}
	now := time.Now()
	in.mu.Lock()
	defer in.mu.Unlock()
	if answer.Head != nil && in.state.RecordHead(*answer.Head) {
		in.latestFrom = src
		in.rememberHead(*answer.Head)
	}
	if answer.AgeMs >= 0 {
		in.state.Confirm(answer.Revision, now.Add(-time.Duration(answer.AgeMs)*time.Millisecond))
	}
	if answer.SharedMs > 0 {
		in.state.ExtendSharedOutage(answer.Revision, now.Add(time.Duration(answer.SharedMs)*time.Millisecond))
	}
	if _, higher := in.state.Latest(); report && !higher {
		in.problem = answer.Problem
	}
	in.publish()
	return answer, nil
}

// handleFollow answers a follower when a higher head is in force here, or when its wait has passed.
func (in *Intent) handleFollow(ctx context.Context, from node.Sender, req followRequest) (followAnswer, error) {
	timer := time.NewTimer(min(time.Duration(req.WaitMs)*time.Millisecond, FollowWait))
	defer timer.Stop()
	if req.Report {
		in.recordReport(from, req)
	}
	for {
		in.mu.Lock()
		changed := in.headChanged
		answer := in.followAnswer(req.Have)
		in.mu.Unlock()
		if answer.Head != nil || req.WaitMs == 0 {
			return answer, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			in.mu.Lock()
			defer in.mu.Unlock()
			return in.followAnswer(req.Have), nil
		case <-ctx.Done():
			return followAnswer{}, ctx.Err()
		}
	}
}

// followAnswer returns the answer to a follower whose head has revision have. The caller holds in.mu.
func (in *Intent) followAnswer(have bundle.Revision) followAnswer {
	now := time.Now()
	head := in.state.Applied()
	confirmation := in.state.Confirmation()
	answer := followAnswer{Revision: head.Revision, AgeMs: neverConfirmedMs, Followers: in.pruneReports(now), Problem: in.problem}
	if !confirmation.ConfirmedAt.IsZero() {
		answer.AgeMs = now.Sub(confirmation.ConfirmedAt).Milliseconds()
	}
	if confirmation.SharedOutageUntil.After(now) {
		answer.SharedMs = confirmation.SharedOutageUntil.Sub(now).Milliseconds()
	}
	if head.Revision > have {
		answer.Head = &head
	}
	return answer
}

// queryFleet queries the other relays of this node's failure domain and one relay of each other domain. It adopts their
// heads and confirmations. If most of the fleet answers, it records a shared outage, which has no effect while one of
// these confirmations is fresh.
func (in *Intent) queryFleet(ctx context.Context) {
	v := in.fleet.View()
	self := in.fleet.Self()
	domains := nodesByDomain(v, self)
	counts := make(chan int, len(domains))
	var group sync.WaitGroup
	for domain, nodes := range domains {
		group.Go(func() {
			if domain == self.FailureDomain {
				counts <- in.queryOwnDomain(ctx, nodes, self)
			} else {
				counts <- in.queryOtherDomain(ctx, nodes, domain)
			}
		})
	}
	group.Wait()
	close(counts)
	reached := 0
	for n := range counts {
		reached += n
	}
	in.extendSharedOutage(reached, fleetSize(v, self))
}

// extendSharedOutage records a shared outage if the reached nodes are a majority of the listed ones.
func (in *Intent) extendSharedOutage(reached, listed int) {
	if !spread.IsMajority(reached, listed) {
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	latest, _ := in.state.Latest()
	in.state.ExtendSharedOutage(latest.Revision, time.Now().Add(sharedOutageTime))
	in.publish()
}

// queryOwnDomain returns how many nodes of this node's failure domain are in contact: this node, its followers, and the
// relays that answer, with their followers.
func (in *Intent) queryOwnDomain(ctx context.Context, nodes []membership.Node, self membership.Node) int {
	in.mu.Lock()
	reached := 1 + in.pruneReports(time.Now())
	in.mu.Unlock()
	for _, r := range membership.Relays(nodes, self.FailureDomain) {
		if r.Name == self.Name {
			continue
		}
		if answer, err := in.queryNode(ctx, r, 0, false); err == nil {
			reached += 1 + answer.Followers
		}
	}
	return min(reached, len(nodes))
}

// queryOtherDomain returns how many nodes another failure domain has if one of its relays answers, or zero.
func (in *Intent) queryOtherDomain(ctx context.Context, nodes []membership.Node, domain string) int {
	for _, r := range membership.Relays(nodes, domain) {
		if _, err := in.queryNode(ctx, r, 0, false); err == nil {
			return len(nodes)
		}
	}
	return 0
}

// nodesByDomain returns the live nodes, self included, by failure domain.
func nodesByDomain(v *membership.View, self membership.Node) map[string][]membership.Node {
	domains := map[string][]membership.Node{self.FailureDomain: {self}}
	for _, n := range v.Nodes {
		if n.Name != self.Name {
			domains[n.FailureDomain] = append(domains[n.FailureDomain], n)
		}
	}
	return domains
}

// fleetSize returns how many nodes the fleet has, unreachable ones included.
func fleetSize(v *membership.View, self membership.Node) int {
	count := len(v.Nodes) + len(v.Unreachable)
	if _, ok := v.Node(self.Name); !ok {
		count++
	}
	return count
}
