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

// This file defines how a call reaches the owner of its partition.

const pathCall = "/node/ledger/call"

// maxForwards bounds the messages to owners that fail for one call, before the node acts itself.
const maxForwards = 3

// callMessage carries a call to the owner.
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

// callResult carries the result back. One of Answer, Refusal and Unknown is set.
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

// Runs a call at the owner of its partition, or here when the owner is out of reach.
//
// Once a message may have reached a node, that node may have run the call. A refusal that another node gives
// later is then no longer the truth about the call, and the outcome is unknown.
func (m *Manager) callOnce(ctx context.Context, call caller.ServiceCall) (caller.ServiceAnswer, error) {
	number := ledger.NewID(call.Account, call.Service, call.IdempotencyKey).Partition()
	mayHaveRun := false
	var holder membership.Node
	for failed := 0; failed < maxForwards; {
		owner, ok := m.holderOrOwner(holder, number)
		if !ok || owner.Name == m.views.View().Self {
			break
		}
		answer, err := m.forward(ctx, owner, call)
		if !errors.Is(err, node.ErrUnreachable) && !errors.Is(err, node.ErrRefused) {
			return answer, truthful(err, mayHaveRun)
		}
		mayHaveRun = mayHaveRun || !notReceived(err)
		holder = owner
		if notReceived(err) || !errors.Is(err, context.DeadlineExceeded) {
			holder = membership.Node{}
			failed++
		}
		if ctx.Err() != nil {
			return caller.ServiceAnswer{}, ctx.Err()
		}
		if !time.Now().Before(call.Deadline) {
			return caller.ServiceAnswer{}, truthful(busy(caller.ReasonNotReady, "the ledger's owner did not answer in time"), mayHaveRun)
		}
	}
	answer, err := m.partitions[number].callOnce(ctx, call)
	return answer, truthful(err, mayHaveRun)
}

// Returns the node that has a call and did not answer in the time of a message, for as long as it is in the same
// life: the call takes long there, and no other node knows its answer, whoever owns the partition by now. Without
// such a node it returns the owner.
func (m *Manager) holderOrOwner(holder membership.Node, number int) (membership.Node, bool) {
	now, ok := m.views.View().Node(holder.Name)
	if ok && now.Epoch == holder.Epoch {
		return now, true
	}
	return m.owner(number)
}

// Returns err, or ErrOutcomeUnknown for a refusal of a call that may have run.
func truthful(err error, mayHaveRun bool) error {
	if mayHaveRun && errors.Is(err, caller.ErrRefused) {
		return errors.Join(caller.ErrOutcomeUnknown, errors.New(err.Error()))
	}
	return err
}

// Reports whether a message surely did not reach its receiver.
func notReceived(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (m *Manager) forward(ctx context.Context, owner membership.Node, call caller.ServiceCall) (caller.ServiceAnswer, error) {
	result, err := node.Call[callMessage, callResult](ctx, m.peers, owner.Addr, pathCall, callMessage{
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
		return caller.ServiceAnswer{Status: a.Status, ContentType: a.ContentType, Body: a.Body, Replayed: a.Replayed}, nil
	case result.Refusal != nil:
		r := result.Refusal
		return caller.ServiceAnswer{}, &caller.Refusal{Reason: r.Reason, Message: r.Message, NotRun: r.NotRun, RetryAfter: r.RetryAfter}
	default:
		return caller.ServiceAnswer{}, errors.Join(caller.ErrOutcomeUnknown, errors.New(result.Unknown))
	}
}

// Runs a call for another node. It does so whether or not this node holds itself to be the owner, so a call
// goes one hop at most.
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
