// This file defines how a node receives the list of members. A relay reads it from the store. Another node follows
// a relay of its failure domain, and reads the store if there is none.

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

const pathFollow = "/fleet/follow"

const (
	maxBatches = 1024
	// skipTime is how long a failed source is skipped.
	skipTime = 5 * time.Second
	// fallbackWait is how long a node that cannot reach the store waits for an answer of another node.
	fallbackWait = time.Second
)

// followRequest requests the changes after a revision.
type followRequest struct {
	After  uint64 `json:"after"`
	Seen   uint64 `json:"seen"` // Version of the last answer of the same node
	WaitMs int64  `json:"waitMs"`
	Status Status `json:"status"`
}

// followAnswer is what a follower at a revision lacks.
type followAnswer struct {
	Revision    uint64                   `json:"revision"`
	Whole       bool                     `json:"whole,omitempty"` // Nodes is the complete list, and Updates is empty
	Nodes       []membership.Node        `json:"nodes,omitempty"`
	Updates     []membership.Update      `json:"updates,omitempty"`
	Unreachable []membership.Incarnation `json:"unreachable,omitempty"`
	Leaving     []string                 `json:"leaving,omitempty"`
	Unable      []string                 `json:"unable,omitempty"`
	Loads       []int                    `json:"loads,omitempty"` // in the order of domainNames at Revision; may be unknownLoad
	AgeMs       int64                    `json:"ageMs"`           // since the store confirmed the list
	DeferMs     int64                    `json:"deferMs,omitempty"`
	Version     uint64                   `json:"version"`
}

// neverConfirmedMs is the age of a list that the store has never confirmed.
const neverConfirmedMs = int64(365 * 24 * time.Hour / time.Millisecond)

// source is a node that this node follows, and the version of its last answer. A configured peer has no name.
type source struct {
	name    string
	addr    netip.AddrPort
	version uint64
}

// keepList keeps the list current until ctx ends.
func (f *Fleet) keepList(ctx context.Context) error {
	var src source
	for ctx.Err() == nil {
		next, readsStore := f.nextSource()
		if !next.addr.IsValid() || readsStore {
			f.pollStore(ctx, next)
			continue
		}
		if next.addr != src.addr {
			src = next
		}
		err := f.followOnce(ctx, &src, f.timing.FollowWait)
		if err != nil || f.listIsStale(time.Now()) {
			f.skipSource(ctx, src.addr)
		}
	}
	return nil
}

// listIsStale reports whether the last confirmation of the list is so old that the followed relay may be cut off
// from a store that this node can reach.
func (f *Fleet) listIsStale(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.state.ConfirmedAt()) > 2*f.timing.LeaseTTL
}

// nextSource returns the node to follow, or a zero source if none is left, and whether this node reads the store
// first. It does so if it is a relay or has no other relay in its view. The returned node is then the fallback.
func (f *Fleet) nextSource() (source, bool) {
	relays, self := f.Relays()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	others := membership.Sources(relays, f.self.Name)
	for _, r := range others {
		if now.After(f.skipUntil[r.Addr]) {
			return source{name: r.Name, addr: r.Addr}, self
		}
	}
	if len(others) == 0 {
		return source{addr: f.nextPeer(now)}, true
	}
	return source{}, self
}

// nextPeer returns the first configured peer that is not skipped, or a zero address. The caller holds f.mu.
func (f *Fleet) nextPeer(now time.Time) netip.AddrPort {
	for _, addr := range f.peers {
		if addr != f.self.Addr && now.After(f.skipUntil[addr]) {
			return addr
		}
	}
	return netip.AddrPort{}
}

// skipSource skips a source for skipTime, and checks whether it still answers.
func (f *Fleet) skipSource(ctx context.Context, addr netip.AddrPort) {
	f.mu.Lock()
	f.skipUntil[addr] = time.Now().Add(skipTime)
	f.mu.Unlock()
	for _, n := range f.View().Nodes {
		if n.Addr == addr {
			go f.check(ctx, n)
		}
	}
}

// pollStore reads the store once. If the store does not answer, it follows the fallback node, if any, for
// fallbackWait, since that node may reach the store.
func (f *Fleet) pollStore(ctx context.Context, fallback source) {
	f.mu.Lock()
	revision := f.state.Revision()
	f.mu.Unlock()
	err := f.readStore(ctx, revision)
	if err == nil || ctx.Err() != nil {
		return
	}
	if fallback.addr.IsValid() {
		if f.followOnce(ctx, &fallback, fallbackWait) != nil {
			f.skipSource(ctx, fallback.addr)
		}
	}
	pause.For(ctx, f.retryWait())
}

// readStore reads the list if revision is zero, and waits for its changes after revision otherwise.
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
	f.recordStoreContact(time.Now())
	f.apply(f.decodeChanges(changes), uint64(next))
	f.mu.Unlock()
	if len(changes) > 0 {
		pause.For(ctx, f.timing.BatchDelay)
	}
	return nil
}

// listStore reads the complete list.
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
	f.recordStoreContact(start)
	f.replace(nodes, uint64(revision))
	f.mu.Unlock()
	if revision == 0 {
		pause.For(ctx, f.timing.BatchDelay) // an empty store has no revision to watch from
	}
	return nil
}

// decodeChanges converts changes in the store to updates of the list. It logs and drops records that it cannot
// decode.
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

// recordStoreContact records that the store confirmed the list as of a time. After a gap longer than
// OutageThreshold it defers removals, since live nodes may be missing from the list until they have registered
// again. The caller holds f.mu.
func (f *Fleet) recordStoreContact(at time.Time) {
	now := time.Now()
	if !f.storeContact.IsZero() && now.Sub(f.storeContact) > f.timing.OutageThreshold {
		f.state.DeferRemovals(now.Add(f.timing.LeaseTTL))
		f.version++
	}
	f.storeContact = now
	f.state.Confirm(at)
}

// apply applies changes to the list, keeps them for followers and publishes the view. The caller holds f.mu.
func (f *Fleet) apply(updates []membership.Update, revision uint64) {
	now := time.Now()
	if revision < f.state.Revision() {
		return
	}
	f.enterEra(revision, now)
	f.state.Apply(now, updates, revision)
	f.checkOwnRecord()
	if len(updates) > 0 {
		f.batches = append(f.batches, batch{revision: revision, updates: updates})
		if len(f.batches) > maxBatches {
			f.batchesFrom = f.batches[0].revision
			f.batches = f.batches[1:]
		}
		f.wakeFollowers()
	}
	f.publish(now)
}

// enterEra defers removals if revision is the first of a later era: nodes that registered since the copy from which the store came
// back are missing from its list until they have registered again. The caller holds f.mu.
func (f *Fleet) enterEra(revision uint64, now time.Time) {
	held := kvstore.Revision(f.state.Revision())
	if held == 0 || kvstore.Revision(revision).Era() == held.Era() {
		return
	}
	f.state.DeferRemovals(now.Add(f.timing.LeaseTTL))
	f.version++
}

// replace replaces the complete list and publishes the view. The caller holds f.mu.
func (f *Fleet) replace(nodes []membership.Node, revision uint64) {
	if revision < f.state.Revision() {
		return
	}
	now := time.Now()
	f.enterEra(revision, now)
	f.state.Replace(now, nodes, revision)
	f.checkOwnRecord()
	f.batches = nil
	f.batchesFrom = revision
	f.wakeFollowers()
	f.publish(now)
}

// followOnce sends one request to the followed node and applies its answer. The answer may take until wait has
// passed.
func (f *Fleet) followOnce(ctx context.Context, src *source, wait time.Duration) error {
	f.mu.Lock()
	req := followRequest{After: f.state.Revision(), Seen: src.version, WaitMs: wait.Milliseconds(), Status: f.status}
	f.mu.Unlock()
	ctx, cancel := f.WhileReachable(ctx, src.name)
	defer cancel()
	answer, err := node.Call[followRequest, followAnswer](ctx, f.followClient, src.addr, pathFollow, req)
	if err != nil {
		return err
	}
	src.version = answer.Version
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if answer.AgeMs < neverConfirmedMs {
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

// handleFollow answers a follower when there is a change that it lacks, or after its wait.
func (f *Fleet) handleFollow(ctx context.Context, from node.Sender, req followRequest) (followAnswer, error) {
	f.recordStatus(from, req.Status)
	wait := min(time.Duration(req.WaitMs)*time.Millisecond, f.timing.FollowWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		f.mu.Lock()
		answer := f.answerAfter(req.After)
		changed := answer.Version != req.Seen || len(answer.Updates) > 0 || answer.Whole
		updated := f.updated
		f.mu.Unlock()
		if changed {
			return answer, nil
		}
		select {
		case <-updated:
		case <-timer.C:
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.answerAfter(req.After), nil
		case <-ctx.Done():
			return followAnswer{}, ctx.Err()
		}
	}
}

// answerAfter returns what a follower at a revision lacks. The caller holds f.mu.
func (f *Fleet) answerAfter(after uint64) followAnswer {
	now := time.Now()
	answer := followAnswer{
		Revision:    f.state.Revision(),
		Unreachable: f.state.FoundUnreachable(),
		Leaving:     f.state.Leaving(),
		Unable:      f.state.Unable(),
		Loads:       packLoads(f.domainNames(), f.state.Loads()),
		AgeMs:       neverConfirmedMs,
		Version:     f.version,
	}
	if f.isRelay {
		answer.Unreachable = append(answer.Unreachable, f.state.ReportedUnreachable()...)
	}
	if at := f.state.ConfirmedAt(); !at.IsZero() {
		answer.AgeMs = min(neverConfirmedMs, now.Sub(at).Milliseconds())
	}
	if until := f.state.DeferredUntil(); until.After(now) {
		answer.DeferMs = until.Sub(now).Milliseconds()
	}
	if after >= answer.Revision {
		return answer
	}
	if after < f.batchesFrom {
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

// pollVMs reads the list of VMs periodically while this node is a relay.
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
		f.wakeFollowers()
		f.publish(time.Now())
	}
}
