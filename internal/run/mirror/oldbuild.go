// This file defines how a mirror exchanges large values with nodes of builds up to 6404eb4. They send values with the changes, do not request
// them apart, and give an answer up that has not arrived in full oldLimit after its request. Then they request it again, and so do they
// from the store. So a node withholds a large change until its turn, when no other copy should be on the link of the old one, and sends the
// small changes behind it ahead.

package mirror

import (
	"errors"
	"net/netip"
	"slices"
	"time"

	"ebonyferry/internal/edge/kvstore"
)

const (
	// oldLimit is how long after its request an old follower gives an answer up.
	oldLimit = 1700 * time.Millisecond
	// maxHeldBefore is how long a request may have been held when its answer is sent that fills oldLimit.
	maxHeldBefore = 100 * time.Millisecond
	// oldLimitBytes is the size of values from which an answer fills oldLimit: two of them take a third of it on a link of 10 Mbit/s.
	oldLimitBytes = 256 << 10
	// sharedLinkBytes is the size of values of which two copies at a time still arrive within oldLimit on a link of 10 Mbit/s.
	sharedLinkBytes = 512 << 10
	// storeTurns is how many turns it is from one node to the next, so that one attempt of the store begins and ends between them.
	storeTurns = 3
	// substituteHold is how long a node holds a request of an old node that does not follow it. Meanwhile the old node asks no other one for
	// a further copy.
	substituteHold = 1200 * time.Millisecond
)

// valueBytes returns the size of the values of an answer's changes.
func valueBytes(answer followAnswer) int {
	bytes := 0
	for _, c := range answer.Changes {
		bytes += len(c.Value)
	}
	return bytes
}

// Follower is what a node knows of another one that requests changes from it.
type Follower struct {
	Index   int  // position of this node among the nodes that it follows
	Sources int  // how many nodes it follows; 0 if it is not known to follow this one
	Older   bool // another one of them is of a build that does not send large values by turns
	Serves  bool // other nodes follow it
}

// follower returns what is known of the node with a name.
func (m *Mirror) follower(name string) Follower {
	if m.peers == nil {
		return Follower{}
	}
	return m.peers.Follower(name)
}

// withhold replaces an answer to an old follower by one without large changes, unless the follower can receive them in this answer. It returns
// how long the answer can wait for changes, 0 if it must be sent at once, and how long the request is held although its sender does not wait.
func (m *Mirror) withhold(answer *followAnswer, follower string, req followRequest, received time.Time) (wait, hold time.Duration, withheld bool) {
	bytes := valueBytes(*answer)
	if bytes <= oldLimitBytes {
		m.addPending(answer, follower, req)
		return 0, 0, false
	}
	f := m.follower(follower)
	wait = m.untilTurn(f, req.After, bytes)
	if wait == 0 && time.Since(received) <= maxHeldBefore {
		return 0, 0, false
	}
	switch {
	case m.learntAfter(req.After).After(received):
		wait = 0 // a fresh confirmation of the state before the change keeps the follower from reading the store meanwhile
	case f.Sources == 0:
		hold = substituteHold
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	*answer = m.partialAnswer(follower, f, req, received)
	return wait, hold, true
}

// addPending adds the small changes behind a value that this node does not hold yet to an answer to an old follower that lacks nothing else.
func (m *Mirror) addPending(answer *followAnswer, follower string, req followRequest) {
	m.mu.Lock()
	waits := len(m.pending) > 0 && !answer.Whole && len(answer.Changes) == 0 && answer.Revision == req.After
	if !waits {
		delete(m.sentAhead, follower)
	}
	m.mu.Unlock()
	if !waits {
		return
	}
	if f := m.follower(follower); f.servedAhead() {
		m.mu.Lock()
		defer m.mu.Unlock()
		answer.Changes = m.changesAhead(follower, req)
	}
}

// servedAhead reports whether small changes are sent to the follower ahead of large ones. It is not so if others follow it: it would answer them
// with the same changes again and again.
func (f Follower) servedAhead() bool { return f.Sources > 0 && !f.Serves }

// partialAnswer returns an answer to an old follower without the large changes that it lacks. It confirms the follower's revision as of the
// last time at which the store is known to have had it. The caller holds mu.
func (m *Mirror) partialAnswer(follower string, f Follower, req followRequest, received time.Time) followAnswer {
	confirmedAt := received.Add(-m.timing.MaxConfirmationAge)
	if i := m.firstChangeAfter(req.After); i < len(m.changes) && m.changes[i].precededBy.After(confirmedAt) {
		confirmedAt = m.changes[i].precededBy
	}
	now := time.Now()
	answer := followAnswer{
		Revision: req.After, AgeMs: now.Sub(confirmedAt).Milliseconds(), HeldMs: now.Sub(received).Milliseconds(), StoreFailing: m.lacksStore(),
	}
	if f.servedAhead() {
		answer.Changes = m.changesAhead(follower, req)
	}
	return answer
}

// maxAheadBytes bounds the changes of one answer that are sent ahead of larger ones. To 17 followers on one link of 10 Mbit/s they take 0.2 s.
const maxAheadBytes = 16 << 10

// sentAhead is what a follower has been sent ahead of a large change.
type sentAhead struct {
	after kvstore.Revision // revision of the follower
	upTo  kvstore.Revision // of the small changes after it that were sent
}

// changesAhead returns the small changes that an old follower lacks and was not sent yet, so that notices do not wait behind a large value. The
// follower applies them, keeps its revision, and gets them once more with the large change. The caller holds mu.
func (m *Mirror) changesAhead(follower string, req followRequest) []kvstore.Change {
	changes, whole := m.changesAfter(req.After, m.revision)
	if whole || req.After.Era() != m.revision.Era() {
		return nil
	}
	sent := m.sentAhead[follower]
	if sent.after != req.After || req.WaitMs == 0 { // its last request may have failed
		sent = sentAhead{req.After, req.After}
	}
	changes = slices.DeleteFunc(changes, func(c keyChange) bool {
		_, large := m.refOf(c.key)
		return c.revision <= sent.upTo || large && !c.deleted
	})
	ahead := m.heldChanges(changes)
	bytes := 0
	for i, c := range ahead {
		if bytes += len(c.Key) + len(c.Value); bytes > maxAheadBytes && i > 0 {
			ahead = ahead[:i]
			break
		}
		sent.upTo = c.Revision
	}
	m.sentAhead[follower] = sent
	return ahead
}

// untilTurn returns how long it is until this node may send an old follower large changes after a revision. Two copies at a time on a slow link
// take twice as long, and neither would arrive. So the nodes that it follows take turns. If two copies do not fit its limit, the link is the
// store's between their turns: the follower also watches the store once its last confirmation is MaxConfirmationAge old, again and
// again. A node that it does not follow comes last. A source of an older build sends at once and again as soon as the follower has given up, so it
// is left alone, for two attempts if two copies fit.
func (m *Mirror) untilTurn(f Follower, after kvstore.Revision, bytes int) time.Duration {
	since := time.Since(m.learntAfter(after))
	mine, turns := f.Index, f.Sources
	switch {
	case bytes > sharedLinkBytes && f.Older:
		return oldLimit // longer than any request is held
	case bytes > sharedLinkBytes && f.Sources == 0:
		mine, turns = MaxSources*storeTurns, (MaxSources+1)*storeTurns
	case f.Older:
		return max(0, 2*oldLimit-since)
	case bytes > sharedLinkBytes && f.Sources > 1:
		mine, turns = f.Index*storeTurns, (MaxSources+1)*storeTurns
	case f.Sources < 2:
		return 0
	}
	turn := int(since / oldLimit)
	begins := time.Duration(turn+(mine-turn%turns+turns)%turns) * oldLimit // of the present or next turn of this node
	return max(0, begins-since)
}

// learntAfter returns when this node learnt of the first change after a revision.
func (m *Mirror) learntAfter(after kvstore.Revision) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if i := m.firstChangeAfter(after); i < len(m.changes) {
		return m.changes[i].at
	}
	return time.Now()
}

// errSecondCopy means that another followed node is sending, or has sent, the values of a large answer.
var errSecondCopy = errors.New("another followed node sends the values of this answer")

const (
	// bulkBytes is the size from which an answer is large. Two of them take 0.2 s on a link of 10 Mbit/s.
	bulkBytes = 128 << 10
	// bulkStall is the time within which bulkBytes more of a large answer must arrive. Otherwise other nodes and the store are asked beside it.
	bulkStall = 500 * time.Millisecond
)

// bulkAnswer is the large answer of a node that this one follows.
type bulkAnswer struct {
	from  netip.AddrPort // not valid if there is none
	bytes int            // that had arrived at at; a multiple of bulkBytes
	at    time.Time
}

// progresses reports whether the answer arrives quickly enough to wait for it.
func (b bulkAnswer) progresses() bool { return b.from.IsValid() && time.Since(b.at) < bulkStall }

// checkBulk returns a function for node.WithCheck, for an answer with the changes after a revision. It lets one large answer arrive at a time: a
// second copy on the same link would delay what comes after both. The first answer that reaches bulkBytes goes on while the mirror lacks
// one of its changes or values.
func (m *Mirror) checkBulk(from netip.AddrPort, after kvstore.Revision) func(bytes int) error {
	return func(bytes int) error {
		if bytes < bulkBytes {
			return nil
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		switch {
		case m.revision > after && len(m.pending) == 0:
			return errSecondCopy
		case m.bulk.from == from:
			if bytes < m.bulk.bytes+bulkBytes {
				return nil
			}
		case m.bulk.progresses():
			return errSecondCopy
		}
		m.bulk = bulkAnswer{from, bytes - bytes%bulkBytes, time.Now()}
		return nil
	}
}

// endBulk records that the answer of a node has arrived or failed.
func (m *Mirror) endBulk(from netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.bulk.from == from {
		m.bulk = bulkAnswer{}
	}
}

// isReceivingBulk reports whether a followed node is sending a large answer quickly enough to wait for it.
func (m *Mirror) isReceivingBulk() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bulk.progresses()
}
