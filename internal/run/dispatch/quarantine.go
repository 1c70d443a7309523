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

// This file defines how crashes and verdicts become known on every node: by a message from the node that saw
// them, and for nodes that miss it or start later by the store.

const (
	pathNotice  = "/dispatch/notice"
	maxNotices  = 256 // that wait to be sent; a crash that finds no room is not spread
	noticeFanIn = 32  // messages under way at once
)

// WithUsers sets what names the nodes that use a server. It must not call the dispatcher.
func WithUsers(fn func(server string) []string) Option {
	return func(d *Dispatcher) { d.usersOf = fn }
}

// WithPeers sets how the other nodes are reached. Suspects then run on a server at one node only.
func WithPeers(client *node.Client, view func() *membership.View) Option {
	return func(d *Dispatcher) { d.spread.client, d.spread.view = client, view }
}

// WithVerdicts sets the store that keeps verdicts.
func WithVerdicts(s VerdictStore) Option {
	return func(d *Dispatcher) { d.spread.store = newVerdicts(s) }
}

// spreader makes crashes and verdicts known.
type spreader struct {
	d      *Dispatcher
	client *node.Client            // nil: there are no other nodes
	view   func() *membership.View // nil with client
	store  *verdicts               // nil: verdicts are not kept
	notice chan notice             // waiting to be sent
}

// notice is what one node tells the others.
type notice struct {
	Crash    *quarantine.Crash  `json:"crash,omitempty"`
	Verdicts []quarantine.Entry `json:"verdicts,omitempty"` // or releases
}

type noticeAnswer struct{}

// Mount adds the messages between nodes to the router of the node-to-node listener.
func (d *Dispatcher) Mount(router chi.Router) {
	node.Handle(router, pathNotice, func(_ context.Context, _ node.Sender, msg notice) (noticeAnswer, error) {
		d.hear(msg)
		return noticeAnswer{}, nil
	})
}

// Hear takes what another node or the store tells.
func (d *Dispatcher) hear(msg notice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if msg.Crash != nil {
		d.scheduler.RecordCrash(*msg.Crash, now)
	}
	for _, v := range msg.Verdicts {
		d.scheduler.RecordVerdict(v, now)
	}
	d.poll(now)
}

func (s *spreader) crashed(c quarantine.Crash, verdicts []quarantine.Entry) {
	event.Log(s.d.log, event.ServerCrashed, event.Fields{"server": c.Server, "inFlight": len(c.InFlight)})
	for _, v := range verdicts {
		event.Log(s.d.log, event.RequestQuarantined, event.Fields{
			"fingerprint": formatFingerprint(v.Fingerprint), "account": v.Account, "server": v.Server, "crashes": v.Crashes,
		})
	}
	s.tell(notice{Crash: &c, Verdicts: verdicts})
}

// Tell spreads a notice in the background.
func (s *spreader) tell(msg notice) {
	if s.store != nil {
		s.store.keep(msg.Verdicts)
	}
	select {
	case s.notice <- msg:
	default:
		event.Log(s.d.log, event.NoticeDropped, event.Fields{"waiting": maxNotices})
	}
}

// Run sends notices until ctx ends.
func (s *spreader) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case msg := <-s.notice:
			s.send(ctx, msg)
		}
	}
}

// Send tells all other nodes. Those that cannot be reached learn verdicts from the store.
func (s *spreader) send(ctx context.Context, msg notice) {
	if s.client == nil {
		return
	}
	var g errgroup.Group
	g.SetLimit(noticeFanIn)
	for _, other := range s.view().Nodes {
		if other.Name == s.d.node {
			continue
		}
		g.Go(func() error {
			_, err := node.Call[notice, noticeAnswer](ctx, s.client, other.Addr, pathNotice, msg)
			return err
		})
	}
	_ = g.Wait()
}

// MayRunSuspects reports whether this node runs suspects on the server: one of the nodes that use it does, so
// that no two run theirs there.
func (d *Dispatcher) mayRunSuspects(server string) bool {
	users := d.users(server)
	return len(users) == 0 || ownership.OwnerAmong(users, ownership.KindSuspects, server) == d.node
}

// Returns the names of the nodes that use a server: all live nodes when nothing else is known.
func (d *Dispatcher) users(server string) []string {
	if d.usersOf != nil {
		return d.usersOf(server)
	}
	if d.spread.view == nil {
		return nil
	}
	var all []string
	for _, n := range d.spread.view().Nodes {
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
	d.spread.tell(notice{Verdicts: []quarantine.Entry{entry}})
	return nil
}

func formatFingerprint(fp uint64) string { return fmt.Sprintf("%016x", fp) }
