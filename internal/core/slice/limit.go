// This file defines how the limit follows the evidence of holders, and how a term ends.

package slice

import "time"

// applySuggestion updates the limit by a holder's suggestion. A decrease applies immediately, but not below Config.Cold.
// An increase applies when most of the current limit is wanted, at most once a second and not shortly after a decrease.
func (o *Owner) applySuggestion(limit int, now time.Time) {
	limit = min(limit, o.cfg.Full.Streams)
	switch {
	case limit <= 0 || limit == o.limit:
	case limit < o.limit:
		o.limit, o.lastChange, o.lastDecrease = max(limit, min(o.cfg.Cold, o.limit)), now, now
	case now.Sub(o.lastChange) >= increaseInterval && now.Sub(o.lastDecrease) >= decreaseHoldoff && o.inDemand():
		o.limit, o.lastChange = limit, now
	}
}

// inDemand reports whether holders want most of the limit.
func (o *Owner) inDemand() bool {
	used := 0
	for _, e := range o.entries {
		used += min(e.want.Streams, e.maxHeld.Streams)
	}
	return float64(used) >= increaseThreshold*float64(o.limit)
}

// Reduction is a grant that reduces a holder's slice without a request.
type Reduction struct {
	Process Process
	Grant   Grant
}

// Reductions returns grants for all holders that may hold more than their target. The caller sends them immediately.
func (o *Owner) Reductions(now time.Time) []Reduction {
	if !o.mayGrant(now) {
		return nil
	}
	var list []Reduction
	for proc, e := range o.entries {
		have := e.maxHeld
		amount := minAmount(have, o.target(proc, now))
		if amount == have || amount == e.granted {
			continue
		}
		e.seq++
		e.granted = amount
		list = append(list, Reduction{proc, Grant{Term: o.term, Seq: e.seq, Amount: amount, Limit: o.limit}})
	}
	return list
}

// Handover is the state that an owner passes to its successor.
type Handover struct {
	Limit       int             `json:"limit"` // in streams
	Holders     []HandoverEntry `json:"holders"`
	Pending     []Process       `json:"pending,omitempty"`
	CarriedOver Amount          `json:"brought"`
	PendingIn   time.Duration   `json:"pendingIn,omitempty"` // nanoseconds until pending slices have expired
}

// HandoverEntry is the state of one holder.
type HandoverEntry struct {
	Process   Process       `json:"process"`
	MaxHeld   Amount        `json:"high"`
	Want      Amount        `json:"want"`
	Remaining time.Duration `json:"remaining"` // nanoseconds until the holder's slice has certainly expired
}

// Release ends the term and returns the handover for the next owner. The owner grants nothing afterwards.
func (o *Owner) Release(now time.Time) Handover {
	o.stopped = true
	t := Handover{Limit: o.limit, CarriedOver: o.carriedOver}
	if len(o.pending) > 0 {
		t.Pending = o.Pending()
		t.PendingIn = max(0, o.pendingExpiry.Sub(now))
	}
	for _, proc := range o.Holders() {
		if e := o.entries[proc]; e != nil {
			t.Holders = append(t.Holders, HandoverEntry{proc, e.maxHeld, e.want, max(0, e.expiry.Sub(now))})
		}
	}
	return t
}

// Stop ends the term without a handover.
func (o *Owner) Stop() { o.stopped = true }

// Inherit applies the handover of the previous owner, received at now. Afterwards only the processes that were pending
// for the previous owner are pending.
func (o *Owner) Inherit(t Handover, now time.Time) {
	clear(o.pending)
	for _, proc := range t.Pending {
		o.pending[proc] = true
	}
	o.carriedOver, o.pendingExpiry = t.CarriedOver, now.Add(t.PendingIn+o.cfg.Timing.Margin)
	o.limit, o.lastChange = min(t.Limit, o.cfg.Full.Streams), now
	for _, h := range t.Holders {
		o.entries[h.Process] = &entry{
			granted: h.MaxHeld, maxHeld: h.MaxHeld, want: h.Want, lastRequest: now,
			expiry: now.Add(h.Remaining + o.cfg.Timing.Margin),
		}
	}
}
