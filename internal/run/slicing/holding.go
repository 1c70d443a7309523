package slicing

import (
	"math"
	"time"

	"ebonyferry/internal/core/slice"
)

// This file defines this node's part in one server.

const riseFactor = 1.25 // growth of the limit by one suggestion

// holding is this node's slice of one server and what it knows of the server.
type holding struct {
	slice.Holder
	want     slice.Amount
	asked    time.Time // of the last request that was answered
	followed time.Time // of the last promise to refuse earlier terms
	waiting  bool      // the last answer did not give more, though more was wanted
	owner    string    // node that answered it, or that another node named; empty: by the view
	fraction float64   // last evidence; zero for none
	stale    bool      // the owner's limit fell below the evidence, which says nothing until it has fallen too
	fallen   int       // suggested after a fall of the evidence and not yet told to the owner; zero for none
	ceiling  int       // own bound after a fall of the evidence, until the owner has answered; zero for none
}

// Takes evidence and reports whether it fell.
func (h *holding) observe(fraction float64, full int) bool {
	fell := fraction < h.fraction
	h.fraction = fraction
	streams := h.evident(full)
	if streams <= h.Limit {
		h.stale = false
	}
	if fell && (h.Limit == 0 || streams < h.Limit) {
		h.fallen, h.ceiling = streams, streams
		return true
	}
	return false
}

// Returns the streams of the whole server that the evidence speaks for.
func (h *holding) evident(full int) int {
	return max(1, int(math.Ceil(h.fraction*float64(full)-1e-9)))
}

// Returns the limit to suggest to the owner: a lower one at once, a higher one step by step.
func (h *holding) suggestion(full int) int {
	if h.fallen > 0 {
		return h.fallen
	}
	if h.Limit == 0 || h.stale || h.fraction == 0 {
		return 0
	}
	if streams := h.evident(full); streams > h.Limit {
		return min(streams, max(h.Limit+1, int(riseFactor*float64(h.Limit))))
	}
	return 0
}

// Returns the slice under the node's own bound.
func (h *holding) limited() slice.Holder {
	limited := h.Holder
	if h.ceiling > 0 {
		limited.Amount.Streams = min(limited.Amount.Streams, h.ceiling)
	}
	return limited
}

// Reports whether the node has no slice though it wants one, or has never had one.
func (h *holding) starved(now time.Time) bool {
	return h.Expiry.IsZero() || h.want.Streams > 0 && h.Usable(now).Streams == 0
}

// Reports whether the owner is to be asked at now: at once when the slice has run out or evidence has fallen,
// each round while a slice that is too small grows, seldom otherwise.
func (h *holding) due(now time.Time, full int, round, idleRound time.Duration) bool {
	have, since := h.Usable(now), now.Sub(h.asked)
	switch {
	case h.fallen > 0, h.Expiry.IsZero():
		return true
	case h.starved(now):
		return since >= round/2
	case h.suggestion(full) > 0, h.want.Streams > have.Streams && !h.waiting:
		return since >= round/2
	case h.want.Streams > have.Streams:
		return since >= 2*round
	}
	return since >= idleRound
}

// Takes the owner's answer to a request made at asked that carried the suggestion told.
func (h *holding) answered(g slice.Grant, asked time.Time, told, full int, timing slice.Timing) {
	before, limit := h.Usable(asked).Streams, h.Limit
	if !h.Accept(g, asked, timing) {
		return
	}
	h.asked = asked
	h.waiting = g.Amount.Streams <= before
	if h.fallen == told {
		h.fallen, h.ceiling = 0, 0
	}
	h.noteLimit(limit, full)
}

// Notes that the limit has become another than before.
func (h *holding) noteLimit(before, full int) {
	if h.Limit < before && h.fraction > 0 && h.evident(full) > h.Limit {
		h.stale = true
	}
}
