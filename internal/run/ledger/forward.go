// This file defines how a call reaches the owner of its partition.

package ledger

import (
	"context"
	"errors"
	"net"
	"time"

	"ebonyferry/internal/core/ledger"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/edge/caller"
	"ebonyferry/internal/edge/node"
)

const pathCall = "/node/ledger/call"

// maxFailedForwards is the number of failed messages to owners after which a node runs a call itself.
const maxFailedForwards = 3

// callMessage forwards a call to the owner.
type callMessage struct {
	Account        string        `json:"account"`
	Service        string        `json:"service"`
	Method         string        `json:"method"`
	Path           string        `json:"path"`
	ContentType    string        `json:"contentType,omitempty"`
	Body           []byte        `json:"body,omitempty"`
	IdempotencyKey string        `json:"idempotencyKey"`
	Timeout        time.Duration `json:"timeout"` // nanoseconds until the deadline
}

// callResult returns the result of a forwarded call. One of Answer, Refusal and Unknown is set.
type callResult struct {
	Answer  *answerMessage  `json:"answer,omitempty"`
	Refusal *refusalMessage `json:"refusal,omitempty"`
	Unknown string          `json:"unknown,omitempty"` // why the outcome is unknown
}

type answerMessage struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Replayed    bool   `json:"replayed,omitempty"`
}

type refusalMessage struct {
	Reason     string        `json:"reason"`
	Message    string        `json:"message"`
	NotRun     bool          `json:"notRun"`
	RetryAfter time.Duration `json:"retryAfter,omitempty"` // nanoseconds
}

// callOnce runs a call at the owner of its partition, or at this node if the owner is unreachable.
//
// Once a message may have reached a node, that node may have run the call. A later refusal by another node then
// does not mean that the call did not run, so callOnce reports an unknown outcome instead.
func (m *Manager) callOnce(ctx context.Context, call caller.ServiceCall) (caller.ServiceAnswer, error) {
	number := ledger.NewID(call.Account, call.Service, call.IdempotencyKey).Partition()
	mayHaveRun := false
	var receiver membership.Node
	for failures := 0; failures < maxFailedForwards; {
		target, ok := m.receiverOrOwner(receiver, number)
		if !ok || target.Name == m.views.View().Self {
			break
		}
		answer, err := m.forward(ctx, target, call)
		if !errors.Is(err, node.ErrUnreachable) && !errors.Is(err, node.ErrRefused) {
			return answer, outcomeError(err, mayHaveRun)
		}
		mayHaveRun = mayHaveRun || !notReceived(err)
		receiver = target
		if notReceived(err) || !errors.Is(err, context.DeadlineExceeded) {
			receiver = membership.Node{}
			failures++
		}
		if ctx.Err() != nil {
			return caller.ServiceAnswer{}, ctx.Err()
		}
		if !time.Now().Before(call.Deadline) {
			return caller.ServiceAnswer{}, outcomeError(retryableRefusal(caller.ReasonNotReady, "the ledger's owner did not answer in time"), mayHaveRun)
		}
	}
	answer, err := m.partitions[number].callOnce(ctx, call)
	return answer, outcomeError(err, mayHaveRun)
}

// receiverOrOwner returns receiver if that incarnation of the node is still live, and otherwise the owner. A receiver
// that did not answer within the timeout of a message may still be running the call. No other node has the answer of
// that run, even if the partition has another owner by now.
func (m *Manager) receiverOrOwner(receiver membership.Node, number int) (membership.Node, bool) {
	current, ok := m.views.View().Node(receiver.Name)
	if ok && current.Epoch == receiver.Epoch {
		return current, true
	}
	return m.owner(number)
}

// outcomeError returns err, or ErrOutcomeUnknown if err refuses a call that may have run.
func outcomeError(err error, mayHaveRun bool) error {
	if mayHaveRun && errors.Is(err, caller.ErrRefused) {
		return errors.Join(caller.ErrOutcomeUnknown, errors.New(err.Error()))
	}
	return err
}

// notReceived reports whether a message certainly did not reach its receiver.
func notReceived(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (m *Manager) forward(ctx context.Context, target membership.Node, call caller.ServiceCall) (caller.ServiceAnswer, error) {
	result, err := node.Call[callMessage, callResult](ctx, m.peers, target.Addr, pathCall, callMessage{
		Account:        call.Account,
		Service:        call.Service,
		Method:         call.Method,
		Path:           call.Path,
		ContentType:    call.ContentType,
		Body:           call.Body,
		IdempotencyKey: call.IdempotencyKey,
		Timeout:        time.Until(call.Deadline),
	})
	if err != nil {
		return caller.ServiceAnswer{}, err
	}
	switch {
	case result.Answer != nil:
		a := result.Answer
		if err := checkStatus(a.Status); err != nil {
			return caller.ServiceAnswer{}, err
		}
		return caller.ServiceAnswer{Status: a.Status, ContentType: a.ContentType, Body: a.Body, Replayed: a.Replayed}, nil
	case result.Refusal != nil:
		r := result.Refusal
		return caller.ServiceAnswer{}, &caller.Refusal{Reason: r.Reason, Message: r.Message, NotRun: r.NotRun, RetryAfter: r.RetryAfter}
	default:
		return caller.ServiceAnswer{}, errors.Join(caller.ErrOutcomeUnknown, errors.New(result.Unknown))
	}
}

// handleCall runs a call for another node. It never forwards the call, even if this node does not consider itself
// the owner, so a call makes at most one hop.
func (m *Manager) handleCall(ctx context.Context, _ node.Sender, msg callMessage) (callResult, error) {
	call := caller.ServiceCall{
		Account:        msg.Account,
		Service:        msg.Service,
		Method:         msg.Method,
		Path:           msg.Path,
		ContentType:    msg.ContentType,
		Body:           msg.Body,
		IdempotencyKey: msg.IdempotencyKey,
		Deadline:       time.Now().Add(msg.Timeout),
	}
	number := ledger.NewID(call.Account, call.Service, call.IdempotencyKey).Partition()
	answer, err := m.partitions[number].callOnce(ctx, call)
	var r *caller.Refusal
	switch {
	case err == nil:
		return callResult{Answer: &answerMessage{answer.Status, answer.ContentType, answer.Body, answer.Replayed}}, nil
	case errors.As(err, &r):
		return callResult{Refusal: &refusalMessage{r.Reason, r.Message, r.NotRun, r.RetryAfter}}, nil
	default:
		return callResult{Unknown: err.Error()}, nil
	}
}
