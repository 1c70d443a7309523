// This file serves the routes that change what is in force.

package operator

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/document"
	"ebonyferry/internal/edge/kvstore"
)

const (
	// changeTimeout limits a change, so that the operator gets an answer when the store is down.
	changeTimeout = 8 * time.Second
	// maxRaces limits the attempts at a change when other changes keep coming first.
	maxRaces = 8
	// nonceHistory is how many of the latest heads are searched for the nonce of a retried change.
	nonceHistory     = 32
	defaultHistory   = 20
	maxHistory       = 200
	maxNonceLength   = 64 // bytes
	tokenSecretBytes = 32
	// defaultTokenLifetime is how long a token key created without a lifetime is accepted.
	defaultTokenLifetime = 90 * 24 * time.Hour
)

func (s *Server) registerChanges(r chi.Router) {
	r.Post("/changes/rollForward", s.handle(s.rollForward))
	r.Post("/changes/rollBack", s.handle(s.rollBack))
	r.Post("/changes/mark", s.handle(s.mark))
	r.Post("/changes/keys", s.handle(s.editKeys))
	r.Post("/keys/signoffs", s.handle(s.signOffEdit))
	r.Post("/changes/verdict", s.handle(s.verdict))
	r.Get("/rollouts", s.handle(s.rollouts))
	r.Get("/history", s.handle(s.history))
}

// decision returns the head that a change produces from the configuration in force.
type decision func(ctx context.Context, in *bundle.InForce, req bundle.ChangeRequest) (bundle.Head, error)

// change decides and writes a change. When another change comes first, it decides again from the new head.
// Changes of different things therefore both take effect; decide returns an error if the other change was of the
// same thing.
func (s *Server) change(r request, c ChangeOptions, decide decision) (ChangeResult, error) {
	if c.Nonce == "" || len(c.Nonce) > maxNonceLength {
		return ChangeResult{}, &Failure{Code: CodeInvalid, Message: fmt.Sprintf("nonce must have 1 to %d characters", maxNonceLength)}
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	req := bundle.ChangeRequest{By: r.operator, Nonce: c.Nonce, At: s.now().UTC(), Force: c.Force}
	if c.Retry {
		if done, err := s.findNonce(ctx, req); err != nil || done != nil {
			return ChangeResult{Head: deref(done), AlreadyApplied: true}, err
		}
	}
	var race *document.RaceError
	for range maxRaces {
		next, err := s.attempt(ctx, r, c, req, decide)
		if !errors.As(err, &race) || errors.Is(err, errConflict) {
			return ChangeResult{Head: next}, err
		}
	}
	return ChangeResult{}, race
}

// errConflict marks a lost race after which change does not decide again.
var errConflict = errors.New("another change of the same thing came first")

// conflictWith returns an error that wraps errConflict and a RaceError with the head that won.
func conflictWith(h bundle.Head) error {
	return fmt.Errorf("%w: %w", errConflict, &document.RaceError{Head: h})
}

func deref(h *bundle.Head) bundle.Head {
	if h == nil {
		return bundle.Head{}
	}
	return *h
}

// attempt decides and writes a change once, from the head now in the store.
func (s *Server) attempt(ctx context.Context, r request, c ChangeOptions, req bundle.ChangeRequest, decide decision) (bundle.Head, error) {
	head, at, err := document.LoadHead(ctx, s.store)
	if err != nil {
		return bundle.Head{}, err
	}
	if head.Nonce == req.Nonce && head.ChangedBy == req.By {
		return head, nil
	}
	if c.IfRevision != 0 && head.Revision != c.IfRevision {
		return bundle.Head{}, conflictWith(head)
	}
	in, err := document.Load(ctx, s.store, head, r.in)
	if err != nil {
		return bundle.Head{}, err
	}
	// This node's keys may be out of date: the operator must still have the key under the keys in force.
	if err := r.signature.verify(in.Keys); err != nil {
		return bundle.Head{}, err
	}
	next, err := decide(ctx, in, req)
	if err != nil {
		return bundle.Head{}, err
	}
	return next, document.SwitchHead(ctx, s.store, head, at, next)
}

// findNonce returns the head that a change with the nonce of req produced, or nil if none of the latest
// nonceHistory heads has it.
func (s *Server) findNonce(ctx context.Context, req bundle.ChangeRequest) (*bundle.Head, error) {
	head, _, err := document.LoadHead(ctx, s.store)
	if err != nil {
		return nil, err
	}
	for range nonceHistory {
		if head.Nonce == req.Nonce && head.ChangedBy == req.By {
			return &head, nil
		}
		if head.Revision <= 1 {
			return nil, nil
		}
		head, err = document.HeadAt(ctx, s.store, head.Revision-1)
		if errors.Is(err, kvstore.ErrNotFound) {
			return nil, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, nil
}

func (s *Server) rollForward(r request) (any, error) {
	var msg RollForward
	if err := r.decode(&msg); err != nil {
		return nil, err
	}
	b, err := s.bundle(r, msg.BundleID)
	if err != nil {
		return nil, err
	}
	return s.change(r, msg.ChangeOptions, func(ctx context.Context, in *bundle.InForce, req bundle.ChangeRequest) (bundle.Head, error) {
		if msg.Since != in.Head.BundleSince {
			winner, err := document.HeadAt(ctx, s.store, in.Head.BundleSince)
			if err != nil {
				return bundle.Head{}, err
			}
			return bundle.Head{}, conflictWith(winner)
		}
		list, err := document.SignOffs(ctx, s.store, b.ID)
		if err != nil {
			return bundle.Head{}, err
		}
		req.DoneBy = msg.DoneBy
		return in.NextBundle(b, list, req)
	})
}

func (s *Server) rollBack(r request) (any, error) {
	var msg RollBack
	if err := r.decode(&msg); err != nil {
		return nil, err
	}
	return s.change(r, msg.ChangeOptions, func(ctx context.Context, in *bundle.InForce, req bundle.ChangeRequest) (bundle.Head, error) {
		to := msg.ToRevision
		if to == 0 {
			to = in.Head.BundleSince - 1
		}
		if to == 0 {
			return bundle.Head{}, &Failure{Code: CodeNotFound, Message: "no bundle was in force before this one"}
		}
		earlier, err := document.HeadAt(ctx, s.store, to)
		if err != nil {
			return bundle.Head{}, err
		}
		b, err := document.LoadBundle(ctx, s.store, earlier.BundleID)
		if err != nil {
			return bundle.Head{}, err
		}
		return in.NextRollBack(earlier, b, req)
	})
}

func (s *Server) mark(r request) (any, error) {
	var msg MarkChange
	if err := r.decode(&msg); err != nil {
		return nil, err
	}
	var known bundle.KnownNames
	for _, n := range s.fleet.View().Nodes {
		known.VMs = append(known.VMs, n.Name)
		known.FailureDomains = append(known.FailureDomains, n.FailureDomain)
	}
	return s.change(r, msg.ChangeOptions, func(_ context.Context, in *bundle.InForce, req bundle.ChangeRequest) (bundle.Head, error) {
		return in.NextMark(msg.Mark, msg.Out, known, req)
	})
}

func (s *Server) editKeys(r request) (any, error) {
	var msg KeyChange
	if err := r.decode(&msg); err != nil {
		return nil, err
	}
	edit := msg.Edit
	if edit.Kind == bundle.AddTokenKey {
		edit.Secret = make([]byte, tokenSecretBytes)
		rand.Read(edit.Secret)
		if edit.Lifetime <= 0 {
			edit.Lifetime = defaultTokenLifetime
		}
	}
	var previous bundle.Revision
	changed, err := s.change(r, msg.ChangeOptions, func(ctx context.Context, in *bundle.InForce, req bundle.ChangeRequest) (bundle.Head, error) {
		previous = in.Head.KeysRevision
		if err := s.checkEdit(ctx, in, msg.Edit, r.operator); err != nil {
			return bundle.Head{}, err
		}
		keys, err := in.Keys.Apply(edit, req.At)
		if err != nil {
			return bundle.Head{}, err
		}
		keys.Revision, err = s.putKeys(ctx, keys, in.Head.KeysRevision)
		if err != nil {
			return bundle.Head{}, err
		}
		return in.NextKeys(keys, edit.Summary(), req)
	})
	if err == nil && previous > 0 {
		document.DeleteOldKeys(r.Context(), s.store, previous, changed.Head.KeysRevision)
	}
	return changed, err
}

// checkEdit returns an error if an edit lacks sign-offs. It reads them from the store only when some are needed.
func (s *Server) checkEdit(ctx context.Context, in *bundle.InForce, edit bundle.KeyEdit, by string) error {
	if in.CheckEdit(edit, by, nil) == nil {
		return nil
	}
	list, err := document.SignOffs(ctx, s.store, edit.ID())
	if err != nil {
		return err
	}
	return in.CheckEdit(edit, by, list)
}

// signOffEdit stores a sign-off of an edit of the keys.
func (s *Server) signOffEdit(r request) (any, error) {
	var so bundle.SignOff
	if err := r.decode(&so); err != nil {
		return nil, err
	}
	if so.Operator != r.operator || len(so.Subject.BundleID) != fullIDLength {
		return nil, &Failure{Code: CodeInvalid, Message: "the sign-off is for another operator than the request, or for no edit"}
	}
	if err := bundle.CheckSignOff(r.in.Keys, so); err != nil {
		return nil, err
	}
	return so, document.PutSignOff(r.Context(), s.store, so)
}

// putKeys stores keys under the first unused revision after the given one, and returns that revision. A revision
// may have been used by a change that lost a race or whose node failed.
func (s *Server) putKeys(ctx context.Context, keys bundle.Keys, after bundle.Revision) (bundle.Revision, error) {
	for {
		after++
		keys.Revision = after
		err := document.PutKeys(ctx, s.store, keys)
		if !errors.Is(err, document.ErrKeysTaken) {
			return after, err
		}
	}
}

// history returns the latest heads, the one in force first.
func (s *Server) history(r request) (any, error) {
	limit := defaultHistory
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistory {
			return nil, &Failure{Code: CodeInvalid, Message: fmt.Sprintf("limit must be between 1 and %d", maxHistory)}
		}
		limit = n
	}
	head, _, err := document.LoadHead(r.Context(), s.store)
	if err != nil {
		return nil, err
	}
	heads := []bundle.Head{head}
	for len(heads) < limit && head.Revision > 1 {
		head, err = document.HeadAt(r.Context(), s.store, head.Revision-1)
		if errors.Is(err, kvstore.ErrNotFound) {
			break
		}
		if err != nil {
			return nil, err
		}
		heads = append(heads, head)
	}
	return heads, nil
}

func (s *Server) verdict(r request) (any, error) {
	var msg VerdictChange
	if err := r.decode(&msg); err != nil {
		return nil, err
	}
	return s.change(r, msg.ChangeOptions, func(_ context.Context, in *bundle.InForce, req bundle.ChangeRequest) (bundle.Head, error) {
		return in.NextRolloutVerdict(msg.Model, msg.Verdict, req)
	})
}

func (s *Server) rollouts(r request) (any, error) {
	statuses := []RolloutStatus{}
	for _, m := range r.in.Bundle.Models {
		if ro, ok := r.in.Head.Rollouts[m.Name]; ok {
			statuses = append(statuses, RolloutStatus{Model: m.Name, Rollout: ro, Shares: r.in.Shares(m.Name), Target: m.Versions})
		}
	}
	return statuses, nil
}
