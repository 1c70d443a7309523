// This file defines how nodes count the requests that began to run and send the counts to those that may report them.

package duty

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/duty"
	"ebonyferry/internal/edge/node"
)

const (
	pathUsage = "/duty/usage"
	pathRows  = "/duty/rows"
)

const (
	// messageTimeout bounds a message between nodes.
	messageTimeout = 700 * time.Millisecond
	// sendMin and sendMax bound the time between two messages with counts, and sendPerNode is what each node adds to it: a candidate receives
	// the messages of all nodes, and 50 a second take about half a percent of a core. A window is summed three seconds after its end.
	sendMin     = 500 * time.Millisecond
	sendMax     = 1500 * time.Millisecond
	sendPerNode = 20 * time.Millisecond
	// resendAge is the age from which counts are not sent any more. It is below the age from which they are rejected.
	resendAge = duty.MaxAge - 5*time.Second
	// maxRoundTrip is the longest exchange of messages whose times are compared.
	maxRoundTrip = 200 * time.Millisecond
	// rejectedGap is the least time between two lines about rejected counts.
	rejectedGap = 10 * time.Second
)

// usageMessage is what one process of a node counted. The counts of each window are those of the whole window so far.
type usageMessage struct {
	Nonce   string                 `json:"nonce"`
	Through int64                  `json:"through"` // Unix milliseconds up to which the counts are complete
	Windows map[uint64]duty.Counts `json:"windows,omitempty"`
	Waiting map[string]float64     `json:"waiting,omitempty"` // what waiting requests need, in full servers by service
}

type usageAnswer struct {
	Nonce    string `json:"nonce"`              // of the receiver's process
	Now      int64  `json:"now"`                // true time at the receiver, Unix milliseconds
	Rejected string `json:"rejected,omitempty"` // why nothing of the message was added
}

// rowsRequest asks a node for what it holds of the windows from one on.
type rowsRequest struct {
	From uint64 `json:"from"`
}

type rowsAnswer struct {
	Rows  []duty.Row  `json:"rows"`
	Known duty.Stored `json:"known"` // reports that the store holds or held
}

// recipient is what this node sent to a node that may report.
type recipient struct {
	nonce   string    // of its process
	changes uint64    // of the counter that it has
	through time.Time // of the last message
	waits   bool      // the last message said that requests wait
}

// Count counts a request of a client account that began to run at a time. Requests without an account are not counted.
func (s *Service) Count(account string, began time.Time) {
	if account == "" || !s.has(duty.Usage) {
		return
	}
	// The time since then is that of the monotonic clock, so that the time is a true one even if the wall clock has been set since.
	window := s.windows.At(s.now().Add(-time.Since(began)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter.Add(window, account)
}

// sendCounts sends the counts until ctx ends.
func (s *Service) sendCounts(ctx context.Context) error {
	for pause.For(ctx, pause.Between(s.sendPeriod()*9/10, s.sendPeriod())) {
		s.sendOnce(ctx)
	}
	return nil
}

func (s *Service) sendPeriod() time.Duration {
	return min(max(sendMin, time.Duration(len(s.fleet.Nodes()))*sendPerNode), sendMax)
}

// sendOnce sends what changed. A node that is not reached gets it with the next message.
func (s *Service) sendOnce(ctx context.Context) {
	s.countOwn()
	waiting := s.ownWaiting()
	var group errgroup.Group
	for _, to := range s.reporters() {
		msg, changes, through, ok := s.messageTo(to.Name, waiting)
		if !ok {
			continue
		}
		group.Go(func() error {
			answer, err := node.Call[usageMessage, usageAnswer](ctx, s.peers, to.Addr, pathUsage, msg)
			if err != nil {
				return nil
			}
			if now := s.now(); now.Sub(through) < maxRoundTrip {
				s.observeClock(to.Name, time.UnixMilli(answer.Now).Sub(through.Add(now.Sub(through)/2)))
			}
			if answer.Rejected == "" {
				s.recordSent(to.Name, answer.Nonce, recipient{changes: changes, through: through, waits: len(waiting) > 0})
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors
}

// reporters returns the other nodes that may hold duties: the candidates, and the holders if they are none any more.
func (s *Service) reporters() []Peer {
	list := slices.Clone(s.fleet.Candidates())
	named := func(name string) func(Peer) bool { return func(p Peer) bool { return p.Name == name } }
	for _, holder := range s.holders() {
		if slices.ContainsFunc(list, named(holder)) {
			continue
		}
		nodes := s.fleet.Nodes()
		if i := slices.IndexFunc(nodes, named(holder)); i >= 0 {
			list = append(list, nodes[i])
		}
	}
	return slices.DeleteFunc(list, named(s.cfg.Self))
}

// holders returns the names of the holders in the node's copy of the store.
func (s *Service) holders() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, t := range s.terms {
		if t.heldName != "" {
			names = append(names, t.heldName)
		}
	}
	return names
}

// countOwn adds the counts of this node to its own table, and drops those that are too old to be sent.
func (s *Service) countOwn() {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter.Forget(s.windows.At(now.Add(-resendAge)))
	counts, _ := s.counter.Since(0)
	s.table.Forget(now)
	row := duty.Row{Source: duty.Source{Node: s.cfg.Self, Nonce: s.nonce}, Through: now, Windows: counts}
	if rejected, err := s.table.Merge(row, now); err != nil || len(rejected) > 0 {
		s.logRejected(s.cfg.Self, rejected, err)
	}
}

// messageTo returns the next message to a node. There is none if nothing changed, no request waits, and the node knows that the counts of
// the last window are complete.
func (s *Service) messageTo(name string, waiting map[string]float64) (msg usageMessage, changes uint64, through time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.recipients[name]
	if r == nil {
		r = new(recipient)
		s.recipients[name] = r
	}
	through = s.now()
	counts, changes := s.counter.Since(r.changes)
	if len(counts) == 0 && len(waiting) == 0 && !r.waits && s.windows.At(through) == s.windows.At(r.through) {
		return usageMessage{}, 0, time.Time{}, false
	}
	return usageMessage{Nonce: s.nonce, Through: through.UnixMilli(), Windows: counts, Waiting: waiting}, changes, through, true
}

// recordSent records what a node has received. A node that has started again gets everything with the next message.
func (s *Service) recordSent(name, nonce string, sent recipient) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.recipients[name]
	if r.nonce != "" && r.nonce != nonce {
		*r = recipient{nonce: nonce}
		return
	}
	sent.nonce = nonce
	*r = sent
}

// handleUsage adds the counts of another node. One whose clock is wrong learns that from the answer.
func (s *Service) handleUsage(_ context.Context, from node.Sender, msg usageMessage) (usageAnswer, error) {
	now := s.now()
	// A message may have waited while this node was paused, so only a sender that is ahead says something of this node's clock.
	s.observeClock(from.Name, max(0, time.UnixMilli(msg.Through).Sub(now)))
	row := duty.Row{Source: duty.Source{Node: from.Name, Nonce: msg.Nonce}, Through: time.UnixMilli(msg.Through), Windows: msg.Windows}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rejected []uint64
	err := checkWaiting(msg.Waiting)
	if err == nil {
		rejected, err = s.table.Merge(row, now)
	}
	if err == nil {
		s.waiting[from.Name] = nodeWaiting{msg.Waiting, time.Now()}
	}
	if err != nil || len(rejected) > 0 {
		s.logRejected(from.Name, rejected, err)
	}
	answer := usageAnswer{Nonce: s.nonce, Now: now.UnixMilli()}
	if err != nil {
		answer.Rejected = err.Error()
	}
	return answer, nil
}

// logRejected logs counts that were not added, at most one line in rejectedGap. The caller holds mu.
func (s *Service) logRejected(from string, windows []uint64, err error) {
	now := time.Now()
	if now.Sub(s.rejected) < rejectedGap {
		return
	}
	s.rejected = now
	fields := event.Fields{"node": from, "windows": windows}
	if err != nil {
		fields["cause"] = err.Error()
	}
	event.Log(s.log, event.CountsRejected, fields)
}

func (s *Service) handleRows(_ context.Context, _ node.Sender, req rowsRequest) (rowsAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rowsAnswer{Rows: s.table.Rows(req.From), Known: s.history.Known(req.From)}, nil
}

// pull asks the other nodes that may report for what they hold from a window on: one that joined a moment ago lacks the counts of nodes
// that have failed since.
func (s *Service) pull(ctx context.Context, from uint64) {
	var group errgroup.Group
	for _, p := range s.reporters() {
		group.Go(func() error {
			answer, err := node.Call[rowsRequest, rowsAnswer](ctx, s.peers, p.Addr, pathRows, rowsRequest{from})
			if err != nil {
				event.Log(s.log, event.CountsIncomplete, event.Fields{"node": p.Name, "window": from, "cause": err.Error()})
				return nil
			}
			s.addRows(p.Name, answer)
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors
}

func (s *Service) addRows(from string, answer rowsAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.closedAhead(answer.Known.Closed, now) {
		s.logRejected(from, []uint64{answer.Known.Closed}, nil)
		return
	}
	s.history.Remember(answer.Known)
	for _, row := range answer.Rows {
		if row.Node == s.cfg.Self && row.Nonce == s.nonce {
			continue
		}
		if rejected, err := s.table.Merge(row, now); err != nil || len(rejected) > 0 {
			s.logRejected(from, rejected, err)
		}
	}
}
