// Package truetime estimates true time on a node whose wall clock may jump by seconds and back, so that the windows of all nodes agree.
//
// Its load pattern: one node's wall clock is stepped while those of the others are right, or a node starts with a wrong one. The clock goes on
// by the monotonic clock through a jump, and follows the other nodes if most of them agree on another time. A VM that was suspended has a
// monotonic clock that stood still and a wall clock that is right, which looks like a jump until the other nodes say so.
package truetime

import (
	"slices"
	"time"
)

const (
	// maxSlew is the largest change of the wall clock between two readings that is followed. A time service corrects a clock by less, and
	// windows of nodes need to agree within about 100 ms.
	maxSlew = 100 * time.Millisecond
	// minOffset is the least offset to the other nodes that is corrected. Messages take tens of milliseconds.
	minOffset = 150 * time.Millisecond
	// voteAge is how long the offset of another node counts. Nodes send every 1.5 s or more often, or once in a window of 5 s.
	voteAge = 6 * time.Second
	// minVotes is the least number of other nodes that must agree.
	minVotes = 2
)

// Reading is one reading of a node's clocks.
type Reading struct {
	Wall time.Time     // without a monotonic reading
	Mono time.Duration // since any fixed time
}

// Clock estimates true time. It is not safe for concurrent use.
type Clock struct {
	last       Reading
	correction time.Duration // true time is the wall clock's time plus it
	votes      map[string]vote
}

// vote is the offset of another node's estimate to this one's.
type vote struct {
	offset time.Duration
	at     time.Duration // monotonic
}

// New returns a clock that trusts the wall clock at its first reading.
func New(r Reading) *Clock { return &Clock{last: r, votes: make(map[string]vote)} }

// Now returns true time at a reading, and by how much the wall clock jumped since the last one, or 0 if it did not.
func (c *Clock) Now(r Reading) (now time.Time, jump time.Duration) {
	jump = r.Wall.Sub(c.last.Wall) - (r.Mono - c.last.Mono)
	c.last = r
	if jump.Abs() <= maxSlew {
		return r.Wall.Add(c.correction), 0
	}
	c.correction -= jump
	return r.Wall.Add(c.correction), jump
}

// Observe records how far the estimate of another node is ahead of this one's, and returns by how much this node's estimate was corrected
// because most of the other nodes agree on another time.
func (c *Clock) Observe(peer string, offset time.Duration) time.Duration {
	now := c.last.Mono
	c.votes[peer] = vote{offset, now}
	var offsets []time.Duration
	for name, v := range c.votes {
		if now-v.at > voteAge {
			delete(c.votes, name)
			continue
		}
		offsets = append(offsets, v.offset)
	}
	if len(offsets) < minVotes {
		return 0
	}
	slices.Sort(offsets)
	median := offsets[(len(offsets)-1)/2]
	agree := 0
	for _, o := range offsets {
		if (o - median).Abs() <= minOffset {
			agree++
		}
	}
	if median.Abs() <= minOffset || 2*agree <= len(offsets) {
		return 0
	}
	c.correction += median
	clear(c.votes) // they were relative to the earlier estimate
	return median
}
