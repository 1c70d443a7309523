// This file defines how operators sign a bundle off.

package bundle

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"slices"
)

// ErrNotSignedOff means that a bundle or a key edit lacks required sign-offs.
var ErrNotSignedOff = errors.New("not signed off")

// signOffContext is the prefix of the signed message. It separates sign-offs from other uses of an operator's key.
const signOffContext = "ebonyferry sign-off 1\n"

// SignOffSubject is what a sign-off approves: the switch to a bundle from the one in force since a revision.
// Revisions never recur, so a sign-off becomes invalid once another bundle has been in force. Service marks are not
// part of the subject: they are separate from the bundle, and each change of them is signed separately.
type SignOffSubject struct {
	BundleID string   `json:"bundleId"` // or the ID of a KeyEdit
	Since    Revision `json:"since"`    // Head.BundleSince at the time of signing, KeysRevision for a KeyEdit
}

// SignOff is an operator's signature of a subject.
type SignOff struct {
	Operator  string         `json:"operator"`
	Subject   SignOffSubject `json:"subject"`
	Signature []byte         `json:"signature"`
}

// message returns the bytes that an operator signs.
func (s SignOffSubject) message() []byte {
	return append([]byte(signOffContext), mustMarshal(s)...)
}

// Sign returns operator's sign-off of subject.
func Sign(operator string, key ed25519.PrivateKey, subject SignOffSubject) SignOff {
	return SignOff{Operator: operator, Subject: subject, Signature: ed25519.Sign(key, subject.message())}
}

// CheckSignOff returns ErrNotSignedOff unless s has a valid signature by an operator in keys.
func CheckSignOff(keys Keys, s SignOff) error {
	op, ok := keys.Operator(s.Operator)
	if !ok {
		return fmt.Errorf("%w: operator %q does not exist", ErrNotSignedOff, s.Operator)
	}
	if !op.Verifies(s.Subject.message(), s.Signature) {
		return fmt.Errorf("%w: the signature of operator %q is invalid", ErrNotSignedOff, s.Operator)
	}
	return nil
}

// Signers returns the operators, sorted, with a valid sign-off in list of the switch from in to b. It ignores
// sign-offs of other subjects and invalid ones.
func (in *InForce) Signers(b Bundle, list []SignOff) []string {
	return in.signers(SignOffSubject{BundleID: b.ID, Since: in.Head.BundleSince}, list)
}

// signers returns the operators, sorted, with a valid sign-off of a subject in list.
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

// checkSignOffs returns the signers of b, or ErrNotSignedOff when too few of them are not its author. When no
// sign-offs by others are required, one by any operator suffices.
func (in *InForce) checkSignOffs(b Bundle, list []SignOff) ([]string, error) {
	signers := in.Signers(b, list)
	others := len(signers)
	if slices.Contains(signers, b.Author) {
		others--
	}
	if others < in.Keys.OtherSignOffs {
		return nil, fmt.Errorf("%w: bundle %s by %q has %d sign-offs by others, %d needed", ErrNotSignedOff, ShortID(b.ID), b.Author, others, in.Keys.OtherSignOffs)
	}
	if len(signers) == 0 {
		return nil, fmt.Errorf("%w: bundle %s has no sign-off for replacing the bundle in force since revision %d", ErrNotSignedOff, ShortID(b.ID), in.Head.BundleSince)
	}
	return signers, nil
}

// shortIDLength is the number of characters of an ID in messages.
const shortIDLength = 12

// ShortID returns the beginning of an ID, for messages.
func ShortID(id string) string { return id[:min(len(id), shortIDLength)] }
