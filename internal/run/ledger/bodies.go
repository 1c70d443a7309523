// This file defines how answers are stored. Small bodies are part of the record. Each larger body has a store key
// with a lease that outlasts the retention, so nothing needs to delete it.

package ledger

import (
	"context"
	"errors"
	"time"

	"ebonyferry/internal/core/ledger"
	"ebonyferry/internal/edge/caller"
	"ebonyferry/internal/edge/kvstore"
)

const (
	maxRecordBody = 2 << 10         // largest body stored in a record
	bodyTimeout   = 5 * time.Second // timeout for writing a large body
	leaseMargin   = time.Minute     // minimum time by which the lease of a body outlasts its record
)

// leaseCache holds the lease of large bodies.
type leaseCache struct {
	lock      chan struct{}   // contains a token while the lease is read or changed
	lease     kvstore.LeaseID // guarded by lock
	grantedAt time.Time       // guarded by lock
}

// bodyLease returns a lease that outlasts the retention of a record created now.
func (m *Manager) bodyLease(ctx context.Context) (kvstore.LeaseID, error) {
	select {
	case m.bodyLeases.lock <- struct{}{}:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	defer func() { <-m.bodyLeases.lock }()
	if m.bodyLeases.lease != 0 && time.Since(m.bodyLeases.grantedAt) < m.limits.Retention {
		return m.bodyLeases.lease, nil
	}
	before := time.Now()
	lease, err := m.store.GrantLease(ctx, 2*m.limits.Retention+leaseMargin)
	if err != nil {
		return 0, err
	}
	m.bodyLeases.lease, m.bodyLeases.grantedAt = lease, before
	return lease, nil
}

// storedAnswer returns the form of an answer in a record. It first writes a large body to the store, to which BodyKey
// then refers. If the store does not accept the body, BodyKey refers to nothing, and a repeated call gets errBodyLost.
func (p *partition) storedAnswer(ctx context.Context, runID string, answer caller.ServiceAnswer) *ledger.Answer {
	stored := &ledger.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
	if len(answer.Body) <= maxRecordBody {
		return stored
	}
	stored.Body, stored.BodyKey = nil, ledger.BodyKey(p.number, runID)
	ctx, cancel := context.WithTimeout(ctx, bodyTimeout)
	defer cancel()
	if errors.Is(p.writeBody(ctx, stored.BodyKey, answer.Body), kvstore.ErrLeaseExpired) {
		_ = p.writeBody(ctx, stored.BodyKey, answer.Body) // if this fails, repeated calls get errBodyLost
	}
	return stored
}

// writeBody writes the body of an answer. If the lease has expired early, writeBody fails and discards the lease, so
// that the next call gets a new one.
func (p *partition) writeBody(ctx context.Context, key string, body []byte) error {
	lease, err := p.m.bodyLease(ctx)
	if err != nil {
		return err
	}
	err = p.create(ctx, key, body, lease)
	if errors.Is(err, kvstore.ErrLeaseExpired) {
		p.m.discardBodyLease(ctx, lease)
	}
	return err
}

func (m *Manager) discardBodyLease(ctx context.Context, lease kvstore.LeaseID) {
	select {
	case m.bodyLeases.lock <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-m.bodyLeases.lock }()
	if m.bodyLeases.lease == lease {
		m.bodyLeases.lease = 0
	}
}
