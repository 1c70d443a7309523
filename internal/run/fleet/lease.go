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

// This file defines the node's own registration in the store.

// memberPrefix is where the store keeps the members.
const memberPrefix = "members/"

// errNameTaken means that the record under the node's name belongs to a process at another address.
var errNameTaken = errors.New("name belongs to a node at another address")

// record is what a node keeps in the store. Epoch zero stands for the revision of the entry itself, so that
// the first write of a registration gives it an epoch greater than any before.
type record struct {
	membership.Node
	Nonce string `json:"nonce"`
}

// registration is a record that this process wrote, with the lease it hangs on.
type registration struct {
	lease    kvstore.LeaseID
	epoch    uint64
	revision kvstore.Revision
	draining bool // as written
}

// Reads the node out of an entry of the store.
func decodeRecord(entry kvstore.Entry) (record, error) {
	var rec record
	if err := json.Unmarshal(entry.Value, &rec); err != nil {
		return record{}, fmt.Errorf("record %q: %w", entry.Key, err)
	}
	if entry.Key != memberPrefix+rec.Name {
		return record{}, fmt.Errorf("record %q names node %q", entry.Key, rec.Name)
	}
	if rec.Epoch == 0 {
		rec.Epoch = uint64(entry.Revision)
	}
	return rec, nil
}

// Drain marks the node as draining in its record, so that no caller is sent to it.
func (f *Fleet) Drain() {
	f.draining.Store(true)
	select {
	case f.drain <- struct{}{}:
	default:
	}
}

// Leave gives up the node's lease for good. Run goes on without it until its context ends.
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
	if errors.Is(err, kvstore.ErrLeaseLapsed) {
		return nil
	}
	return err
}

// Registers the node again and again, whenever its lease has lapsed.
func (f *Fleet) keepLease(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.hasLeft() {
			<-ctx.Done()
			return nil
		}
		reg, err := f.register(ctx)
		if err != nil {
			event.Log(f.log, event.MemberNotRegistered, event.Fields{"node": f.self.Name, "error": err.Error()})
			if !pause.For(ctx, f.retryWait()) {
				return nil
			}
			continue
		}
		event.Log(f.log, event.MemberRegistered, event.Fields{"node": f.self.Name, "epoch": reg.epoch})
		if err := f.renew(ctx, reg); err != nil {
			return err
		}
	}
	return nil
}

// Registers the node under a new lease and gives it a new epoch.
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
	f.hold(reg, start, f.timing.LeaseTTL)
	return reg, nil
}

// Returns the revision of the record that the node may replace. A process at another address may still act
// under its lease, so that one is waited for; at the same address it must have ended, since this process
// listens there.
func (f *Fleet) claim(ctx context.Context) (kvstore.Revision, error) {
	entry, err := f.store.Get(ctx, memberPrefix+f.self.Name)
	if errors.Is(err, kvstore.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("reading the own record: %w", err)
	}
	rec, err := decodeRecord(entry)
	if err == nil && rec.Nonce != f.nonce && rec.Addr != f.self.Addr {
		return 0, fmt.Errorf("%w: %s at %s", errNameTaken, rec.Name, rec.Addr)
	}
	return entry.Revision, nil
}

// Writes the record of a registration and sets its revision. An answer that was lost is settled by reading
// the record for the own nonce and lease.
func (f *Fleet) write(ctx context.Context, reg *registration, expected kvstore.Revision) error {
	rec := record{Node: f.self, Nonce: f.nonce}
	rec.Epoch = reg.epoch
	rec.Draining = reg.draining
	value, err := json.Marshal(rec)
	if err != nil {
		return fmt.Errorf("encoding the own record: %w", err)
	}
	revision, err := f.store.CompareAndSwap(ctx, memberPrefix+f.self.Name, expected, value, reg.lease)
	if errors.Is(err, kvstore.ErrOutcomeUnknown) {
		revision, err = f.settle(ctx, reg, expected)
	}
	if err != nil {
		return fmt.Errorf("writing the own record: %w", err)
	}
	reg.revision = revision
	return nil
}

// Finds out whether a write whose answer was lost took effect, and returns its revision.
func (f *Fleet) settle(ctx context.Context, reg *registration, expected kvstore.Revision) (kvstore.Revision, error) {
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

// Notes that the lease surely holds for ttl less the margin from start, which was taken before the call.
func (f *Fleet) hold(reg registration, start time.Time, ttl time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.left {
		return
	}
	f.lease = reg.lease
	f.state.SetLease(reg.epoch, start.Add(ttl-f.timing.LeaseMargin))
	f.publish(time.Now())
}

// Renews a lease until it lapses or ctx ends. The error is ErrSuperseded or nil.
func (f *Fleet) renew(ctx context.Context, reg registration) error {
	wait := f.renewWait()
	for {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-f.drain:
			timer.Stop()
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
			f.hold(reg, start, min(ttl, f.timing.LeaseTTL))
		case errors.Is(err, kvstore.ErrLeaseLapsed):
			f.lapse(reg)
			return nil
		default:
			wait = f.retryWait()
		}
		if reg.draining != f.draining.Load() {
			wait = min(wait, f.retryWait())
		}
	}
}

// Brings the mark in the record up to date. A failure is tried again after the next renewal.
func (f *Fleet) writeDraining(ctx context.Context, reg *registration) {
	if reg.draining == f.draining.Load() {
		return
	}
	next := *reg
	next.draining = f.draining.Load()
	if err := f.write(ctx, &next, reg.revision); err == nil {
		*reg = next
	}
}

// Notes that the own lease has lapsed.
func (f *Fleet) lapse(reg registration) {
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

// Returns the time to the next renewal, spread so that nodes which started together do not call in step.
func (f *Fleet) renewWait() time.Duration {
	return f.timing.RenewInterval - rand.N(f.timing.RenewInterval/4)
}

// Returns a wait before a failed call is tried again, spread so that nodes do not call in step.
func (f *Fleet) retryWait() time.Duration {
	return pause.Between(f.timing.RetryMin, f.timing.RetryMax)
}
