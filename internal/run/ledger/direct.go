// This file defines how repeatable calls are sent and retried, without a record in the ledger.

package ledger

import (
	"context"
	"errors"
	"net/http"

	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/edge/caller"
	"ebonyferry/internal/edge/service"
)

// maxAttempts bounds the attempts of one repeatable call.
const maxAttempts = 3

// callRepeatable calls the servers of a service in turn until one gives a final answer, within maxAttempts and the
// retry budget. If the last attempt got a transient answer, it returns that answer.
func (m *Manager) callRepeatable(ctx context.Context, call caller.ServiceCall) (caller.ServiceAnswer, error) {
	servers := m.servers(call.Service)
	if len(servers) == 0 {
		return caller.ServiceAnswer{}, retryableRefusal(caller.ReasonNoServer, "no server of the service is in service")
	}
	wait := newBackOff()
	sent := false
	var answer service.Answer
	err := error(service.ErrNotSent)
	for i := range maxAttempts {
		if i > 0 && (!m.allowRetry(call.Account) || !pause.For(ctx, wait.NextBackOff())) {
			break
		}
		answer, err = m.services.Call(ctx, servers[i%len(servers)].Addr, service.Call{
			Method:      call.Method,
			Path:        call.Path,
			ContentType: call.ContentType,
			Body:        call.Body,
		})
		if err == nil && !transient(answer.Status) {
			return fromService(answer), nil
		}
		sent = sent || !errors.Is(err, service.ErrNotSent)
	}
	if err == nil {
		return fromService(answer), nil
	}
	return caller.ServiceAnswer{}, failedCall(ctx, err, sent)
}

// transient reports whether another attempt may succeed after an answer with this status.
func transient(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// failedCall returns the error of a call whose last attempt got no answer: the context's error, or else a refusal.
func failedCall(ctx context.Context, err error, sent bool) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	r := retryableRefusal(caller.ReasonRetryBudget, err.Error())
	if !sent {
		r.Reason = caller.ReasonNoServer
	}
	r.NotRun = !sent
	return r
}
