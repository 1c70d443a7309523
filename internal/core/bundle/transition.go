// This file defines how one head follows another.

package bundle

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Errors of transitions, to be tested with errors.Is.
var (
	// ErrNoChange means that the requested change is already in force.
	ErrNoChange = errors.New("nothing to change")
	// ErrUnserved means that the change would leave a region without a server for a model. Force overrides it.
	ErrUnserved = errors.New("a region would be left with no server")
	// ErrUnknownName means that a change refers to something that does not exist, such as a server or a key.
	ErrUnknownName = errors.New("name does not exist")
	// ErrStaleRollout means that a newer controller has changed the rollout, or that the bundle has been replaced.
	ErrStaleRollout = errors.New("rollout has a newer controller")
)

// ChangeRequest holds what all changes of the head have in common.
type ChangeRequest struct {
	By    string    // operator, or "rollout" for a controller
	Nonce string    // unique to this change
	At    time.Time // informational; revisions determine the order
	Force bool      // make the change in spite of ErrUnserved
	// DoneBy applies to a new bundle: it starts rollouts with this deadline. Zero switches all shares immediately.
	DoneBy time.Time
}

// Mark is a service mark: it identifies something that operators take out of service or put back.
type Mark struct {
	Kind MarkKind `json:"kind"`
	Name string   `json:"name"`
}

// MarkKind is the kind of thing that a mark applies to.
type MarkKind string

// The kinds of mark.
const (
	MarkDomain MarkKind = "domain"
	MarkServer MarkKind = "server"
	MarkVM     MarkKind = "vm"
)

// KnownNames lists the names outside a bundle that marks may refer to.
type KnownNames struct {
	VMs            []string // entry VMs
	FailureDomains []string // of entry VMs
}

// Supersedes reports whether a node that applies old may switch to h.
func (h Head) Supersedes(old Head) bool { return h.Revision > old.Revision }

// FirstHead returns the head of an empty store.
func FirstHead(b Bundle, k Keys, req ChangeRequest) Head {
	return Head{
		Revision: 1, BundleID: b.ID, BundleSince: 1, KeysRevision: k.Revision, KeysDigest: KeysDigest(k),
		ChangedBy: req.By, Nonce: req.Nonce, ChangedAt: req.At, Summary: "first head",
	}
}

// nextHead returns a copy of in's head with the next revision, the request's fields and the summary.
func (in *InForce) nextHead(req ChangeRequest, summary string) Head {
	h := in.Head
	h.Revision++
	h.ChangedBy, h.Nonce, h.ChangedAt, h.Summary = req.By, req.Nonce, req.At, summary
	return h
}

// checkServed returns ErrUnserved when next leaves a region without a server and the request does not force it.
func (in *InForce) checkServed(next *InForce, req ChangeRequest) error {
	if missing := UnservedRegions(in, next); len(missing) > 0 && !req.Force {
		return fmt.Errorf("%w: %s", ErrUnserved, strings.Join(missing, ", "))
	}
	return nil
}

// NextBundle returns the head that puts b into force, whether b is newer or older than the bundle in force. It ends
// rollouts in progress. Errors wrap ErrNotSignedOff, ErrUnserved or ErrNoChange, or are Problems.
func (in *InForce) NextBundle(b Bundle, signOffs []SignOff, req ChangeRequest) (Head, error) {
	if b.ID == in.Head.BundleID && len(in.Head.Rollouts) == 0 {
		return Head{}, fmt.Errorf("%w: bundle %s has been in force since revision %d", ErrNoChange, ShortID(b.ID), in.Head.BundleSince)
	}
	if ps := Validate(b); len(ps) > 0 {
		return Head{}, ps
	}
	signers, err := in.checkSignOffs(b, signOffs)
	if err != nil {
		return Head{}, err
	}
	h := in.nextHead(req, fmt.Sprintf("bundle %s put into force", ShortID(b.ID)))
	h.setBundle(b.ID, signers)
	if !req.DoneBy.IsZero() {
		if err := in.startRollouts(&h, b, req); err != nil {
			return Head{}, err
		}
	}
	return h, in.checkServed(NewInForce(h, b, in.Keys), req)
}

// NextMark returns the head with m taken out of service when out is set, else put back. Errors wrap ErrNoChange,
// ErrUnserved or ErrUnknownName.
func (in *InForce) NextMark(m Mark, out bool, known KnownNames, req ChangeRequest) (Head, error) {
	verb := "put back into service"
	if out {
		verb = "taken out of service"
	}
	h := in.nextHead(req, fmt.Sprintf("%s %q %s", m.Kind, m.Name, verb))
	list := h.OutOfService.list(m.Kind)
	if list == nil {
		return Head{}, fmt.Errorf("%w: kind of mark %q", ErrUnknownName, m.Kind)
	}
	if out && !in.exists(m, known) {
		return Head{}, fmt.Errorf("%w: %s %q", ErrUnknownName, m.Kind, m.Name)
	}
	if slices.Contains(*list, m.Name) == out {
		return Head{}, fmt.Errorf("%w: %s %q is already %s", ErrNoChange, m.Kind, m.Name, verb)
	}
	*list = withMember(*list, m.Name, out)
	return h, in.checkServed(NewInForce(h, in.Bundle, in.Keys), req)
}

// list returns the list of the marks of a kind, or nil for an unknown kind.
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

// Has reports whether m itself is marked out of service. It ignores the failure domain that m belongs to.
func (o OutOfService) Has(m Mark) bool {
	list := o.list(m.Kind)
	return list != nil && slices.Contains(*list, m.Name)
}

// exists reports whether the server, failure domain or VM of m exists.
func (in *InForce) exists(m Mark, known KnownNames) bool {
	switch m.Kind {
	case MarkDomain:
		return slices.Contains(known.FailureDomains, m.Name) || slices.ContainsFunc(in.Bundle.Servers, func(s Server) bool { return s.FailureDomain == m.Name })
	case MarkServer:
		_, ok := in.Server(m.Name)
		return ok
	}
	return slices.Contains(known.VMs, m.Name)
}

// withMember returns a sorted copy of list with or without name. An empty copy is nil.
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

// NextKeys returns the head that puts k into force. k.Revision must be greater than that of the keys in force. Errors
// wrap ErrNoChange or are Problems.
func (in *InForce) NextKeys(k Keys, summary string, req ChangeRequest) (Head, error) {
	if ps := ValidateKeys(k); len(ps) > 0 {
		return Head{}, ps
	}
	if k.Revision <= in.Head.KeysRevision {
		return Head{}, fmt.Errorf("%w: keys revision %d is not higher than %d", ErrNoChange, k.Revision, in.Head.KeysRevision)
	}
	h := in.nextHead(req, summary)
	h.KeysRevision, h.KeysDigest = k.Revision, KeysDigest(k)
	return h, nil
}

// NextRollBack returns the head that puts the bundle of an earlier head into force again. The sign-offs of the earlier
// head remain valid. Errors wrap ErrNoChange, ErrUnknownName or ErrUnserved, or are Problems.
func (in *InForce) NextRollBack(earlier Head, b Bundle, req ChangeRequest) (Head, error) {
	if earlier.BundleID != b.ID {
		return Head{}, fmt.Errorf("%w: revision %d refers to bundle %s, not %s", ErrUnknownName, earlier.Revision, ShortID(earlier.BundleID), ShortID(b.ID))
	}
	if b.ID == in.Head.BundleID && len(in.Head.Rollouts) == 0 {
		return Head{}, fmt.Errorf("%w: bundle %s has been in force since revision %d", ErrNoChange, ShortID(b.ID), in.Head.BundleSince)
	}
	if ps := Validate(b); len(ps) > 0 {
		return Head{}, ps
	}
	h := in.nextHead(req, fmt.Sprintf("rolled back to bundle %s of revision %d", ShortID(b.ID), earlier.Revision))
	h.setBundle(b.ID, earlier.SignedOffBy)
	return h, in.checkServed(NewInForce(h, b, in.Keys), req)
}

// setBundle switches h to another bundle. This ends the rollouts of the previous one.
func (h *Head) setBundle(id string, signers []string) {
	h.BundleID, h.SignedOffBy, h.BundleSince = id, signers, h.Revision
	h.VersionShares, h.RolloutFences, h.Rollouts = nil, nil, nil
}
