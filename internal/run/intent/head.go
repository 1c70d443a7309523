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

// This file defines how a node hears of heads: by watching the store, by following a relay, and by asking
// other failure domains while the store does not answer.

const pathFollow = "/intent/follow"

// followRequest asks for a head above the one held, and reports what the follower has in force.
type followRequest struct {
	Have    bundle.Revision `json:"have"`
	Problem string          `json:"problem,omitempty"` // why a higher head is not in force
	WaitMs  int64           `json:"waitMs"`
	Report  bool            `json:"report,omitempty"` // the sender follows the receiver regularly
}

// followAnswer carries the receiver's head when it is higher, and how it stands.
type followAnswer struct {
	Revision  bundle.Revision `json:"revision"`
	Head      *bundle.Head    `json:"head,omitempty"`
	AgeMs     int64           `json:"ageMs"` // since the store confirmed Revision; negative when it never did
	SharedMs  int64           `json:"sharedMs,omitempty"`
	Followers int             `json:"followers,omitempty"` // heard of within reportTime
	Problem   string          `json:"problem,omitempty"`   // why a higher head is not in force
}

// neverMs is the age of a head that the store never confirmed.
const neverMs = -1

// Keeps the head current until ctx ends.
func (in *Intent) keepHead(ctx context.Context) error {
	for ctx.Err() == nil {
		src, relay := in.nextSource()
		if relay {
			in.pollStore(ctx)
			continue
		}
		wait := FollowWait
		if in.isCutOff() {
			wait = 0
		}
		if err := in.pollNode(ctx, src, wait, true); err != nil {
			in.passOver(src.Name)
			continue
		}
		in.loadWanted(ctx)
		if in.isCutOff() {
			in.passOver(src.Name) // the relay may be cut off from a store that this node reaches
		}
	}
	return nil
}

func (in *Intent) isCutOff() bool {
	_, fresh := in.Current()
	return fresh.Status == spread.CutOff
}

// Returns the relay to follow, or true when this node reads the store itself: as a relay, since no relay is
// left, or since it has just started; a relay may be behind what the node applied in its earlier life.
func (in *Intent) nextSource() (membership.Node, bool) {
	relays, self := in.fleet.Relays()
	in.mu.Lock()
	defer in.mu.Unlock()
	if self || in.inForce == nil {
		return membership.Node{}, true
	}
	for _, r := range membership.Sources(relays, in.fleet.Self().Name) {
		if time.Now().After(in.avoid[r.Name]) {
			return r, false
		}
	}
	return membership.Node{}, true
}

func (in *Intent) passOver(name string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.avoid[name] = time.Now().Add(avoidTime)
}

// Reads or watches the head in the store once.
func (in *Intent) pollStore(ctx context.Context) {
	if err := in.readStore(ctx); err != nil {
		pause.For(ctx, pause.Between(retryMin, retryMax))
	}
	in.loadWanted(ctx)
}

// Asks other failure domains while the store does not vouch for the head and no relay does it in its place.
func (in *Intent) keepInTouch(ctx context.Context) error {
	for ctx.Err() == nil {
		if _, alone := in.nextSource(); alone && in.quiet(time.Now()) {
			in.consult(ctx)
		}
		pause.For(ctx, consultPeriod)
	}
	return nil
}

// Reports whether the store has not vouched for the head lately.
func (in *Intent) quiet(now time.Time) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return now.Sub(in.state.Confirmation().ConfirmedAt) > quietTime
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
	in.hear(entries, revision)
	return nil
}

func (in *Intent) listHead(ctx context.Context) error {
	entries, revision, err := in.store.List(ctx, bundle.HeadKey)
	if err != nil {
		return err
	}
	in.hear(entries, revision)
	if revision == 0 {
		pause.For(ctx, retryMin) // an empty store has no revision to watch from
	}
	return nil
}

// Takes what the store said of the head just now.
func (in *Intent) hear(entries []kvstore.Entry, revision kvstore.Revision) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.revision = revision
	for _, entry := range entries {
		var h bundle.Head
		if err := json.Unmarshal(entry.Value, &h); err != nil || h.Revision == 0 {
			event.Log(in.log, event.BadHead, event.Fields{"error": fmt.Sprint(err)})
			continue
		}
		if in.state.Observe(h) {
			in.teller = membership.Node{}
		}
	}
	wanted, _ := in.state.Latest()
	in.state.Confirm(wanted.Revision, time.Now())
	in.publish()
}

// Follows a node once. A wait of zero only asks.
func (in *Intent) pollNode(ctx context.Context, src membership.Node, wait time.Duration, report bool) error {
	_, err := in.ask(ctx, src, wait, report)
	return err
}

func (in *Intent) ask(ctx context.Context, src membership.Node, wait time.Duration, report bool) (followAnswer, error) {
	in.mu.Lock()
	req := followRequest{Have: in.state.Applied().Revision, Problem: in.problem, WaitMs: wait.Milliseconds(), Report: report}
	in.mu.Unlock()
	if wait > 0 {
		reachable, cancel := in.fleet.WhileReachable(ctx, src.Name)
		defer cancel()
		ctx = reachable
	}
	answer, err := node.Call[followRequest, followAnswer](ctx, in.follow, src.Addr, pathFollow, req)
	if err != nil {
		return answer, err
	}
	now := time.Now()
	in.mu.Lock()
	defer in.mu.Unlock()
	if answer.Head != nil && in.state.Observe(*answer.Head) {
		in.teller = src
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

// Answers a follower when a higher head is in force here, or after its wait.
func (in *Intent) handleFollow(ctx context.Context, from node.Sender, req followRequest) (followAnswer, error) {
	timer := time.NewTimer(min(time.Duration(req.WaitMs)*time.Millisecond, FollowWait))
	defer timer.Stop()
	if req.Report {
		in.noteReport(from, req)
	}
	for {
		in.mu.Lock()
		news := in.news
		answer := in.answer(req.Have)
		in.mu.Unlock()
		if answer.Head != nil || req.WaitMs == 0 {
			return answer, nil
		}
		select {
		case <-news:
		case <-timer.C:
			in.mu.Lock()
			defer in.mu.Unlock()
			return in.answer(req.Have), nil
		case <-ctx.Done():
			return followAnswer{}, ctx.Err()
		}
	}
}

// Returns the node's standing, with its head when that is above have. The caller holds in.mu.
func (in *Intent) answer(have bundle.Revision) followAnswer {
	now := time.Now()
	head := in.state.Applied()
	contact := in.state.Confirmation()
	answer := followAnswer{Revision: head.Revision, AgeMs: neverMs, Followers: in.followers(now), Problem: in.problem}
	if !contact.ConfirmedAt.IsZero() {
		answer.AgeMs = now.Sub(contact.ConfirmedAt).Milliseconds()
	}
	if contact.SharedOutageUntil.After(now) {
		answer.SharedMs = contact.SharedOutageUntil.Sub(now).Milliseconds()
	}
	if head.Revision > have {
		answer.Head = &head
	}
	return answer
}

// Asks the other relays of the own failure domain and one relay of each other one. Their heads and
// confirmations are taken over. When most of the fleet answers and none of it reaches the store, the outage
// is shared.
func (in *Intent) consult(ctx context.Context) {
	v := in.fleet.View()
	self := in.fleet.Self()
	domains := byDomain(v, self)
	counts := make(chan int, len(domains))
	var group sync.WaitGroup
	for domain, nodes := range domains {
		group.Go(func() {
			if domain == self.FailureDomain {
				counts <- in.askOwn(ctx, nodes, self)
			} else {
				counts <- in.askOther(ctx, nodes, domain)
			}
		})
	}
	group.Wait()
	close(counts)
	reached := 0
	for n := range counts {
		reached += n
	}
	in.judge(reached, listed(v, self))
}

// Notes a shared outage when the nodes in touch are enough.
func (in *Intent) judge(reached, listed int) {
	if !spread.IsMajority(reached, listed) {
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	wanted, _ := in.state.Latest()
	in.state.ExtendSharedOutage(wanted.Revision, time.Now().Add(sharedTime))
	in.publish()
}

// Returns how many nodes of the own failure domain are in touch: this one, its followers, and the relays that
// answer with theirs.
func (in *Intent) askOwn(ctx context.Context, nodes []membership.Node, self membership.Node) int {
	in.mu.Lock()
	reached := 1 + in.followers(time.Now())
	in.mu.Unlock()
	for _, r := range membership.Relays(nodes, self.FailureDomain) {
		if r.Name == self.Name {
			continue
		}
		if answer, err := in.ask(ctx, r, 0, false); err == nil {
			reached += 1 + answer.Followers
		}
	}
	return min(reached, len(nodes))
}

// Returns how many nodes another failure domain has when one of its relays answers, else zero.
func (in *Intent) askOther(ctx context.Context, nodes []membership.Node, domain string) int {
	for _, r := range membership.Relays(nodes, domain) {
		if _, err := in.ask(ctx, r, 0, false); err == nil {
			return len(nodes)
		}
	}
	return 0
}

// Returns the live nodes by failure domain, self among them.
func byDomain(v *membership.View, self membership.Node) map[string][]membership.Node {
	domains := map[string][]membership.Node{self.FailureDomain: {self}}
	for _, n := range v.Nodes {
		if n.Name != self.Name {
			domains[n.FailureDomain] = append(domains[n.FailureDomain], n)
		}
	}
	return domains
}

// Returns how many nodes the fleet has, those out of reach included.
func listed(v *membership.View, self membership.Node) int {
	count := len(v.Nodes) + len(v.Unreachable)
	if _, ok := v.Node(self.Name); !ok {
		count++
	}
	return count
}
