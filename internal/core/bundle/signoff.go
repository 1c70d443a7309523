package bundle

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"slices"
)

// This file defines how operators sign a bundle off.

// ErrNotSignedOff means that a bundle lacks the sign-offs that the keys ask for.
var ErrNotSignedOff = errors.New("bundle is not signed off")

// signOffContext separates sign-offs from everything else that an operator's key signs.
const signOffContext = "ebonyferry sign-off 1\n"

// SignOffSubject is what a sign-off is given for: the switch from what has been in force since a revision to a
// bundle. Revisions never come back, so a sign-off is of no use once another bundle has been in force. Service
// marks are not part of it: they stand beside the bundle and each change of them is signed by itself.
type SignOffSubject struct {
	BundleID string   `json:"bundleId"` // or the ID of a KeyEdit
	Since    Revision `json:"since"`    // Head.BundleSince at the time of signing, KeysRevision for a KeyEdit
}

// SignOff is one operator's signature.
type SignOff struct {
	Operator  string         `json:"operator"`
	Subject   SignOffSubject `json:"subject"`
	Signature []byte         `json:"signature"`
}

func (s SignOffSubject) message() []byte {
	return append([]byte(signOffContext), mustMarshal(s)...)
}

// Sign returns operator's sign-off of subject.
func Sign(operator string, key ed25519.PrivateKey, subject SignOffSubject) SignOff {
	return SignOff{Operator: operator, Subject: subject, Signature: ed25519.Sign(key, subject.message())}
}

// CheckSignOff reports whether s is a true signature by an operator in keys.
func CheckSignOff(keys Keys, s SignOff) error {
	op, ok := keys.Operator(s.Operator)
	if !ok {
		return fmt.Errorf("%w: operator %q does not exist", ErrNotSignedOff, s.Operator)
	}
	if !op.Verifies(s.Subject.message(), s.Signature) {
		return fmt.Errorf("%w: the signature of operator %q is wrong", ErrNotSignedOff, s.Operator)
	}
	return nil
}

// Signers returns the operators, sorted, whose sign-offs in list hold for switching in to b. Sign-offs for
// other subjects and false ones are left out.
func (in *InForce) Signers(b Bundle, list []SignOff) []string {
	return in.signers(SignOffSubject{BundleID: b.ID, Since: in.Head.BundleSince}, list)
}

// Returns the operators, sorted, whose sign-offs in list hold for a subject.
func (in *InForce) signers(want SignOffSubject, list []SignOff) []string {
	var signers []string
	for _, s := range list {
		if s.Subject == want && CheckSignOff(in.Keys, s) == nil && !slices.Contains(signers, s.Operator) {
			signers = append(signers, s.Operator)
		}
	}
	slices.Sort(signers)
	return signers
}

// Returns the signers, or ErrNotSignedOff when they are too few beside the author. With no other sign-offs
// asked for, one by any operator suffices.
func (in *InForce) signedOff(b Bundle, list []SignOff) ([]string, error) {
	signers := in.Signers(b, list)
	others := len(signers)
	if slices.Contains(signers, b.Author) {
		others--
	}
	if others < in.Keys.OtherSignOffs {
		return nil, fmt.Errorf("%w: bundle %s by %q has %d sign-offs by others, %d needed", ErrNotSignedOff, ShortID(b.ID), b.Author, others, in.Keys.OtherSignOffs)
	}
	if len(signers) == 0 {
		return nil, fmt.Errorf("%w: bundle %s has none for the bundle in force since revision %d", ErrNotSignedOff, ShortID(b.ID), in.Head.BundleSince)
	}
	return signers, nil
}

// shortIDLength is how much of an ID people are shown.
const shortIDLength = 12

// ShortID returns the beginning of an ID, for people.
func ShortID(id string) string { return id[:min(len(id), shortIDLength)] }
