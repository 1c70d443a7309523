package ledger

import (
	"context"
	"errors"
	"net/http"

	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/edge/caller"
	"ebonyferry/internal/edge/service"
)

// This file defines calls that may be repeated.

// maxAttempts bounds the attempts of one call that may be repeated.
const maxAttempts = 3

// Calls the servers of a service in turn until one answers, within the budget for retries.
func (m *Manager) callRepeatable(ctx context.Context, call caller.ServiceCall) (caller.ServiceAnswer, error) {
	servers := m.servers(call.Service)
	if len(servers) == 0 {
		return caller.ServiceAnswer{}, busy(caller.ReasonNoServer, "no server of the service is in service")
	}
	wait := newBackOff()
	sent := false
	var answer service.Answer
	err := error(service.ErrNotSent)
	for i := range maxAttempts {
		if i > 0 && (!m.mayRetry(call.Account) || !pause.For(ctx, wait.NextBackOff())) {
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
	return caller.ServiceAnswer{}, failed(ctx, err, sent)
}

// Reports whether an answer says that another attempt may fare better.
func transient(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// Returns the refusal of a call that no attempt brought to an end.
func failed(ctx context.Context, err error, sent bool) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	r := busy(caller.ReasonRetryBudget, err.Error())
	if !sent {
		r.Reason = caller.ReasonNoServer
	}
	r.NotRun = !sent
	return r
}
