// This file defines a model of two or more nodes, the store and the messages between them. Each action is atomic. A
// paused node, an outage of the store and a network partition are modelled by actions that do not happen.

package slice

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	leaseTime   = 2 * time.Second
	leaseMargin = time.Second
)

var modelTiming = Timing{TTL: 5 * time.Second, Margin: time.Second, Grace: 8 * time.Second}

// fault is a rule of the protocol that the model breaks on purpose.
type fault int

const (
	faultNone              fault = iota
	faultHolderNoMargin          // a holder counts its expiry from the receipt of the grant
	faultAlwaysConfirmed         // an owner frees expired slices though its lease may have expired
	faultNoRecheck               // an owner is confirmed by a new lease without writing its record
	faultIgnoreEarlier           // a new owner ignores the grants of earlier terms
	faultHolderForgetsTerm       // a holder accepts grants of earlier terms
)

type modelLease struct {
	proc  Process
	id    int
	until time.Time
}

// claim is a node's progress in taking a term, with what it has read so far.
type claim struct {
	record       *Record
	rev          int
	checked      bool
	registration Registration
	handover     *Handover
}

type modelNode struct {
	proc           Process
	holder         Holder
	want           Amount
	owner          *Owner
	rev            int // of the record as written or read by the owner
	leaseEnd       time.Time
	lease          int // the lease that leaseEnd belongs to
	confirmedLease int // the lease under which the record was last written
	claim          *claim
}

type messageKind int

const (
	msgRequest messageKind = iota
	msgGrant
	msgReduction
	msgFollow
	msgFollowed
	msgRelease
	msgReleased
)

type message struct {
	kind      messageKind
	from, to  int
	sender    Process
	recipient Process
	sentAt    time.Time
	term      Term
	request   Request
	grant     Grant
	held      Held
	handover  *Handover
}

// model is one state of the modelled system.
type model struct {
	fault       fault
	direct      bool // requests arrive immediately; only answers are in flight
	cfg         Config
	now         time.Time
	nodes       []*modelNode
	messages    []message
	record      *Record
	rev         int
	leases      map[string]modelLease
	lastID      int
	maxInFlight int // maximum number of messages in flight
}

func newModel(nodes, limit, maxInFlight int, f fault) *model {
	m := &model{
		fault: f, now: time.Unix(0, 0), leases: make(map[string]modelLease), maxInFlight: maxInFlight,
		cfg: Config{Full: Amount{Streams: limit}, Cold: limit, Timing: modelTiming},
	}
	for i := range nodes {
		m.nodes = append(m.nodes, &modelNode{
			proc: Process{Name: string(rune('a' + i))}, want: Amount{Streams: limit}, confirmedLease: -1,
		})
	}
	return m
}

// runToSteadyState advances the model until node 0 owns the server and every node holds its slice.
func (m *model) runToSteadyState() {
	m.renew(0)
	m.advanceClaim(0)
	m.advanceClaim(0)
	m.reconfirm(0)
	for range 4 {
		for i := range m.nodes {
			m.request(i, 0)
			for len(m.messages) > 0 {
				msg := m.messages[0]
				m.removeMessage(0)
				m.deliver(msg)
			}
		}
	}
}

// handOver lets the lease of node 0 expire and advances the model until node 1 has taken the next term, has carried over
// its own slice and has renewed it. Node 0 has received no message about it.
func (m *model) handOver() {
	m.now = m.now.Add(leaseTime)
	for range 3 {
		m.renew(1)
		m.advanceClaim(1)
	}
	m.requestFollow(1)
	m.deliverTo(1)
	m.now = m.now.Add(leaseTime)
	m.renew(1)
	m.reconfirm(1)
	m.request(1, 1)
	m.deliverTo(1)
}

// deliverTo delivers all messages to one node and drops the others.
func (m *model) deliverTo(i int) {
	for len(m.messages) > 0 {
		msg := m.messages[0]
		m.removeMessage(0)
		if msg.to == i {
			m.deliver(msg)
		}
	}
}

// inUse returns the streams that all processes together may use.
func (m *model) inUse() int {
	sum := 0
	for _, n := range m.nodes {
		sum += n.holder.Usable(m.now).Streams
	}
	return sum
}

type action struct {
	name   string
	rare   bool // excluded from the exhaustive search to keep it small
	weight int  // relative frequency in random runs
	do     func(m *model)
}

// actions returns the actions possible in this state.
func (m *model) actions() []action {
	list := []action{{"tick", false, 12, func(m *model) { m.now = m.now.Add(time.Second) }}}
	add := func(weight int, do func(m *model), format string, args ...any) {
		list = append(list, action{fmt.Sprintf(format, args...), weight < 5, weight, do})
	}
	for i, n := range m.nodes {
		add(5, func(m *model) { m.renew(i) }, "%d renews", i)
		add(1, func(m *model) { m.restart(i) }, "%d restarts", i)
		add(2, func(m *model) { m.toggleDemand(i) }, "%d changes demand", i)
		if n.owner == nil {
			add(12, func(m *model) { m.advanceClaim(i) }, "%d advances its claim", i)
			add(1, func(m *model) { m.nodes[i].claim = nil }, "%d restarts its claim", i)
		} else {
			add(5, func(m *model) { m.reconfirm(i) }, "%d writes its record", i)
			add(2, func(m *model) { m.reduce(i) }, "%d sends reductions", i)
			add(8, func(m *model) { m.requestFollow(i) }, "%d requests to follow", i)
		}
		for j := range m.nodes {
			if m.nodes[j].owner != nil {
				add(8, func(m *model) { m.request(i, j) }, "%d sends a request to %d", i, j)
			}
		}
	}
	for k, msg := range m.messages {
		add(12, func(m *model) { m.removeMessage(k); m.deliver(msg) }, "delivers %d", k)
		add(2, func(m *model) { m.deliver(msg) }, "delivers a copy of %d", k)
		add(3, func(m *model) { m.removeMessage(k) }, "loses %d", k)
	}
	return list
}

func (m *model) removeMessage(k int) { m.messages = slices.Delete(slices.Clone(m.messages), k, k+1) }

func (m *model) send(msg message) {
	if len(m.messages) < m.maxInFlight {
		m.messages = append(slices.Clone(m.messages), msg)
	}
}

// renew registers a node or renews its lease.
func (m *model) renew(i int) {
	n := m.nodes[i]
	l := m.leases[n.proc.Name]
	if l.id != n.lease || l.proc != n.proc || !m.now.Before(l.until) {
		m.lastID++
		l = modelLease{proc: n.proc, id: m.lastID}
	}
	l.until = m.now.Add(leaseTime)
	m.leases[n.proc.Name] = l
	n.lease, n.leaseEnd = l.id, m.now.Add(leaseTime-leaseMargin)
}

func (m *model) restart(i int) {
	n := m.nodes[i]
	m.lastID++
	m.nodes[i] = &modelNode{
		proc: Process{Name: n.proc.Name, Epoch: uint64(m.lastID)}, want: n.want, confirmedLease: -1,
	}
}

func (m *model) toggleDemand(i int) {
	n := m.nodes[i]
	n.want.Streams = m.cfg.Full.Streams - n.want.Streams
}

func (n *modelNode) holdsLease(now time.Time) bool { return now.Before(n.leaseEnd) }

// advanceClaim takes one step towards a term: read the record, check the owner's registration, request the release,
// write the record.
func (m *model) advanceClaim(i int) {
	n := m.nodes[i]
	if !n.holdsLease(m.now) {
		return
	}
	switch c := n.claim; {
	case c == nil:
		n.claim = &claim{record: m.record, rev: m.rev}
	case !c.checked && c.record != nil:
		l, held := m.leases[c.record.Owner.Name]
		c.checked = true
		switch {
		case !held || !m.now.Before(l.until):
			c.registration = Unregistered
		case l.proc != c.record.Owner:
			c.registration = Replaced
		}
	case NextStep(c.record, n.proc, c.registration, c.handover) == StepRequestRelease:
		m.sendTo(i, c.record.Owner, message{kind: msgRelease, term: c.record.Term})
	default:
		n.claim = nil
		if c.rev == m.rev {
			m.write(i, c)
		}
	}
}

func (m *model) write(i int, c *claim) {
	n := m.nodes[i]
	next := SuccessorRecord(c.record, n.proc, c.handover, "")
	m.record, m.rev = &next, m.rev+1
	n.rev, n.confirmedLease = m.rev, n.lease
	if m.fault == faultIgnoreEarlier {
		n.owner = NewOwner(m.cfg, next.Term, nil, m.now)
		return
	}
	n.owner = StartTerm(m.cfg, c.record, next, c.handover, m.now)
}

func (m *model) sendTo(from int, to Process, msg message) {
	msg.from, msg.sender = from, m.nodes[from].proc
	for j, n := range m.nodes {
		if n.proc == to {
			msg.to, msg.recipient = j, to
			if m.direct && (msg.kind == msgRequest || msg.kind == msgRelease) {
				m.deliver(msg)
				continue
			}
			m.send(msg)
		}
	}
}

// reconfirm writes the owner's record again with the current processes.
func (m *model) reconfirm(i int) {
	n := m.nodes[i]
	if !n.holdsLease(m.now) {
		return
	}
	if n.rev != m.rev {
		n.owner.Stop()
		n.owner = nil
		return
	}
	m.updateOwner(i)
	next := *m.record
	next.Holders = n.owner.Holders()
	for _, other := range m.nodes {
		if !slices.Contains(next.Holders, other.proc) {
			next.Holders = append(next.Holders, other.proc)
		}
	}
	m.record, m.rev = &next, m.rev+1
	n.rev, n.confirmedLease = m.rev, n.lease
	m.updateOwner(i)
}

// updateOwner updates whether the owner is confirmed, and the users of the server.
func (m *model) updateOwner(i int) {
	n := m.nodes[i]
	confirmed := n.holdsLease(m.now) && (n.confirmedLease == n.lease || m.fault == faultNoRecheck)
	if confirmed || m.fault == faultAlwaysConfirmed {
		n.owner.Confirm(m.now)
	} else {
		n.owner.Unconfirm()
	}
	var users []Process
	for _, other := range m.nodes {
		if n.rev == m.rev && slices.Contains(m.record.Holders, other.proc) {
			users = append(users, other.proc)
		}
	}
	if n.rev == m.rev {
		n.owner.SetUsers(users, 0)
	}
}

func (m *model) request(i, j int) {
	n := m.nodes[i]
	m.sendTo(i, m.nodes[j].proc, message{kind: msgRequest, request: n.holder.Request(n.want, 0), sentAt: m.now})
}

func (m *model) reduce(i int) {
	m.updateOwner(i)
	for _, p := range m.nodes[i].owner.Reductions(m.now) {
		m.sendTo(i, p.Process, message{kind: msgReduction, grant: p.Grant})
	}
}

func (m *model) requestFollow(i int) {
	o := m.nodes[i].owner
	for _, proc := range o.Pending() {
		m.sendTo(i, proc, message{kind: msgFollow, term: o.Term()})
	}
	m.updateOwner(i)
	for _, proc := range o.Pending() {
		for _, n := range m.nodes {
			if n.proc.Name == proc.Name && n.proc != proc {
				o.ProcessEnded(proc)
			}
		}
	}
}

// deliver delivers a message if its recipient still runs.
func (m *model) deliver(msg message) {
	n := m.nodes[msg.to]
	if n.proc != msg.recipient {
		return
	}
	switch msg.kind {
	case msgRequest:
		m.handleRequest(msg)
	case msgGrant:
		sentAt := msg.sentAt
		if m.fault == faultHolderNoMargin {
			sentAt = m.now.Add(modelTiming.Margin)
		}
		if m.fault == faultHolderForgetsTerm && msg.grant.Term < n.holder.Term {
			n.holder.Term = 0
		}
		n.holder.Accept(msg.grant, sentAt, modelTiming)
	case msgReduction:
		n.holder.Reduce(msg.grant)
	case msgFollow:
		if held, ok := n.holder.Follow(msg.term, m.now); ok {
			m.sendTo(msg.to, msg.sender, message{kind: msgFollowed, term: msg.term, held: held})
		}
	case msgFollowed:
		if n.owner != nil && n.owner.Term() == msg.term {
			m.updateOwner(msg.to)
			n.owner.CarryOver(msg.sender, msg.held, m.now)
		}
	case msgRelease:
		if n.owner != nil && n.owner.Term() == msg.term {
			m.updateOwner(msg.to)
			handover := n.owner.Release(m.now)
			m.sendTo(msg.to, msg.sender, message{kind: msgReleased, term: msg.term, handover: &handover})
		}
	case msgReleased:
		if c := n.claim; c != nil && c.record != nil && c.record.Term == msg.term {
			c.handover = msg.handover
		}
	}
}

func (m *model) handleRequest(msg message) {
	n := m.nodes[msg.to]
	if n.owner == nil {
		return
	}
	m.updateOwner(msg.to)
	if !n.owner.users[msg.sender] {
		return
	}
	if g, ok := n.owner.Request(msg.sender, msg.request, m.now); ok {
		m.sendTo(msg.to, msg.sender, message{kind: msgGrant, grant: g, sentAt: msg.sentAt})
	}
}

// clone returns a deep copy.
func (m *model) clone() *model {
	c := *m
	c.leases = maps.Clone(m.leases)
	c.nodes = make([]*modelNode, len(m.nodes))
	for i, n := range m.nodes {
		copied := *n
		if n.owner != nil {
			copied.owner = n.owner.clone()
		}
		if n.claim != nil {
			cl := *n.claim
			copied.claim = &cl
		}
		c.nodes[i] = &copied
	}
	return &c
}

func (o *Owner) clone() *Owner {
	c := *o
	c.users, c.pending = maps.Clone(o.users), maps.Clone(o.pending)
	c.entries = make(map[Process]*entry, len(o.entries))
	for proc, e := range o.entries {
		copied := *e
		c.entries[proc] = &copied
	}
	return &c
}

// key returns a text that is equal for states that differ only in the time at which they are reached.
func (m *model) key() string {
	var b strings.Builder
	ago := func(t time.Time) int64 {
		return int64(min(max(t.Sub(m.now), -7*time.Second), 20*time.Second) / time.Second)
	}
	for _, n := range m.nodes {
		l := m.leases[n.proc.Name]
		h := n.holder
		fmt.Fprintf(&b, "|%v %v %d %d %d %d %d %v %v", n.proc, n.want.Streams, ago(n.leaseEnd), n.rev-m.rev,
			h.Term, h.Seq, h.Usable(m.now).Streams, ago(h.Expiry), n.confirmedLease == n.lease)
		fmt.Fprintf(&b, "<%v %d %v>", l.proc == n.proc, ago(l.until), l.id == n.lease)
		if c := n.claim; c != nil {
			fmt.Fprintf(&b, "c%d %v %d %v", c.rev-m.rev, c.checked, c.registration, c.handover)
		}
		if o := n.owner; o != nil {
			fmt.Fprintf(&b, "o%d %v %v %d %v %d %v %d", o.term, o.stopped, o.confirmed, ago(o.lastConfirmed),
				sortedProcesses(o.pending), o.carriedOver.Streams, sortedProcesses(o.users), ago(o.pendingExpiry))
			for _, proc := range sortedProcesses(keys(o.entries)) {
				e := o.entries[proc]
				fmt.Fprintf(&b, "e%v %d %d %d %d %d %d", proc, e.seq, e.granted.Streams, e.maxHeld.Streams,
					ago(e.expiry), e.want.Streams, ago(e.lastRequest))
			}
		}
	}
	for _, msg := range m.messages {
		fmt.Fprintf(&b, "m%d%d%d%v%v%d%d%v%v%v%v", msg.kind, msg.from, msg.to, msg.sender, msg.recipient,
			ago(msg.sentAt), msg.term, msg.request, msg.grant, msg.held, msg.handover)
	}
	if m.record != nil {
		fmt.Fprintf(&b, "r%d %v %v", m.record.Term, m.record.Owner, m.record.Holders)
	}
	return b.String()
}

func keys(entries map[Process]*entry) map[Process]bool {
	set := make(map[Process]bool, len(entries))
	for proc := range entries {
		set[proc] = true
	}
	return set
}
