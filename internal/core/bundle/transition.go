package bundle

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// This file defines how one head follows another.

// Errors of transitions, tested with errors.Is.
var (
	// ErrNoChange means that the change asked for is in force already.
	ErrNoChange = errors.New("nothing to change")
	// ErrUnserved means that a region would be left with no server for a model. Force overrides it.
	ErrUnserved = errors.New("a region would be left with no server")
	// ErrUnknownName means that a change names a server, failure domain, VM, model or version that does not exist.
	ErrUnknownName = errors.New("name does not exist")
	// ErrStaleRollout means that a newer rollout controller has written shares, or the bundle has been replaced.
	ErrStaleRollout = errors.New("rollout has a newer controller")
)

// ChangeRequest says who changes the head and how.
type ChangeRequest struct {
	By    string    // operator, or "rollout" for a controller
	Nonce string    // unique to this change
	At    time.Time // for people; revisions decide the order
	Force bool      // accept ErrUnserved
	// DoneBy, for a bundle, starts rollouts that are to be done by then. Zero switches all shares at once.
	DoneBy time.Time
}

// Mark is one thing taken out of service or put back.
type Mark struct {
	Kind MarkKind `json:"kind"`
	Name string   `json:"name"`
}

// MarkKind tells what a mark names.
type MarkKind string

// The kinds of mark.
const (
	MarkDomain MarkKind = "domain"
	MarkServer MarkKind = "server"
	MarkVM     MarkKind = "vm"
)

// KnownNames names the things outside a bundle that marks may name.
type KnownNames struct {
	VMs            []string // entry VMs
	FailureDomains []string // of entry VMs
}

// Supersedes reports whether a node that applies old may go over to h.
func (h Head) Supersedes(old Head) bool { return h.Revision > old.Revision }

// FirstHead returns the head of an empty store.
func FirstHead(b Bundle, k Keys, req ChangeRequest) Head {
	return Head{
		Revision: 1, BundleID: b.ID, BundleSince: 1, KeysRevision: k.Revision, KeysDigest: KeysDigest(k),
		ChangedBy: req.By, Nonce: req.Nonce, ChangedAt: req.At, Summary: "first head",
	}
}

// Returns the head after in's, with everything that a change leaves as it is.
func (in *InForce) next(req ChangeRequest, summary string) Head {
	h := in.Head
	h.Revision++
	h.ChangedBy, h.Nonce, h.ChangedAt, h.Summary = req.By, req.Nonce, req.At, summary
	return h
}

// Fails when next leaves a region with none and the request does not force it.
func (in *InForce) guard(next *InForce, req ChangeRequest) error {
	if missing := UnservedRegions(in, next); len(missing) > 0 && !req.Force {
		return fmt.Errorf("%w: %s", ErrUnserved, strings.Join(missing, ", "))
	}
	return nil
}

// NextBundle returns the head that puts b into force, forward or back. Shares of a rollout under way end with
// it. Errors wrap ErrNotSignedOff, ErrUnserved, ErrNoChange or are Problems.
func (in *InForce) NextBundle(b Bundle, signOffs []SignOff, req ChangeRequest) (Head, error) {
	if b.ID == in.Head.BundleID && len(in.Head.Rollouts) == 0 {
		return Head{}, fmt.Errorf("%w: bundle %s is in force since revision %d", ErrNoChange, ShortID(b.ID), in.Head.BundleSince)
	}
	if ps := Validate(b); len(ps) > 0 {
		return Head{}, ps
	}
	signers, err := in.signedOff(b, signOffs)
	if err != nil {
		return Head{}, err
	}
	h := in.next(req, fmt.Sprintf("bundle %s put into force", ShortID(b.ID)))
	h.putBundle(b.ID, signers)
	if !req.DoneBy.IsZero() {
		if err := in.startRollouts(&h, b, req); err != nil {
			return Head{}, err
		}
	}
	return h, in.guard(NewInForce(h, b, in.Keys), req)
}

// NextMark returns the head with m taken out of service, or put back. Errors wrap
// ErrNoChange, ErrUnserved or ErrUnknownName.
func (in *InForce) NextMark(m Mark, out bool, known KnownNames, req ChangeRequest) (Head, error) {
	verb := "put back into service"
	if out {
		verb = "taken out of service"
	}
	h := in.next(req, fmt.Sprintf("%s %q %s", m.Kind, m.Name, verb))
	list := h.OutOfService.list(m.Kind)
	if list == nil {
		return Head{}, fmt.Errorf("%w: kind of mark %q", ErrUnknownName, m.Kind)
	}
	if out && !in.knows(m, known) {
		return Head{}, fmt.Errorf("%w: %s %q", ErrUnknownName, m.Kind, m.Name)
	}
	if slices.Contains(*list, m.Name) == out {
		return Head{}, fmt.Errorf("%w: %s %q is %s already", ErrNoChange, m.Kind, m.Name, verb)
	}
	*list = withMember(*list, m.Name, out)
	return h, in.guard(NewInForce(h, in.Bundle, in.Keys), req)
}

// Returns the list that holds marks of a kind, nil for an unknown kind.
func (o *OutOfService) list(kind MarkKind) *[]string {
	switch kind {
	case MarkDomain:
		return &o.FailureDomains
	case MarkServer:
		return &o.Servers
	case MarkVM:
		return &o.VMs
	}
	return nil
}

// Has reports whether m is out of service by itself.
func (o OutOfService) Has(m Mark) bool {
	list := o.list(m.Kind)
	return list != nil && slices.Contains(*list, m.Name)
}

// Reports whether what m names exists.
func (in *InForce) knows(m Mark, known KnownNames) bool {
	switch m.Kind {
	case MarkDomain:
		return slices.Contains(known.FailureDomains, m.Name) || slices.ContainsFunc(in.Bundle.Servers, func(s Server) bool { return s.FailureDomain == m.Name })
	case MarkServer:
		_, ok := in.Server(m.Name)
		return ok
	}
	return slices.Contains(known.VMs, m.Name)
}

// Returns a sorted copy of list with or without name.
func withMember(list []string, name string, with bool) []string {
	out := slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == name })
	if with {
		out = append(out, name)
	}
	slices.Sort(out)
	if len(out) == 0 {
		return nil
	}
	return out
}

func describeShares(shares []VersionShare) string {
	if shares == nil {
		return "as in the bundle"
	}
	words := make([]string, len(shares))
	for i, vs := range shares {
		words[i] = fmt.Sprintf("%s %d/%d", vs.Version, vs.Share, ShareTotal)
	}
	return strings.Join(words, ", ")
}

// NextKeys returns the head that puts k into force. k.Revision must be greater than the one in force. Errors
// are Problems or wrap ErrNoChange.
func (in *InForce) NextKeys(k Keys, summary string, req ChangeRequest) (Head, error) {
	if ps := ValidateKeys(k); len(ps) > 0 {
		return Head{}, ps
	}
	if k.Revision <= in.Head.KeysRevision {
		return Head{}, fmt.Errorf("%w: keys revision %d is not after %d", ErrNoChange, k.Revision, in.Head.KeysRevision)
	}
	h := in.next(req, summary)
	h.KeysRevision, h.KeysDigest = k.Revision, KeysDigest(k)
	return h, nil
}

// NextRollBack returns the head that puts the bundle of an earlier head into force again. The sign-offs that
// the bundle had then stand. Errors wrap ErrNoChange or ErrUnserved, or are Problems.
func (in *InForce) NextRollBack(earlier Head, b Bundle, req ChangeRequest) (Head, error) {
	if earlier.BundleID != b.ID {
		return Head{}, fmt.Errorf("%w: revision %d names bundle %s, not %s", ErrUnknownName, earlier.Revision, ShortID(earlier.BundleID), ShortID(b.ID))
	}
	if b.ID == in.Head.BundleID && len(in.Head.Rollouts) == 0 {
		return Head{}, fmt.Errorf("%w: bundle %s is in force since revision %d", ErrNoChange, ShortID(b.ID), in.Head.BundleSince)
	}
	if ps := Validate(b); len(ps) > 0 {
		return Head{}, ps
	}
	h := in.next(req, fmt.Sprintf("rolled back to bundle %s of revision %d", ShortID(b.ID), earlier.Revision))
	h.putBundle(b.ID, earlier.SignedOffBy)
	return h, in.guard(NewInForce(h, b, in.Keys), req)
}

// Names another bundle. Shares of a rollout under way end with the bundle it belongs to.
func (h *Head) putBundle(id string, signers []string) {
	h.BundleID, h.SignedOffBy, h.BundleSince = id, signers, h.Revision
	h.VersionShares, h.RolloutFences, h.Rollouts = nil, nil, nil
}
