// This file defines the node's own registration in the store.

package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/edge/kvstore"
)

// memberPrefix is the prefix of the store's keys for members.
const memberPrefix = "members/"

// errNameTaken means that the record under the node's name belongs to a process at another address.
var errNameTaken = errors.New("name belongs to a node at another address")

// record is a node's entry in the store. Epoch zero stands for the revision of the entry itself, so that the
// first write of a registration gives it an epoch greater than any earlier one.
type record struct {
	membership.Node
	Nonce string `json:"nonce"`
	// Era is that of the write. If the store comes back from a copy that has the record, the record keeps its epoch.
	Era kvstore.Era `json:"era,omitempty"`
	// TakesTurns says that the node sends large values to nodes of older builds by turns, which builds up to 6404eb4 do not. It is not a field of
	// Node: such a build passes lists of nodes on without the fields that it does not know.
	TakesTurns bool `json:"takesTurns,omitempty"`
}

// RecordKey returns the store's key for the record of a node.
func RecordKey(name string) string { return memberPrefix + name }

// TakesTurns reports whether a record is of a node that sends large values to nodes of older builds by turns. It fails if the entry is not a
// record.
func TakesTurns(entry kvstore.Entry) (bool, error) {
	rec, err := decodeRecord(entry)
	return rec.TakesTurns, err
}

// registration is a record that this process wrote and the lease that it is bound to.
type registration struct {
	lease    kvstore.LeaseID
	epoch    uint64
	revision kvstore.Revision
	draining bool // as written in the record
}

// decodeRecord decodes a member's entry.
func decodeRecord(entry kvstore.Entry) (record, error) {
	var rec record
	if err := json.Unmarshal(entry.Value, &rec); err != nil {
		return record{}, fmt.Errorf("record %q: %w", entry.Key, err)
	}
	if entry.Key != memberPrefix+rec.Name {
		return record{}, fmt.Errorf("record %q names node %q", entry.Key, rec.Name)
	}
	if rec.Epoch == 0 {
		rec.Epoch = uint64(kvstore.RevisionAt(rec.Era, entry.Revision.Number()))
	}
	return rec, nil
}

// Drain marks the node as draining in its record, so that no new callers are sent to it.
func (f *Fleet) Drain() {
	f.draining.Store(true)
	select {
	case f.drainChanged <- struct{}{}:
	default:
	}
}

// Leave revokes the node's lease. The node does not register again, and Run continues without a lease until its
// context ends.
func (f *Fleet) Leave(ctx context.Context) error {
	f.mu.Lock()
	f.left = true
	lease := f.lease
	f.lease = 0
	f.state.SetLease(0, time.Time{})
	f.publish(time.Now())
	f.mu.Unlock()
	if lease == 0 {
		return nil
	}
	err := f.store.RevokeLease(ctx, lease)
	if errors.Is(err, kvstore.ErrLeaseExpired) {
		return nil
	}
	return err
}

// keepLease registers the node, and registers it again whenever its lease has expired.
func (f *Fleet) keepLease(ctx context.Context) error {
	failures := 0 // registrations in a row that failed
	for ctx.Err() == nil {
		if f.hasLeft() {
			<-ctx.Done()
			return nil
		}
		reg, err := f.register(ctx)
		if err != nil {
			event.Log(f.log, event.MemberNotRegistered, event.Fields{"node": f.self.Name, "error": err.Error()})
			if !f.awaitRegistration(ctx, f.backoff(failures)) {
				return nil
			}
			failures++
			continue
		}
		failures = 0
		event.Log(f.log, event.MemberRegistered, event.Fields{"node": f.self.Name, "epoch": reg.epoch})
		if err := f.renew(ctx, reg); err != nil {
			return err
		}
	}
	return nil
}

// awaitRegistration waits before a failed registration is tried again: until wait has passed, or for registrationDelay
// once the store answers again, whichever is earlier. It reports whether ctx has not ended.
func (f *Fleet) awaitRegistration(ctx context.Context, wait time.Duration) bool {
	deadline := time.Now().Add(wait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	case <-f.storeRegained:
		return pause.For(ctx, min(time.Until(deadline), f.registrationDelay()))
	}
}

const (
	// registrationSpread is the longest time over which nodes register when they learn at the same time that they
	// should. 330 nodes that renew, request a lease and write their record then make 495 writes a second, of the 500 that the
	// platform states; those that the store refuses for the rate are retried.
	registrationSpread = 2 * time.Second
	// registrationSpreadPerNode is that time divided by the number of nodes while it is shorter.
	registrationSpreadPerNode = 8 * time.Millisecond
)

// registrationDelay returns a random delay before a registration that all nodes make when the store answers again. It is
// short in a small fleet. A node that knows no other node assumes a large one.
func (f *Fleet) registrationDelay() time.Duration {
	spread := registrationSpread
	if n := len(f.View().Nodes); n > 1 {
		spread = min(spread, time.Duration(n)*registrationSpreadPerNode)
	}
	return pause.Between(0, spread)
}

// register registers the node under a new lease and a new epoch.
func (f *Fleet) register(ctx context.Context) (registration, error) {
	expected, err := f.claim(ctx)
	if err != nil {
		return registration{}, err
	}
	start := time.Now()
	lease, err := f.store.GrantLease(ctx, f.timing.LeaseTTL)
	if err != nil {
		return registration{}, fmt.Errorf("granting a lease: %w", err)
	}
	reg := registration{lease: lease, draining: f.draining.Load()}
	if err := f.write(ctx, &reg, expected); err != nil {
		return registration{}, err
	}
	reg.epoch = uint64(reg.revision)
	f.client.SetEpoch(reg.epoch)
	f.recordLease(reg, start, f.timing.LeaseTTL)
	return reg, nil
}

// claim returns the revision of the record that the node may replace, or zero if there is none. It fails with
// errNameTaken if the record belongs to a process at another address, which may still act under its lease. A
// process at the same address must have ended, since this process listens there.
func (f *Fleet) claim(ctx context.Context) (kvstore.Revision, error) {
	entry, err := f.readRecord(ctx)
	if errors.Is(err, kvstore.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("reading own record: %w", err)
	}
	rec, err := decodeRecord(entry)
	if err == nil && rec.Nonce != f.nonce && rec.Addr != f.self.Addr {
		return 0, fmt.Errorf("%w: %s at %s", errNameTaken, rec.Name, rec.Addr)
	}
	return entry.Revision, nil
}

// readRecord returns the node's present record in the store, or kvstore.ErrNotFound. The first time it asks the lookup, if
// there is one. An outdated answer only makes the write fail, and the next attempt reads the store.
func (f *Fleet) readRecord(ctx context.Context) (kvstore.Entry, error) {
	key := memberPrefix + f.self.Name
	if lookup := f.lookup; lookup != nil {
		f.lookup = nil
		entry, ok, err := lookup(ctx, key)
		switch {
		case err == nil && ok:
			return entry, nil
		case err == nil:
			return kvstore.Entry{}, kvstore.ErrNotFound
		}
	}
	return f.store.Get(ctx, key)
}

// write writes the record of a registration and sets the revision of reg. If the outcome of the write is unknown, it
// reads the record and compares nonce and lease.
func (f *Fleet) write(ctx context.Context, reg *registration, expected kvstore.Revision) error {
	rec := record{Node: f.self, Nonce: f.nonce, Era: f.store.Era(), TakesTurns: f.takesTurns}
	rec.Epoch = reg.epoch
	rec.Draining = reg.draining
	value, err := json.Marshal(rec)
	if err != nil {
		return fmt.Errorf("encoding own record: %w", err)
	}
	revision, err := f.store.CompareAndSwap(ctx, memberPrefix+f.self.Name, expected, value, reg.lease)
	if errors.Is(err, kvstore.ErrOutcomeUnknown) {
		revision, err = f.resolveWrite(ctx, reg, expected)
	}
	if err == nil && revision.Era() != rec.Era {
		err = fmt.Errorf("%w: the store was restored", kvstore.ErrConflict)
	}
	if err != nil {
		return fmt.Errorf("writing own record: %w", err)
	}
	reg.revision = revision
	return nil
}

// resolveWrite checks whether a write whose answer was lost took effect. It returns the write's revision, or
// kvstore.ErrConflict if the write had no effect.
func (f *Fleet) resolveWrite(ctx context.Context, reg *registration, expected kvstore.Revision) (kvstore.Revision, error) {
	entry, err := f.store.Get(ctx, memberPrefix+f.self.Name)
	if err != nil {
		return 0, err
	}
	rec, err := decodeRecord(entry)
	if err != nil {
		return 0, err
	}
	if rec.Nonce != f.nonce || entry.Lease != reg.lease || entry.Revision <= expected {
		return 0, kvstore.ErrConflict
	}
	return entry.Revision, nil
}

// recordLease records that the lease is valid until ttl after start, less LeaseMargin. The caller reads start before
// it calls the store. After Leave, recordLease does nothing.
func (f *Fleet) recordLease(reg registration, start time.Time, ttl time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.left {
		return
	}
	f.lease = reg.lease
	f.state.SetLease(reg.epoch, start.Add(ttl-f.timing.LeaseMargin))
	f.publish(time.Now())
}

// renew renews a lease until it expires or ctx ends. It returns nil or an error that wraps ErrSuperseded.
func (f *Fleet) renew(ctx context.Context, reg registration) error {
	wait := f.renewWait()
	failures := 0 // renewals in a row that failed
	for {
		timer := time.NewTimer(wait)
		var regained <-chan struct{} // nil unless the last renewal failed
		if failures > 0 {
			regained = f.storeRegained
		}
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-regained:
			timer.Stop()
			wait = min(wait, f.registrationDelay())
			continue
		case <-f.drainChanged:
			timer.Stop()
		case <-f.recordLost:
			timer.Stop()
			if f.lacksRecord() {
				f.recordExpiry(reg)
				pause.For(ctx, f.registrationDelay()) // the other nodes learn of their loss at the same time
				return nil
			}
			continue
		case <-timer.C:
		}
		if f.isSuperseded() {
			return fmt.Errorf("%w: %s", ErrSuperseded, f.self.Name)
		}
		f.writeDraining(ctx, &reg)
		start := time.Now()
		ttl, err := f.store.KeepAlive(ctx, reg.lease)
		wait = f.renewWait()
		switch {
		case err == nil:
			failures = 0
			f.recordLease(reg, start, min(ttl, f.timing.LeaseTTL))
		case errors.Is(err, kvstore.ErrLeaseExpired):
			f.recordExpiry(reg)
			return nil
		default:
			wait = f.backoff(failures)
			failures++
		}
		if reg.draining != f.draining.Load() {
			wait = min(wait, f.retryWait())
		}
	}
}

// lacksRecord reports whether the list, complete up to a later revision than that of the node's own registration, does not have
// it: the store came back from an earlier copy.
func (f *Fleet) lacksRecord() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ownRecordLost
}

// checkOwnRecord looks for the node's own registration in the list that was just applied. The caller holds f.mu.
func (f *Fleet) checkOwnRecord() {
	own := f.state.Incarnation()
	f.ownRecordLost = own.Epoch != 0 && f.state.Revision() > own.Epoch && !f.state.Has(own) && !f.state.Superseded()
	if !f.ownRecordLost {
		return
	}
	select {
	case f.recordLost <- struct{}{}:
	default:
	}
}

// writeDraining updates the draining flag in the record. After a failure, renew calls it again within the retry
// delay. If the store was restored, the record has another revision than this process wrote.
func (f *Fleet) writeDraining(ctx context.Context, reg *registration) {
	if reg.draining == f.draining.Load() {
		return
	}
	next := *reg
	next.draining = f.draining.Load()
	err := f.write(ctx, &next, reg.revision)
	switch {
	case err == nil:
		*reg = next
	case errors.Is(err, kvstore.ErrConflict):
		if entry, err := f.store.Get(ctx, memberPrefix+f.self.Name); err == nil && f.wrote(entry, reg) {
			reg.revision = entry.Revision
		}
	}
}

// wrote reports whether an entry is the node's record of a registration.
func (f *Fleet) wrote(entry kvstore.Entry, reg *registration) bool {
	rec, err := decodeRecord(entry)
	return err == nil && rec.Nonce == f.nonce && rec.Epoch == reg.epoch && entry.Lease == reg.lease
}

// recordExpiry records that the own lease has expired.
func (f *Fleet) recordExpiry(reg registration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lease = 0
	f.state.SetLease(0, time.Time{})
	f.publish(time.Now())
	event.Log(f.log, event.LeaseLapsed, event.Fields{"node": f.self.Name, "epoch": reg.epoch})
}

func (f *Fleet) hasLeft() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.left
}

func (f *Fleet) isSuperseded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Superseded()
}

// renewWait returns the delay before the next renewal. It is random so that nodes that started together do not call
// the store at the same times.
func (f *Fleet) renewWait() time.Duration {
	return f.timing.RenewInterval - rand.N(f.timing.RenewInterval/4)
}

// maxBackoffDoublings bounds backoff to four times retryWait, well below the TTL of a lease.
const maxBackoffDoublings = 2

// backoff returns the delay before a renewal that has failed, after a number of earlier failures, is retried.
func (f *Fleet) backoff(failures int) time.Duration {
	return f.retryWait() << min(failures, maxBackoffDoublings)
}

// retryWait returns the delay before a failed call is retried. It is random so that nodes do not call the store at
// the same times.
func (f *Fleet) retryWait() time.Duration {
	return pause.Between(f.timing.RetryMin, f.timing.RetryMax)
}
