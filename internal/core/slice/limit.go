package slice

import "time"

// This file defines how the limit follows evidence, and how a term ends.

// Takes a holder's suggestion for the limit. A lower one counts at once. A higher one counts when most of the
// present limit is wanted, at most once a second and not right after a fall.
func (o *Owner) suggest(limit int, now time.Time) {
	limit = min(limit, o.cfg.Full.Streams)
	switch {
	case limit <= 0 || limit == o.limit:
	case limit < o.limit:
		o.limit, o.changed, o.fallen = max(limit, min(o.cfg.Cold, o.limit)), now, now
	case now.Sub(o.changed) >= riseInterval && now.Sub(o.fallen) >= fallHoldoff && o.wellUsed():
		o.limit, o.changed = limit, now
	}
}

// Reports whether the users want most of the limit.
func (o *Owner) wellUsed() bool {
	used := 0
	for _, e := range o.entries {
		used += min(e.want.Streams, e.high.Streams)
	}
	return float64(used) >= usedShare*float64(o.limit)
}

// Push is a grant that a holder has not asked for.
type Reduction struct {
	Process Process
	Grant   Grant
}

// Reductions returns grants for all holders that may have more than their part, to be sent at once.
func (o *Owner) Reductions(now time.Time) []Reduction {
	if !o.mayGrant(now) {
		return nil
	}
	var list []Reduction
	for proc, e := range o.entries {
		have := e.high
		amount := smaller(have, o.target(proc, now))
		if amount == have || amount == e.granted {
			continue
		}
		e.seq++
		e.granted = amount
		list = append(list, Reduction{proc, Grant{Term: o.term, Seq: e.seq, Amount: amount, Limit: o.limit}})
	}
	return list
}

// Table is what an owner tells its successor.
type Handover struct {
	Limit       int             `json:"limit"`
	Holders     []HandoverEntry `json:"holders"`
	Pending     []Process       `json:"pending,omitempty"`
	CarriedOver Amount          `json:"brought"`
	PendingIn   time.Duration   `json:"pendingIn,omitempty"` // nanoseconds until pending slices have expired
}

// TableEntry is what one holder may have.
type HandoverEntry struct {
	Process   Process       `json:"process"`
	MaxHeld   Amount        `json:"high"`
	Want      Amount        `json:"want"`
	Remaining time.Duration `json:"remaining"` // nanoseconds until the holder surely uses nothing
}

// Release ends the term and returns what the next owner must count. The owner grants nothing afterwards.
func (o *Owner) Release(now time.Time) Handover {
	o.stopped = true
	t := Handover{Limit: o.limit, CarriedOver: o.brought}
	if len(o.pending) > 0 {
		t.Pending = o.Pending()
		t.PendingIn = max(0, o.pendingTo.Sub(now))
	}
	for _, proc := range o.Holders() {
		if e := o.entries[proc]; e != nil {
			t.Holders = append(t.Holders, HandoverEntry{proc, e.high, e.want, max(0, e.until.Sub(now))})
		}
	}
	return t
}

// Stop ends the term without a successor in sight.
func (o *Owner) Stop() { o.stopped = true }

// Inherit takes the table that the last owner released, received at now. No process is pending then but those
// that were pending for the last owner.
func (o *Owner) Inherit(t Handover, now time.Time) {
	clear(o.pending)
	for _, proc := range t.Pending {
		o.pending[proc] = true
	}
	o.brought, o.pendingTo = t.CarriedOver, now.Add(t.PendingIn+o.cfg.Timing.Margin)
	o.limit, o.changed = min(t.Limit, o.cfg.Full.Streams), now
	for _, h := range t.Holders {
		o.entries[h.Process] = &entry{
			granted: h.MaxHeld, high: h.MaxHeld, want: h.Want, asked: now,
			until: now.Add(h.Remaining + o.cfg.Timing.Margin),
		}
	}
}
