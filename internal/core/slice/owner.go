package slice

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	usedShare     = 0.7             // part of the limit that must be wanted for it to rise
	riseInterval  = time.Second     // least time between two rises of the limit
	fallHoldoff   = 2 * time.Second // time after a fall in which the limit does not rise
	forgetHolders = 3               // in TTLs: an entry without slice or request for so long is dropped
)

// Config is what the owner knows of the server from the configuration.
type Config struct {
	Full   Amount // when warm
	Cold   int    // streams that a fresh server bears
	Timing Timing
}

// entry is what the owner knows of one holder.
type entry struct {
	seq     uint64    // of the last grant
	granted Amount    // by the last grant
	high    Amount    // largest amount that the holder may have; nothing once a confirmed owner saw it run out
	until   time.Time // the holder surely uses nothing from then on
	want    Amount
	asked   time.Time // of the last request
}

// Owner splits the budget of one server in one term. It has one owner.
type Owner struct {
	cfg     Config
	term    Term
	limit   int       // streams of the whole server
	changed time.Time // last change of limit
	fallen  time.Time // last fall of limit

	entries map[Process]*entry
	users   map[Process]bool // processes that are to use the server; only these get more than nothing
	expect  int              // how many users there are to be; a part is kept for each that has not asked yet

	confirmed     bool
	lastConfirmed time.Time // an owner that is not confirmed may go on until Hold later
	suspect       bool      // the store seems to be down: grants are to outlast the owner
	stopped       bool      // released, or a later term was seen

	pending   map[Process]bool // processes of earlier terms that may hold a slice unknown to this owner
	brought   Amount           // what holders brought over; bounds all grants while pending is not empty
	pendingTo time.Time        // pending slices have surely expired from then on
}

// NewOwner returns the owner of a server in a term that was taken at now. Earlier lists the processes that
// may hold slices of earlier terms. With any, the limit is unknown until the first of them comes over.
func NewOwner(cfg Config, term Term, earlier []Process, now time.Time) *Owner {
	o := &Owner{
		cfg:           cfg,
		term:          term,
		limit:         cfg.Cold,
		entries:       make(map[Process]*entry),
		users:         make(map[Process]bool),
		confirmed:     true,
		lastConfirmed: now,
		pending:       make(map[Process]bool),
		pendingTo:     now.Add(cfg.Timing.Grace + cfg.Timing.TTL + cfg.Timing.Margin),
	}
	for _, proc := range earlier {
		o.pending[proc] = true
	}
	return o
}

// Term returns the owner's term.
func (o *Owner) Term() Term { return o.term }

// Limit returns the streams of the whole server at present.
func (o *Owner) Limit() int { return o.limit }

// Stopped reports whether the owner has released its term or seen a later one.
func (o *Owner) Stopped() bool { return o.stopped }

// Configure replaces what is known of the server from the configuration.
func (o *Owner) Configure(cfg Config) {
	o.cfg = cfg
	o.limit = min(o.limit, cfg.Full.Streams)
}

// SetUsers replaces the processes that are to use the server, which all stand in the record, and says how many
// there are to be.
func (o *Owner) SetUsers(users []Process, expect int) {
	clear(o.users)
	o.expect = expect
	for _, proc := range users {
		o.users[proc] = true
	}
}

// Confirm tells that the owner's lease surely holds at now and that its record was written, without finding
// another, since the node registered under this lease.
//
// Slices that have run out by now become free here and nowhere else, so that an owner which is not confirmed
// goes on from what was free when it last was.
func (o *Owner) Confirm(now time.Time) {
	o.confirmed, o.lastConfirmed = true, now
	for _, e := range o.entries {
		if !now.Before(e.until) {
			e.high = Amount{}
		}
	}
	if !now.Before(o.pendingTo) {
		clear(o.pending)
	}
}

// Unconfirm tells that the lease is not sure, or that the node registered anew.
func (o *Owner) Unconfirm() { o.confirmed = false }

// Suspect tells whether the store seems to be down. Grants then last until Hold ends, so that holders keep
// their slices should the owner die in the outage. They free the slices of dead holders as late.
func (o *Owner) SetStoreOutage(outage bool) { o.suspect = outage }

// Confirmed reports whether the owner may free slices because time has passed.
func (o *Owner) Confirmed() bool { return o.confirmed }

// Pending returns the processes that have yet to come over, sorted.
func (o *Owner) Pending() []Process { return sorted(o.pending) }

// Holders returns all processes that may hold a slice, sorted: what the record must list besides users.
func (o *Owner) Holders() []Process {
	held := maps.Clone(o.pending)
	for proc, e := range o.entries {
		if e.high != (Amount{}) {
			held[proc] = true
		}
	}
	return sorted(held)
}

func sorted(procs map[Process]bool) []Process {
	return slices.SortedFunc(maps.Keys(procs), func(a, b Process) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Epoch, b.Epoch))
	})
}

// BroughtOver tells that a pending process follows this term and what it holds, received at now.
func (o *Owner) CarryOver(proc Process, held Held, now time.Time) {
	if !o.pending[proc] {
		return
	}
	delete(o.pending, proc)
	if held.Limit > 0 {
		o.learnLimit(held.Limit, now)
	}
	if held.Amount == (Amount{}) {
		return
	}
	o.brought = o.brought.plus(held.Amount)
	o.entries[proc] = &entry{
		granted: held.Amount,
		high:    held.Amount,
		until:   now.Add(held.Remaining + o.cfg.Timing.Margin),
		want:    held.Amount,
		asked:   now,
	}
}

// Takes the lowest limit that holders knew, until this owner has changed it by evidence of its own.
func (o *Owner) learnLimit(limit int, now time.Time) {
	if o.changed.IsZero() || limit < o.limit {
		o.limit, o.changed = min(limit, o.cfg.Full.Streams), now
	}
}

// Ended tells that a process is known to have ended, so that it uses nothing. An owner that is not confirmed
// takes no note of it, since the process may have brought its slice to a later term before it ended.
func (o *Owner) ProcessEnded(proc Process) {
	if !o.confirmed {
		return
	}
	delete(o.pending, proc)
	delete(o.entries, proc)
	delete(o.users, proc)
}

// Request answers a holder. It reports false when the owner may not grant: it is stopped, its time is over,
// or the holder has yet to come over.
func (o *Owner) Request(proc Process, req Request, now time.Time) (Grant, bool) {
	if req.Term > o.term {
		o.stopped = true
	}
	if !o.mayGrant(now) || o.pending[proc] {
		return Grant{}, false
	}
	e := o.entries[proc]
	if e == nil {
		e = &entry{}
		if req.Term == o.term {
			e.seq = req.Seq // a holder that was forgotten takes only grants after the last that it took
		}
		o.entries[proc] = e
	}
	if req.Term == o.term && req.Seq == e.seq && e.seq > 0 {
		e.high = smaller(e.high, e.granted)
	}
	e.want, e.asked = req.Want, now
	o.suggest(req.Limit, now)
	o.forget(now)
	return o.grant(proc, e, now), true
}

// Applied tells that a holder has taken the grant with this seq.
func (o *Owner) GrantApplied(proc Process, seq uint64) {
	if e := o.entries[proc]; e != nil && e.seq == seq {
		e.high = smaller(e.high, e.granted)
	}
}

func (o *Owner) mayGrant(now time.Time) bool {
	return !o.stopped && (o.confirmed || now.Before(o.lastConfirmed.Add(o.cfg.Timing.Grace)))
}

// Makes the next grant to a holder that has asked.
func (o *Owner) grant(proc Process, e *entry, now time.Time) Grant {
	amount := smaller(o.target(proc, now), larger(e.high, o.free(proc)))
	e.high = larger(e.high, amount)
	e.seq++
	e.granted = amount
	ttl := o.cfg.Timing.TTL
	if !o.confirmed || o.suspect {
		ttl = o.lastConfirmed.Add(o.cfg.Timing.Grace).Sub(now)
	}
	if until := now.Add(ttl); until.After(e.until) {
		e.until = until
	}
	return Grant{Term: o.term, Seq: e.seq, Amount: amount, Limit: o.limit, TTL: ttl}
}

// Returns what the owner may give out in all.
func (o *Owner) usable() Amount {
	limit := Amount{Streams: o.limit, Tokens: o.cfg.Full.Tokens}
	if len(o.pending) > 0 {
		return smaller(limit, o.brought)
	}
	return limit
}

// Returns what of the usable amount no other holder may have. It may be negative.
func (o *Owner) free(proc Process) Amount {
	free := o.usable()
	for other, e := range o.entries {
		if other != proc {
			free = free.minus(e.high)
		}
	}
	return free
}

// Returns the holder's part of the usable amount, by the present demand of all users.
func (o *Owner) target(proc Process, now time.Time) Amount {
	if !o.users[proc] {
		return Amount{}
	}
	parts := make([]part, 0, len(o.entries))
	for other, e := range o.entries {
		if o.users[other] && now.Sub(e.asked) < o.cfg.Timing.TTL {
			parts = append(parts, part{proc: other, want: e.want})
		}
	}
	for len(parts) < o.expect {
		parts = append(parts, part{})
	}
	divide(o.usable(), parts)
	for _, p := range parts {
		if p.proc == proc {
			return p.give
		}
	}
	return Amount{}
}

// Drops entries of holders that have nothing and no longer ask.
func (o *Owner) forget(now time.Time) {
	for proc, e := range o.entries {
		if e.high == (Amount{}) && now.Sub(e.asked) > forgetHolders*o.cfg.Timing.TTL {
			delete(o.entries, proc)
		}
	}
}
