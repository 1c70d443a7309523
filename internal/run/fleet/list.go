package fleet

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/edge/node"
)

// This file defines how the list of members reaches a node: from the store when it is a relay, else from a
// relay of its failure domain, with the store as the fallback.

const pathFollow = "/fleet/follow"

const (
	maxBatches = 1024
	avoidTime  = 5 * time.Second
	// helperWait is how long a relay that cannot reach the store follows another one at a time.
	helperWait = time.Second
)

// followRequest asks for what changed since a revision.
type followRequest struct {
	After  uint64 `json:"after"`
	Seen   uint64 `json:"seen"` // Version of the last answer from the same node
	WaitMs int64  `json:"waitMs"`
	Status Status `json:"status"`
}

// followAnswer brings a follower up to date.
type followAnswer struct {
	Revision    uint64                   `json:"revision"`
	Whole       bool                     `json:"whole,omitempty"` // Nodes is the whole list, and Updates is empty
	Nodes       []membership.Node        `json:"nodes,omitempty"`
	Updates     []membership.Update      `json:"updates,omitempty"`
	Unreachable []membership.Incarnation `json:"unreachable,omitempty"`
	Leaving     []string                 `json:"leaving,omitempty"`
	Unable      []string                 `json:"unable,omitempty"`
	Loads       []int                    `json:"loads,omitempty"` // of domainNames at Revision; unknownLoad where not known
	AgeMs       int64                    `json:"ageMs"`           // since the store vouched for the list
	DeferMs     int64                    `json:"deferMs,omitempty"`
	Version     uint64                   `json:"version"`
}

// neverMs is the age of a list that the store has never vouched for.
const neverMs = int64(365 * 24 * time.Hour / time.Millisecond)

// source is a node that this node follows, and the version it last told. A configured peer has no name.
type source struct {
	name string
	addr netip.AddrPort
	seen uint64
}

// Keeps the list current until ctx ends.
func (f *Fleet) keepList(ctx context.Context) error {
	var src source
	for ctx.Err() == nil {
		next, relay := f.nextSource()
		if !next.addr.IsValid() || relay {
			f.pollStore(ctx, next)
			continue
		}
		if next.addr != src.addr {
			src = next
		}
		err := f.pollNode(ctx, &src, f.timing.FollowWait)
		if err != nil || f.stale(time.Now()) {
			f.passOver(ctx, src.addr)
		}
	}
	return nil
}

// Reports whether the list is so old that the followed relay may be cut off from a store that this node
// reaches.
func (f *Fleet) stale(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.state.ConfirmedAt()) > 2*f.timing.LeaseTTL
}

// Returns the node to follow, if any is left, and whether this node reads the store itself: as a relay, or
// since it knows of none.
func (f *Fleet) nextSource() (source, bool) {
	relays, self := f.Relays()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	others := membership.Sources(relays, f.self.Name)
	for _, r := range others {
		if now.After(f.avoid[r.Addr]) {
			return source{name: r.Name, addr: r.Addr}, self
		}
	}
	if len(others) == 0 {
		return source{addr: f.nextPeer(now)}, true
	}
	return source{}, self
}

// Returns a configured peer to ask, if any is left. The caller holds f.mu.
func (f *Fleet) nextPeer(now time.Time) netip.AddrPort {
	for _, addr := range f.peers {
		if addr != f.self.Addr && now.After(f.avoid[addr]) {
			return addr
		}
	}
	return netip.AddrPort{}
}

// Leaves a source alone for a while, and looks into whether it is still alive.
func (f *Fleet) passOver(ctx context.Context, addr netip.AddrPort) {
	f.mu.Lock()
	f.avoid[addr] = time.Now().Add(avoidTime)
	f.mu.Unlock()
	for _, n := range f.View().Nodes {
		if n.Addr == addr {
			go f.check(ctx, n)
		}
	}
}

// Watches the store once. When it does not answer, the helper, if any, is followed for a moment: it may reach
// the store.
func (f *Fleet) pollStore(ctx context.Context, helper source) {
	f.mu.Lock()
	revision := f.state.Revision()
	f.mu.Unlock()
	err := f.readStore(ctx, revision)
	if err == nil || ctx.Err() != nil {
		return
	}
	if helper.addr.IsValid() {
		if f.pollNode(ctx, &helper, helperWait) != nil {
			f.passOver(ctx, helper.addr)
		}
	}
	pause.For(ctx, f.retryWait())
}

// Reads the list, or waits for its changes after a revision.
func (f *Fleet) readStore(ctx context.Context, revision uint64) error {
	start := time.Now()
	if revision == 0 {
		return f.listStore(ctx, start)
	}
	changes, next, err := f.store.Watch(ctx, memberPrefix, kvstore.Revision(revision))
	if errors.Is(err, kvstore.ErrCompacted) {
		return f.listStore(ctx, start)
	}
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.noteStore(time.Now())
	f.apply(f.decodeChanges(changes), uint64(next))
	f.mu.Unlock()
	if len(changes) > 0 {
		pause.For(ctx, f.timing.BatchDelay)
	}
	return nil
}

func (f *Fleet) listStore(ctx context.Context, start time.Time) error {
	entries, revision, err := f.store.List(ctx, memberPrefix)
	if err != nil {
		return err
	}
	nodes := make([]membership.Node, 0, len(entries))
	for _, entry := range entries {
		rec, err := decodeRecord(entry)
		if err != nil {
			event.Log(f.log, event.BadMemberRecord, event.Fields{"error": err.Error()})
			continue
		}
		nodes = append(nodes, rec.Node)
	}
	f.mu.Lock()
	f.noteStore(start)
	f.replace(nodes, uint64(revision))
	f.mu.Unlock()
	if revision == 0 {
		pause.For(ctx, f.timing.BatchDelay) // an empty store has no revision to watch from
	}
	return nil
}

func (f *Fleet) decodeChanges(changes []kvstore.Change) []membership.Update {
	updates := make([]membership.Update, 0, len(changes))
	for _, c := range changes {
		if c.Deleted {
			name := c.Key[len(memberPrefix):]
			updates = append(updates, membership.Update{Node: membership.Node{Name: name}, Deleted: true})
			continue
		}
		rec, err := decodeRecord(c.Entry)
		if err != nil {
			event.Log(f.log, event.BadMemberRecord, event.Fields{"error": err.Error()})
			continue
		}
		updates = append(updates, membership.Update{Node: rec.Node})
	}
	return updates
}

// Notes that the store answered for the list as of a time. After a long gap live nodes may be missing from
// the list until they have registered anew, so removals are deferred. The caller holds f.mu.
func (f *Fleet) noteStore(at time.Time) {
	now := time.Now()
	if !f.storeOK.IsZero() && now.Sub(f.storeOK) > f.timing.OutageThreshold {
		f.state.DeferRemovals(now.Add(f.timing.LeaseTTL))
		f.version++
	}
	f.storeOK = now
	f.state.Confirm(at)
}

// Applies changes, keeps them for followers and publishes. The caller holds f.mu.
func (f *Fleet) apply(updates []membership.Update, revision uint64) {
	now := time.Now()
	if revision < f.state.Revision() {
		return
	}
	f.state.Apply(now, updates, revision)
	if len(updates) > 0 {
		f.batches = append(f.batches, batch{revision: revision, updates: updates})
		if len(f.batches) > maxBatches {
			f.base = f.batches[0].revision
			f.batches = f.batches[1:]
		}
		f.wake()
	}
	f.publish(now)
}

// Takes a whole list and publishes. The caller holds f.mu.
func (f *Fleet) replace(nodes []membership.Node, revision uint64) {
	if revision < f.state.Revision() {
		return
	}
	now := time.Now()
	f.state.Replace(now, nodes, revision)
	f.batches = nil
	f.base = revision
	f.wake()
	f.publish(now)
}

// Follows a node once.
func (f *Fleet) pollNode(ctx context.Context, src *source, wait time.Duration) error {
	f.mu.Lock()
	req := followRequest{After: f.state.Revision(), Seen: src.seen, WaitMs: wait.Milliseconds(), Status: f.status}
	f.mu.Unlock()
	ctx, cancel := f.WhileReachable(ctx, src.name)
	defer cancel()
	answer, err := node.Call[followRequest, followAnswer](ctx, f.follow, src.addr, pathFollow, req)
	if err != nil {
		return err
	}
	src.seen = answer.Version
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if answer.AgeMs < neverMs {
		f.state.Confirm(now.Add(-time.Duration(answer.AgeMs) * time.Millisecond))
	}
	if answer.DeferMs > 0 {
		f.state.DeferRemovals(now.Add(time.Duration(answer.DeferMs) * time.Millisecond))
	}
	f.state.SetReportedUnreachable(answer.Unreachable)
	f.state.SetLeaving(answer.Leaving)
	f.state.SetUnable(answer.Unable)
	if answer.Whole {
		f.replace(answer.Nodes, answer.Revision)
	} else {
		f.apply(answer.Updates, answer.Revision)
	}
	if names := f.domainNames(); answer.Revision == f.state.Revision() && len(answer.Loads) == len(names) {
		f.state.SetLoads(unpackLoads(names, answer.Loads))
	}
	return nil
}

// Answers a follower when there is news for it, or after its wait.
func (f *Fleet) handleFollow(ctx context.Context, from node.Sender, req followRequest) (followAnswer, error) {
	f.noteStatus(from, req.Status)
	wait := min(time.Duration(req.WaitMs)*time.Millisecond, f.timing.FollowWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		f.mu.Lock()
		answer := f.answer(req.After)
		changed := answer.Version != req.Seen || len(answer.Updates) > 0 || answer.Whole
		news := f.news
		f.mu.Unlock()
		if changed {
			return answer, nil
		}
		select {
		case <-news:
		case <-timer.C:
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.answer(req.After), nil
		case <-ctx.Done():
			return followAnswer{}, ctx.Err()
		}
	}
}

// Returns what a follower at a revision lacks. The caller holds f.mu.
func (f *Fleet) answer(after uint64) followAnswer {
	now := time.Now()
	answer := followAnswer{
		Revision:    f.state.Revision(),
		Unreachable: f.state.FoundUnreachable(),
		Leaving:     f.state.Leaving(),
		Unable:      f.state.Unable(),
		Loads:       packLoads(f.domainNames(), f.state.Loads()),
		AgeMs:       neverMs,
		Version:     f.version,
	}
	if f.relay {
		answer.Unreachable = append(answer.Unreachable, f.state.ReportedUnreachable()...)
	}
	if at := f.state.ConfirmedAt(); !at.IsZero() {
		answer.AgeMs = min(neverMs, now.Sub(at).Milliseconds())
	}
	if until := f.state.DeferredUntil(); until.After(now) {
		answer.DeferMs = until.Sub(now).Milliseconds()
	}
	if after >= answer.Revision {
		return answer
	}
	if after < f.base {
		answer.Whole = true
		answer.Nodes = f.state.Listed()
		return answer
	}
	for _, b := range f.batches {
		if b.revision > after {
			answer.Updates = append(answer.Updates, b.updates...)
		}
	}
	return answer
}

// Reads the list of VMs while this node is a relay.
func (f *Fleet) pollVMs(ctx context.Context) error {
	for {
		if _, relay := f.Relays(); relay {
			f.readVMs(ctx)
		}
		if !pause.For(ctx, f.timing.VMPollInterval) {
			return nil
		}
	}
}

func (f *Fleet) readVMs(ctx context.Context) {
	vms, err := f.store.VMs(ctx)
	if err != nil {
		return
	}
	var leaving []string
	for _, vm := range vms {
		if vm.State == kvstore.VMLeaving {
			leaving = append(leaving, vm.Name)
		}
	}
	slices.Sort(leaving)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.Equal(f.state.Leaving(), leaving) {
		f.state.SetLeaving(leaving)
		f.version++
		f.wake()
		f.publish(time.Now())
	}
}
