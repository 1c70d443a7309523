// This file defines how nodes share crashes and verdicts. The node that saw them sends them to the other nodes. The
// store keeps verdicts for nodes that miss the message or start later.

package dispatch

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/sync/errgroup"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/core/ownership"
	"ebonyferry/internal/core/quarantine"
	"ebonyferry/internal/edge/node"
	"ebonyferry/internal/edge/operator"
)

const (
	pathNotice        = "/dispatch/notice"
	maxPendingNotices = 256 // other nodes miss further crashes, but read the verdicts from the store
	noticeConcurrency = 32  // messages sent at the same time
)

// WithUsers sets a function that returns the names of the nodes that use a server. It must not call the
// dispatcher.
func WithUsers(fn func(server string) []string) Option {
	return func(d *Dispatcher) { d.usersOf = fn }
}

// WithPeers sets how to reach the other nodes. Only one of the nodes that use a server then runs suspects on it.
func WithPeers(client *node.Client, view func() *membership.View) Option {
	return func(d *Dispatcher) { d.broadcast.client, d.broadcast.view = client, view }
}

// WithVerdicts sets the store that keeps verdicts.
func WithVerdicts(s VerdictStore) Option {
	return func(d *Dispatcher) { d.broadcast.verdicts = newVerdictSync(s) }
}

// broadcaster sends crashes and verdicts to the other nodes and the store.
type broadcaster struct {
	d        *Dispatcher
	client   *node.Client            // nil if there are no other nodes
	view     func() *membership.View // nil if client is nil
	verdicts *verdictSync            // nil if no store keeps verdicts
	pending  chan notice             // to be sent
	crashed  chan struct{}           // signals judgeParts that there may be a verdict on a prefix; capacity 1
}

// notice is the message of one node to the others.
type notice struct {
	Crash    *quarantine.Crash  `json:"crash,omitempty"`
	Verdicts []quarantine.Entry `json:"verdicts,omitempty"` // or releases
	SentAt   time.Time          `json:"sentAt,omitzero"`    // by the sender's clock, as the times of Crash.Begun
}

type noticeAnswer struct{}

// Mount adds the handler of other nodes' notices to the router of the node-to-node listener.
func (d *Dispatcher) Mount(router chi.Router) {
	node.Handle(router, pathNotice, func(_ context.Context, _ node.Sender, msg notice) (noticeAnswer, error) {
		d.recordNotice(msg)
		return noticeAnswer{}, nil
	})
	node.Handle(router, pathPassed, d.handlePassed)
}

// recordNotice records a notice from another node, or the verdicts in the store.
func (d *Dispatcher) recordNotice(msg notice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if msg.Crash != nil {
		for i := range msg.Crash.Begun {
			msg.Crash.Begun[i].At = msg.Crash.Begun[i].At.Add(now.Sub(msg.SentAt))
		}
		d.scheduler.RecordCrash(*msg.Crash, now)
		if len(msg.Crash.Begun) > 0 && d.broadcast.ownsParts() {
			d.broadcast.noteCrash()
		}
	}
	for _, v := range msg.Verdicts {
		d.scheduler.RecordVerdict(v, now)
	}
	d.poll(now)
}

// reportCrash logs a crash and its verdicts, and sends them to the other nodes and the store.
func (b *broadcaster) reportCrash(c quarantine.Crash, verdicts []quarantine.Entry) {
	event.Log(b.d.log, event.ServerCrashed, event.Fields{"server": c.Server, "inFlight": len(c.InFlight)})
	b.logVerdicts(verdicts)
	b.enqueue(notice{Crash: &c, Verdicts: verdicts})
	if b.client != nil && len(c.Begun) > 0 {
		b.noteCrash()
	}
}

func (b *broadcaster) logVerdicts(verdicts []quarantine.Entry) {
	for _, v := range verdicts {
		fields := event.Fields{
			"fingerprint": formatFingerprint(v.Fingerprint), "account": v.Account, "server": v.Server, "crashes": v.Crashes,
		}
		if len(v.Parts) > 0 {
			fields["parts"] = len(v.Parts)
		}
		event.Log(b.d.log, event.RequestQuarantined, fields)
	}
}

// enqueue queues a notice for the other nodes, and its verdicts for the store.
func (b *broadcaster) enqueue(msg notice) {
	if b.verdicts != nil {
		b.verdicts.add(msg.Verdicts)
	}
	select {
	case b.pending <- msg:
	default:
		event.Log(b.d.log, event.NoticeDropped, event.Fields{"waiting": maxPendingNotices})
	}
}

// run sends notices until ctx ends.
func (b *broadcaster) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case msg := <-b.pending:
			b.send(ctx, msg)
		}
	}
}

// send sends a notice to all other nodes. Nodes that it cannot reach read the verdicts from the store.
func (b *broadcaster) send(ctx context.Context, msg notice) {
	if b.client == nil {
		return
	}
	msg.SentAt = time.Now()
	var g errgroup.Group
	g.SetLimit(noticeConcurrency)
	for _, other := range b.view().Nodes {
		if other.Name == b.d.node {
			continue
		}
		g.Go(func() error {
			_, err := node.Call[notice, noticeAnswer](ctx, b.client, other.Addr, pathNotice, msg)
			return err
		})
	}
	_ = g.Wait()
}

// mayRunSuspects reports whether this node may run suspects on a server. Only one of the nodes that use the server
// may, so that no two run suspects on it at the same time.
func (d *Dispatcher) mayRunSuspects(server string) bool {
	users := d.users(server)
	return len(users) == 0 || ownership.OwnerAmong(users, ownership.KindSuspects, server) == d.node
}

// users returns the names of the nodes that use a server, by default all live nodes.
func (d *Dispatcher) users(server string) []string {
	if d.usersOf != nil {
		return d.usersOf(server)
	}
	if d.broadcast.view == nil {
		return nil
	}
	var all []string
	for _, n := range d.broadcast.view().Nodes {
		all = append(all, n.Name)
	}
	return all
}

// Quarantined implements operator.Quarantine.
func (d *Dispatcher) Quarantined() []operator.QuarantineEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := []operator.QuarantineEntry{}
	for _, e := range d.scheduler.Quarantined(time.Now()) {
		list = append(list, operator.QuarantineEntry{
			Fingerprint: formatFingerprint(e.Fingerprint),
			Account:     e.Account,
			Reason:      fmt.Sprintf("was in flight at %d crashes, last of server %s", e.Crashes, e.Server),
			Since:       e.CrashedAt,
			Until:       e.Expires,
		})
	}
	return list
}

// Release implements operator.Quarantine.
func (d *Dispatcher) Release(_ context.Context, fingerprint, name string) error {
	fp, err := strconv.ParseUint(fingerprint, 16, 64)
	if err != nil {
		return &operator.Failure{Code: operator.CodeInvalid, Message: fmt.Sprintf("fingerprint %q is not 16 hexadecimal digits", fingerprint)}
	}
	d.mu.Lock()
	entry, ok := d.scheduler.Release(fp, time.Now())
	d.mu.Unlock()
	if !ok {
		return &operator.Failure{Code: operator.CodeNotFound, Message: fmt.Sprintf("request %s is not in quarantine", fingerprint)}
	}
	event.Log(d.log, event.QuarantineReleased, event.Fields{"fingerprint": fingerprint, "operator": name})
	d.broadcast.enqueue(notice{Verdicts: []quarantine.Entry{entry}})
	return nil
}

func formatFingerprint(fp uint64) string { return fmt.Sprintf("%016x", fp) }
