package ledger

import (
	"context"
	"errors"
	"time"

	"ebonyferry/internal/core/ledger"
	"ebonyferry/internal/edge/caller"
	"ebonyferry/internal/edge/kvstore"
)

// This file defines how answers are kept. Small bodies stand in the record. Larger ones have a store key of
// their own, which hangs on a lease that outlasts the retention, so nothing needs to delete them.

const (
	maxRecordBody = 2 << 10         // largest body kept in a record
	keepTimeout   = 5 * time.Second // bound of writing a large body
	leaseMargin   = time.Minute     // by which the lease of a body outlasts its record
)

// bodies holds the lease on which large bodies hang.
type bodies struct {
	io      chan struct{}   // holds one token while the lease is read or granted
	lease   kvstore.LeaseID // guarded by io
	granted time.Time       // guarded by io
}

// Returns a lease that outlasts the retention of a record made now.
func (m *Manager) bodyLease(ctx context.Context) (kvstore.LeaseID, error) {
	select {
	case m.bodies.io <- struct{}{}:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	defer func() { <-m.bodies.io }()
	if m.bodies.lease != 0 && time.Since(m.bodies.granted) < m.limits.Retention {
		return m.bodies.lease, nil
	}
	before := time.Now()
	lease, err := m.store.GrantLease(ctx, 2*m.limits.Retention+leaseMargin)
	if err != nil {
		return 0, err
	}
	m.bodies.lease, m.bodies.granted = lease, before
	return lease, nil
}

// Returns the form in which an answer is kept. A large body that the store does not take is not kept: its key
// then leads nowhere, and a repeated call learns that the call ran and its answer is lost.
func (p *partition) keep(ctx context.Context, run string, answer caller.ServiceAnswer) *ledger.Answer {
	kept := &ledger.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
	if len(answer.Body) <= maxRecordBody {
		return kept
	}
	kept.Body, kept.BodyKey = nil, ledger.BodyKey(p.number, run)
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	if errors.Is(p.writeBody(ctx, kept.BodyKey, answer.Body), kvstore.ErrLeaseLapsed) {
		_ = p.writeBody(ctx, kept.BodyKey, answer.Body) // see above
	}
	return kept
}

// Writes the body of an answer. A lease that has lapsed early is not used again.
func (p *partition) writeBody(ctx context.Context, key string, body []byte) error {
	lease, err := p.m.bodyLease(ctx)
	if err != nil {
		return err
	}
	err = p.create(ctx, key, body, lease)
	if errors.Is(err, kvstore.ErrLeaseLapsed) {
		p.m.forgetBodyLease(ctx, lease)
	}
	return err
}

func (m *Manager) forgetBodyLease(ctx context.Context, lease kvstore.LeaseID) {
	select {
	case m.bodies.io <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-m.bodies.io }()
	if m.bodies.lease == lease {
		m.bodies.lease = 0
	}
}
