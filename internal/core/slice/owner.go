package slice

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	increaseThreshold = 0.7             // fraction of the limit that must be wanted before it increases
	increaseInterval  = time.Second     // minimum time from a change of the limit to an increase
	decreaseHoldoff   = 2 * time.Second // time after a decrease during which the limit does not increase
	idleTTLs          = 3               // an entry without a slice is dropped after so many TTLs without a request
)

// Config is the part of a server's configuration that the owner uses.
type Config struct {
	Full   Amount // limit of a warm server
	Cold   int    // streams that a freshly started server can process
	Timing Timing
}

// entry is the owner's state of one holder.
type entry struct {
	seq         uint64    // sequence number of the last grant
	granted     Amount    // amount of the last grant
	maxHeld     Amount    // largest amount that the holder may have; zero once a confirmed owner has observed the expiry
	expiry      time.Time // the holder's slice has certainly expired by then
	want        Amount
	lastRequest time.Time
}

// Owner splits the budget of one server in one term. It is not safe for concurrent use.
type Owner struct {
	cfg          Config
	term         Term
	limit        int       // streams of the whole server
	lastChange   time.Time // last change of limit
	lastDecrease time.Time // last decrease of limit

	entries       map[Process]*entry
	users         map[Process]bool // processes that should use the server; others get nothing
	expectedUsers int              // number of users to expect; a share is reserved for each that has not sent a request yet

	confirmed     bool
	lastConfirmed time.Time // an unconfirmed owner may continue for Timing.Grace after this
	storeOutage   bool      // the store seems to be down: grants should outlive the owner
	stopped       bool      // released or stopped, or a later term was seen

	pending       map[Process]bool // processes of earlier terms that may hold a slice this owner has no data about
	carriedOver   Amount           // sum of the slices carried over; bounds all grants while pending is not empty
	pendingExpiry time.Time        // pending slices have certainly expired by then
}

// NewOwner returns the owner of a server in a term that was taken at now. Earlier lists the processes that may hold
// slices of earlier terms. If there are any, the limit is unknown until the first of them carries over its slice.
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
		pendingExpiry: now.Add(cfg.Timing.Grace + cfg.Timing.TTL + cfg.Timing.Margin),
	}
	for _, proc := range earlier {
		o.pending[proc] = true
	}
	return o
}

// Term returns the owner's term.
func (o *Owner) Term() Term { return o.term }

// Limit returns the current limit of the whole server, in streams.
func (o *Owner) Limit() int { return o.limit }

// Stopped reports whether the owner has released its term, has seen a later one, or was stopped.
func (o *Owner) Stopped() bool { return o.stopped }

// Configure replaces the configuration of the server.
func (o *Owner) Configure(cfg Config) {
	o.cfg = cfg
	o.limit = min(o.limit, cfg.Full.Streams)
}

// SetUsers replaces the processes that should use the server, and sets how many are expected. The record must list all
// of users.
func (o *Owner) SetUsers(users []Process, expected int) {
	clear(o.users)
	o.expectedUsers = expected
	for _, proc := range users {
		o.users[proc] = true
	}
}

// Confirm records two facts: the owner's lease is certainly valid at now, and the owner has written its record since the
// node registered under this lease, without finding another record.
//
// Only Confirm frees slices that have expired by now. An owner that is not confirmed therefore grants only from what
// was free when it was last confirmed.
func (o *Owner) Confirm(now time.Time) {
	o.confirmed, o.lastConfirmed = true, now
	for _, e := range o.entries {
		if !now.Before(e.expiry) {
			e.maxHeld = Amount{}
		}
	}
	if !now.Before(o.pendingExpiry) {
		clear(o.pending)
	}
}

// Unconfirm records that the lease may have expired, or that the node has registered again.
func (o *Owner) Unconfirm() { o.confirmed = false }

// SetStoreOutage records whether the store seems to be down. During an outage grants last until the grace period ends,
// so that holders keep their slices if the owner fails. The slices of holders that fail are also freed only then.
func (o *Owner) SetStoreOutage(outage bool) { o.storeOutage = outage }

// Confirmed reports whether the owner is confirmed: only then may it free slices because they have expired.
func (o *Owner) Confirmed() bool { return o.confirmed }

// Pending returns the processes of earlier terms that have not yet carried over their slices, sorted.
func (o *Owner) Pending() []Process { return sortedProcesses(o.pending) }

// Holders returns all processes that may hold a slice, sorted. The record must list them besides the users.
func (o *Owner) Holders() []Process {
	held := maps.Clone(o.pending)
	for proc, e := range o.entries {
		if e.maxHeld != (Amount{}) {
			held[proc] = true
		}
	}
	return sortedProcesses(held)
}

// sortedProcesses returns the processes of a set, sorted by name and epoch.
func sortedProcesses(procs map[Process]bool) []Process {
	return slices.SortedFunc(maps.Keys(procs), func(a, b Process) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Epoch, b.Epoch))
	})
}

// CarryOver records that a pending process follows this term, and the slice that it holds, received at now.
func (o *Owner) CarryOver(proc Process, held Held, now time.Time) {
	if !o.pending[proc] {
		return
	}
	delete(o.pending, proc)
	if held.Limit > 0 {
		o.carryOverLimit(held.Limit, now)
	}
	if held.Amount == (Amount{}) {
		return
	}
	o.carriedOver = o.carriedOver.plus(held.Amount)
	o.entries[proc] = &entry{
		granted:     held.Amount,
		maxHeld:     held.Amount,
		expiry:      now.Add(held.Remaining + o.cfg.Timing.Margin),
		want:        held.Amount,
		lastRequest: now,
	}
}

// carryOverLimit adopts the lowest limit that holders had received, until this owner has changed it.
func (o *Owner) carryOverLimit(limit int, now time.Time) {
	if o.lastChange.IsZero() || limit < o.limit {
		o.limit, o.lastChange = min(limit, o.cfg.Full.Streams), now
	}
}

// ProcessEnded records that a process has ended and uses nothing. An owner that is not confirmed ignores this, since the
// process may have carried its slice over to a later term before it ended.
func (o *Owner) ProcessEnded(proc Process) {
	if !o.confirmed {
		return
	}
	delete(o.pending, proc)
	delete(o.entries, proc)
	delete(o.users, proc)
}

// Request answers a holder's request. It reports false if the owner may not grant: it is stopped, its grace period has
// passed, or the holder has not yet carried over its slice.
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
			e.seq = req.Seq // a holder whose entry was dropped refuses grants up to this one
		}
		o.entries[proc] = e
	}
	if req.Term == o.term && req.Seq == e.seq && e.seq > 0 {
		e.maxHeld = minAmount(e.maxHeld, e.granted)
	}
	e.want, e.lastRequest = req.Want, now
	o.applySuggestion(req.Limit, now)
	o.dropIdle(now)
	return o.grant(proc, e, now), true
}

// GrantApplied records that a holder has accepted the grant with this sequence number.
func (o *Owner) GrantApplied(proc Process, seq uint64) {
	if e := o.entries[proc]; e != nil && e.seq == seq {
		e.maxHeld = minAmount(e.maxHeld, e.granted)
	}
}

// mayGrant reports whether the owner may grant slices at now.
func (o *Owner) mayGrant(now time.Time) bool {
	return !o.stopped && (o.confirmed || now.Before(o.lastConfirmed.Add(o.cfg.Timing.Grace)))
}

// grant returns the next grant for a holder that has sent a request.
func (o *Owner) grant(proc Process, e *entry, now time.Time) Grant {
	amount := minAmount(o.target(proc, now), maxAmount(e.maxHeld, o.free(proc)))
	e.maxHeld = maxAmount(e.maxHeld, amount)
	e.seq++
	e.granted = amount
	ttl := o.cfg.Timing.TTL
	if !o.confirmed || o.storeOutage {
		ttl = o.lastConfirmed.Add(o.cfg.Timing.Grace).Sub(now)
	}
	if expiry := now.Add(ttl); expiry.After(e.expiry) {
		e.expiry = expiry
	}
	return Grant{Term: o.term, Seq: e.seq, Amount: amount, Limit: o.limit, TTL: ttl}
}

// usable returns the total amount that the owner may grant.
func (o *Owner) usable() Amount {
	limit := Amount{Streams: o.limit, Tokens: o.cfg.Full.Tokens}
	if len(o.pending) > 0 {
		return minAmount(limit, o.carriedOver)
	}
	return limit
}

// free returns the usable amount minus what other holders may have. It may be negative.
func (o *Owner) free(proc Process) Amount {
	free := o.usable()
	for other, e := range o.entries {
		if other != proc {
			free = free.minus(e.maxHeld)
		}
	}
	return free
}

// target returns the holder's portion of the usable amount, by the current demand of all users.
func (o *Owner) target(proc Process, now time.Time) Amount {
	if !o.users[proc] {
		return Amount{}
	}
	allocations := make([]allocation, 0, len(o.entries))
	for other, e := range o.entries {
		if o.users[other] && now.Sub(e.lastRequest) < o.cfg.Timing.TTL {
			allocations = append(allocations, allocation{proc: other, want: e.want})
		}
	}
	for len(allocations) < o.expectedUsers {
		allocations = append(allocations, allocation{})
	}
	divide(o.usable(), allocations)
	for _, a := range allocations {
		if a.proc == proc {
			return a.amount
		}
	}
	return Amount{}
}

// dropIdle drops the entries of holders that have no slice and no longer send requests.
func (o *Owner) dropIdle(now time.Time) {
	for proc, e := range o.entries {
		if e.maxHeld == (Amount{}) && now.Sub(e.lastRequest) > idleTTLs*o.cfg.Timing.TTL {
			delete(o.entries, proc)
		}
	}
}
