// This file defines how a mirror receives changes while neither the store nor the nodes that it follows confirm its data.

package mirror

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"ebonyferry/internal/base/pause"
)

// maxSubstituteBackoff bounds how often the wait between two nodes that lack current data doubles. During an outage of the store no
// node has it, and all nodes ask each other.
const maxSubstituteBackoff = 3

// followSubstitute follows any other node that has current data, while the store does not answer this node and no source confirms the
// data. The store may refuse a part of the fleet, in which a node's sources can be by chance.
func (m *Mirror) followSubstitute(ctx context.Context) error {
	for pause.For(ctx, idleWait) {
		if m.needsSubstitute() {
			m.findSubstitute(ctx)
		}
	}
	return nil
}

// needsSubstitute reports whether neither the sources nor the store confirm the data, and no large answer is arriving.
func (m *Mirror) needsSubstitute() bool {
	if m.isReceivingBulk() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return !slices.Contains(m.confirming[:], true) && (m.storeFailing || m.revision > 0 && time.Since(m.confirmedAt) > m.timing.MaxConfirmationAge)
}

// findSubstitute asks the other nodes in random order until one has current data, and follows it. It returns when the store
// answers a call that was sent later than the first question, when a source confirms the data, or after it has asked all.
func (m *Mirror) findSubstitute(ctx context.Context) {
	start := time.Now()
	others := slices.Clone(m.peers.Others())
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	defer m.setSubstitute(netip.AddrPort{})
	for failures, addr := range others {
		wait := time.Duration(0) // the first answer shows whether the node has current data
		for m.lacksSourcesSince(start) {
			answer, confirmedAt, err := m.followOnce(ctx, addr, wait, false)
			if err != nil || answer.StoreFailing || answer.Revision.Era() < m.State().Revision.Era() || time.Since(confirmedAt) >= m.timing.MaxConfirmationAge {
				break
			}
			m.setSubstitute(addr)
			wait = m.timing.FollowWait
		}
		m.setSubstitute(netip.AddrPort{})
		if !m.lacksSourcesSince(start) || !pause.For(ctx, m.retryWait()<<min(failures/2, maxSubstituteBackoff)) {
			return
		}
	}
}

// lacksSourcesSince reports whether no source confirms the data and the store has answered no call that was sent after start.
func (m *Mirror) lacksSourcesSince(start time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !slices.Contains(m.confirming[:], true) && !m.storeAnswered.After(start)
}

func (m *Mirror) setSubstitute(addr netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.substitute = addr
}
