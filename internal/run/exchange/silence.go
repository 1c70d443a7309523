// This file defines how nodes find out that requests silence the servers that run them: the server sends nothing until the deadline of the
// request, does not answer when asked for a report, and its registration lapses. Each alone has other causes. A server that
// announced its stop, or whose registration lapsed in an outage of the store, shows nothing.

package exchange

import (
	"context"
	"errors"
	"slices"
	"time"

	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/quarantine"
)

const (
	// lapseTime is how long after a request was lost the registration of a server that fell silent lapses at most.
	lapseTime = 8 * time.Second
	// maxSilent bounds the requests whose servers are watched.
	maxSilent = 64
)

// silentRequest is a request that was lost at a server which sent nothing until the deadline.
type silentRequest struct {
	adm    *Admitted
	server backend.Server
	at     time.Time
}

// watchSilent watches the server of a request that got no answer until its deadline, unless the server still answers.
func (rt *Runtime) watchSilent(ctx context.Context, adm *Admitted, srv backend.Server) {
	at := time.Now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout)
	defer cancel()
	if _, err := rt.upstream.Report(ctx, srv); err == nil || errors.Is(err, ErrMalformed) {
		return
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if rt.leaving(srv, at) || rt.awaitsFreshData(at) {
		return
	}
	rt.silent = append(rt.silent, silentRequest{adm, srv, at})
	rt.silent = rt.silent[max(0, len(rt.silent)-maxSilent):]
}

// judgeSilent records a crash for each watched request whose server has lost its registration without notice. The caller holds mu.
func (rt *Runtime) judgeSilent(now time.Time) {
	rt.silent = slices.DeleteFunc(rt.silent, func(s silentRequest) bool {
		current, listed := rt.pool.Get(s.server.ID)
		switch {
		case now.Sub(s.at) > lapseTime:
			return true
		case listed && current.StartedAt.Equal(s.server.StartedAt):
			return current.Draining
		}
		rt.recordCrash(quarantine.PartCrash{ID: crashID(s.adm, s.server), Server: processOf(s.server), At: s.at, Parts: s.adm.parts})
		return true
	})
}
