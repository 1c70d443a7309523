// This file defines this node's slice of one server.

package slicing

import (
	"math"
	"time"

	"ebonyferry/internal/core/slice"
)

const increaseFactor = 1.25 // maximum growth of the limit by one suggestion

// holding is this node's slice of one server, with its demand and its evidence about the server.
type holding struct {
	slice.Holder
	want               slice.Amount
	requestedAt        time.Time // when the last request that was answered was sent
	followedAt         time.Time // when the node last promised to refuse earlier terms
	notGrowing         bool      // the last grant was not larger than the slice before it
	owner              string    // node that sent the last grant, or that another node named as owner; empty: use the view
	evidence           float64   // last observed fraction of the full limit; zero for none
	evidenceStale      bool      // the limit decreased below the evidence, which is ignored until it has decreased too
	unreportedDecrease int       // limit to suggest after a decrease of the evidence, not yet received by the owner; or zero
	localLimit         int       // this node's own limit after a decrease of the evidence, until the owner has answered; or zero
}

// observe records evidence and reports whether it decreased below the limit.
func (h *holding) observe(fraction float64, full int) bool {
	decreased := fraction < h.evidence
	h.evidence = fraction
	streams := h.evidenceStreams(full)
	if streams <= h.Limit {
		h.evidenceStale = false
	}
	if decreased && (h.Limit == 0 || streams < h.Limit) {
		h.unreportedDecrease, h.localLimit = streams, streams
		return true
	}
	return false
}

// evidenceStreams returns the limit of the whole server, in streams, that the evidence suggests.
func (h *holding) evidenceStreams(full int) int {
	return max(1, int(math.Ceil(h.evidence*float64(full)-1e-9)))
}

// suggestedLimit returns the limit to suggest to the owner: a lower one immediately, a higher one in steps. It returns 0
// if there is nothing to suggest.
func (h *holding) suggestedLimit(full int) int {
	if h.unreportedDecrease > 0 {
		return h.unreportedDecrease
	}
	if h.Limit == 0 || h.evidenceStale || h.evidence == 0 {
		return 0
	}
	if streams := h.evidenceStreams(full); streams > h.Limit {
		return min(streams, max(h.Limit+1, int(increaseFactor*float64(h.Limit))))
	}
	return 0
}

// withLocalLimit returns the slice, bounded by the node's own limit.
func (h *holding) withLocalLimit() slice.Holder {
	limited := h.Holder
	if h.localLimit > 0 {
		limited.Amount.Streams = min(limited.Amount.Streams, h.localLimit)
	}
	return limited
}

// starved reports whether the node has no slice though it wants one, or has never had one.
func (h *holding) starved(now time.Time) bool {
	return h.Expiry.IsZero() || h.want.Streams > 0 && h.Usable(now).Streams == 0
}

// due reports whether a request to the owner is due at now. It is due immediately if the node never had a slice or the
// evidence has decreased. It is due in each round if the slice has expired, there is a limit to suggest, or the slice is
// too small and still growing, and every second round if it is too small but did not grow. Otherwise it is due after
// idleRound.
func (h *holding) due(now time.Time, full int, round, idleRound time.Duration) bool {
	have, since := h.Usable(now), now.Sub(h.requestedAt)
	switch {
	case h.unreportedDecrease > 0, h.Expiry.IsZero():
		return true
	case h.starved(now):
		return since >= round/2
	case h.suggestedLimit(full) > 0, h.want.Streams > have.Streams && !h.notGrowing:
		return since >= round/2
	case h.want.Streams > have.Streams:
		return since >= 2*round
	}
	return since >= idleRound
}

// handleGrant handles the owner's answer to a request that was sent at sentAt and suggested the given limit, or 0 if it
// suggested none.
func (h *holding) handleGrant(g slice.Grant, sentAt time.Time, suggested, full int, timing slice.Timing) {
	before, limit := h.Usable(sentAt).Streams, h.Limit
	if !h.Accept(g, sentAt, timing) {
		return
	}
	h.requestedAt = sentAt
	h.notGrowing = g.Amount.Streams <= before
	if h.unreportedDecrease == suggested {
		h.unreportedDecrease, h.localLimit = 0, 0
	}
	h.noteLimitChange(limit, full)
}

// noteLimitChange marks the evidence as stale if the limit has decreased from before to below the evidence.
func (h *holding) noteLimitChange(before, full int) {
	if h.Limit < before && h.evidence > 0 && h.evidenceStreams(full) > h.Limit {
		h.evidenceStale = true
	}
}
