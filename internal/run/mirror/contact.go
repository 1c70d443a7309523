// This file defines what a mirror logs about its sources and their answers.

package mirror

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/apex/log"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/base/progress"
)

// largeAnswer is the size in bytes from which an answer is logged: more than a burst of changes of servers.
const largeAnswer = 64 << 10

// logLargeAnswer logs an answer that was applied a time after its request was sent.
func (m *Mirror) logLargeAnswer(from netip.AddrPort, a progress.Arrival, applied time.Duration) {
	if a.Bytes < largeAnswer {
		return
	}
	event.Log(m.log, event.LargeAnswer, event.Fields{
		"from": from.String(), "bytes": a.Bytes, "firstByteMs": a.FirstByte.Milliseconds(), "arrivedMs": a.Duration.Milliseconds(),
		"applyMs": (applied - a.Duration).Milliseconds(),
	})
}

// logGivenUp logs a call to a node or, if from is not valid, to the store whose answer did not arrive in full, at most once in
// sourceLogPeriod.
func (m *Mirror) logGivenUp(from netip.AddrPort, err error) {
	var incomplete *progress.IncompleteError
	if !errors.As(err, &incomplete) {
		return
	}
	m.mu.Lock()
	now := time.Now()
	logged := now.Sub(m.givenUpLoggedAt) < sourceLogPeriod
	if !logged {
		m.givenUpLoggedAt = now
	}
	m.mu.Unlock()
	if logged {
		return
	}
	fields := event.Fields{
		"bytes": incomplete.Bytes, "firstByteMs": incomplete.FirstByte.Milliseconds(), "durationMs": incomplete.Duration.Milliseconds(),
		"cause": incomplete.Err.Error(),
	}
	if from.IsValid() {
		fields["from"] = from.String()
	}
	event.Log(m.log, event.AnswerGivenUp, fields)
}

// sourceLogPeriod is the least time between two lines about the sources.
const sourceLogPeriod = time.Second

// sourceState is where a node receives the store's data from.
type sourceState struct {
	sources    []netip.AddrPort
	substitute netip.AddrPort
	watcher    bool
	confirmed  bool // a source confirms the data
	refused    bool // the node's last call to the store failed
}

func (m *Mirror) sourceState() sourceState {
	s := sourceState{watcher: true}
	if m.peers != nil {
		s.sources, s.watcher = m.peers.Sources()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s.confirmed, s.refused, s.substitute = slices.Contains(m.confirming[:], true), m.storeFailing, m.substitute
	return s
}

func (s sourceState) equal(o sourceState) bool {
	return s.watcher == o.watcher && s.confirmed == o.confirmed && s.refused == o.refused && s.substitute == o.substitute &&
		slices.Equal(s.sources, o.sources)
}

func (s sourceState) log(l log.Interface) {
	addrs := make([]string, len(s.sources))
	for i, a := range s.sources {
		addrs[i] = a.String()
	}
	fields := event.Fields{"sources": addrs, "watcher": s.watcher, "confirmed": s.confirmed, "refused": s.refused}
	if s.substitute.IsValid() {
		fields["substitute"] = s.substitute.String()
	}
	event.Log(l, event.SourcesChanged, fields)
}

// logStoreContact logs when the mirror's confirmation becomes older than MaxConfirmationAge, when it is current again, and
// when its sources change. It also observes whether the process runs.
func (m *Mirror) logStoreContact(ctx context.Context) error {
	lost := false
	var sources sourceState
	var loggedAt time.Time
	for pause.For(ctx, idleWait) {
		now := time.Now()
		m.tick(now)
		if next := m.sourceState(); !next.equal(sources) && now.Sub(loggedAt) >= sourceLogPeriod {
			sources, loggedAt = next, now
			next.log(m.log)
		}
		state := m.State()
		age := time.Since(state.ConfirmedAt)
		if old := age > m.timing.MaxConfirmationAge; old != lost {
			lost = old
			ev := event.StoreRegained
			if lost {
				ev = event.StoreLost
			}
			event.Log(m.log, ev, event.Fields{"era": state.Revision.Era(), "revision": state.Revision.Number(), "ageMs": age.Milliseconds()})
		}
	}
	return nil
}
