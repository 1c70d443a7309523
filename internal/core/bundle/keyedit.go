package bundle

import (
	"crypto/ed25519"
	"fmt"
	"slices"
	"strings"
	"time"
)

// This file defines single edits of the keys: create, rotate with overlap, revoke.

// KeyEditKind tells what an edit does.
type KeyEditKind string

// The kinds of edit.
const (
	SetAccount        KeyEditKind = "setAccount"        // create an account, or change its limits
	AddAccountKey     KeyEditKind = "addAccountKey"     // the old keys stay valid until they are revoked
	RevokeAccountKey  KeyEditKind = "revokeAccountKey"  // by the beginning of its hash
	RemoveAccount     KeyEditKind = "removeAccount"     // with all its keys
	AddOperatorKey    KeyEditKind = "addOperatorKey"    // creates the operator when new
	RevokeOperatorKey KeyEditKind = "revokeOperatorKey" // the last key of an operator goes with the operator
	AddTokenKey       KeyEditKind = "addTokenKey"       // the new key verifies but does not sign yet
	PromoteTokenKey   KeyEditKind = "promoteTokenKey"   // the key signs, the others verify for Overlap
	RevokeTokenKey    KeyEditKind = "revokeTokenKey"    // tokens signed by it are refused at once
	SetOtherSignOffs  KeyEditKind = "setOtherSignOffs"
)

// KeyEdit is one edit. Only the fields of its kind are used.
type KeyEdit struct {
	Kind          KeyEditKind       `json:"kind"`
	Name          string            `json:"name,omitempty"`    // account, operator or token key
	KeyHash       string            `json:"keyHash,omitempty"` // of an account key; its beginning suffices to revoke
	Limits        *AccountLimits    `json:"limits,omitempty"`
	PublicKey     ed25519.PublicKey `json:"publicKey,omitempty"`
	Overlap       time.Duration     `json:"overlap,omitempty"` // nanoseconds
	Lifetime      time.Duration     `json:"lifetime,omitempty"`
	Secret        []byte            `json:"-"` // of a new token key, made by the node
	OtherSignOffs int               `json:"otherSignOffs,omitempty"`
}

// Summary describes the edit for the history, without secrets.
func (e KeyEdit) Summary() string {
	switch e.Kind {
	case SetOtherSignOffs:
		return fmt.Sprintf("keys: %s %d", e.Kind, e.OtherSignOffs)
	case RevokeAccountKey, AddAccountKey:
		return fmt.Sprintf("keys: %s %q %s", e.Kind, e.Name, ShortID(e.KeyHash))
	}
	return fmt.Sprintf("keys: %s %q", e.Kind, e.Name)
}

// Apply returns keys with the edit made at a time. k is not changed. Errors wrap ErrUnknownName, ErrNoChange
// or are Problems.
func (k Keys) Apply(e KeyEdit, at time.Time) (Keys, error) {
	k.Accounts = slices.Clone(k.Accounts)
	k.Operators = slices.Clone(k.Operators)
	k.TokenKeys = slices.Clone(k.TokenKeys)
	var err error
	switch e.Kind {
	case SetAccount, AddAccountKey, RevokeAccountKey, RemoveAccount:
		err = k.editAccount(e)
	case AddOperatorKey, RevokeOperatorKey:
		err = k.editOperator(e)
	case AddTokenKey, PromoteTokenKey, RevokeTokenKey:
		err = k.editTokenKeys(e, at)
	case SetOtherSignOffs:
		k.OtherSignOffs = e.OtherSignOffs
	default:
		err = fmt.Errorf("%w: kind of edit %q", ErrUnknownName, e.Kind)
	}
	if err != nil {
		return Keys{}, err
	}
	if ps := ValidateKeys(k); len(ps) > 0 {
		return Keys{}, ps
	}
	return CanonicalKeys(k), nil
}

func (k *Keys) editAccount(e KeyEdit) error {
	i := slices.IndexFunc(k.Accounts, func(a Account) bool { return a.ID == e.Name })
	if i < 0 && e.Kind != SetAccount {
		return fmt.Errorf("%w: account %q", ErrUnknownName, e.Name)
	}
	switch e.Kind {
	case SetAccount:
		if i < 0 {
			k.Accounts = append(k.Accounts, Account{ID: e.Name})
			i = len(k.Accounts) - 1
		}
		if e.Limits != nil {
			k.Accounts[i].Limits = *e.Limits
		}
		if e.KeyHash != "" {
			k.Accounts[i].KeyHashes = append(slices.Clone(k.Accounts[i].KeyHashes), e.KeyHash)
		}
	case AddAccountKey:
		k.Accounts[i].KeyHashes = append(slices.Clone(k.Accounts[i].KeyHashes), e.KeyHash)
	case RevokeAccountKey:
		left, err := withoutOne(k.Accounts[i].KeyHashes, func(h string) bool { return e.KeyHash != "" && strings.HasPrefix(h, e.KeyHash) })
		if err != nil {
			return fmt.Errorf("account %q: %w", e.Name, err)
		}
		k.Accounts[i].KeyHashes = left
	case RemoveAccount:
		k.Accounts = slices.Delete(k.Accounts, i, i+1)
	}
	return nil
}

func (k *Keys) editOperator(e KeyEdit) error {
	i := slices.IndexFunc(k.Operators, func(op Operator) bool { return op.Name == e.Name })
	if e.Kind == AddOperatorKey {
		if i < 0 {
			k.Operators = append(k.Operators, Operator{Name: e.Name})
			i = len(k.Operators) - 1
		}
		if slices.ContainsFunc(k.Operators[i].PublicKeys, func(key ed25519.PublicKey) bool { return key.Equal(e.PublicKey) }) {
			return fmt.Errorf("%w: operator %q has this key", ErrNoChange, e.Name)
		}
		k.Operators[i].PublicKeys = append(slices.Clone(k.Operators[i].PublicKeys), e.PublicKey)
		return nil
	}
	if i < 0 {
		return fmt.Errorf("%w: operator %q", ErrUnknownName, e.Name)
	}
	left, err := withoutOne(k.Operators[i].PublicKeys, func(key ed25519.PublicKey) bool { return key.Equal(e.PublicKey) })
	if err != nil {
		return fmt.Errorf("operator %q: %w", e.Name, err)
	}
	k.Operators[i].PublicKeys = left
	if len(left) == 0 {
		k.Operators = slices.Delete(k.Operators, i, i+1)
	}
	return nil
}

func (k *Keys) editTokenKeys(e KeyEdit, at time.Time) error {
	switch e.Kind {
	case AddTokenKey:
		k.TokenKeys = append(k.TokenKeys, TokenKey{ID: e.Name, Secret: e.Secret, NotAfter: at.Add(e.Lifetime).UTC()})
		return nil
	case PromoteTokenKey:
		return k.promoteTokenKey(e, at)
	}
	left, err := withoutOne(k.TokenKeys, func(t TokenKey) bool { return t.ID == e.Name })
	if err != nil {
		return fmt.Errorf("token key %q: %w", e.Name, err)
	}
	k.TokenKeys = left
	return nil
}

// Lets a key sign and the others verify for the overlap only. Keys that have run out are dropped.
func (k *Keys) promoteTokenKey(e KeyEdit, at time.Time) error {
	i := slices.IndexFunc(k.TokenKeys, func(t TokenKey) bool { return t.ID == e.Name })
	if i < 0 {
		return fmt.Errorf("%w: token key %q", ErrUnknownName, e.Name)
	}
	if i == 0 {
		return fmt.Errorf("%w: token key %q signs already", ErrNoChange, e.Name)
	}
	kept := []TokenKey{k.TokenKeys[i]}
	until := at.Add(e.Overlap).UTC()
	for j, t := range k.TokenKeys {
		if t.NotAfter.After(until) {
			t.NotAfter = until
		}
		if j != i && t.NotAfter.After(at) {
			kept = append(kept, t)
		}
	}
	k.TokenKeys = kept
	return nil
}

// Returns a copy of list without the one member that matches. It fails when none or several match.
func withoutOne[T any](list []T, match func(T) bool) ([]T, error) {
	left := slices.DeleteFunc(slices.Clone(list), match)
	switch len(list) - len(left) {
	case 0:
		return nil, fmt.Errorf("%w: key", ErrUnknownName)
	case 1:
		return left, nil
	}
	return nil, fmt.Errorf("%w: several keys match, give more of it", ErrUnknownName)
}

// ID returns the digest of the edit, which a sign-off of it names.
func (e KeyEdit) ID() string { return digest(append([]byte("key edit\n"), mustMarshal(e)...)) }

// changesOperators reports whether the edit changes who may sign bundles off.
func (e KeyEdit) changesOperators() bool {
	return e.Kind == AddOperatorKey || e.Kind == RevokeOperatorKey || e.Kind == SetOtherSignOffs
}

// Subject returns what a sign-off of the edit is given for: the edit of the keys now in force.
func (in *InForce) Subject(e KeyEdit) SignOffSubject {
	return SignOffSubject{BundleID: e.ID(), Since: in.Head.KeysRevision}
}

// CheckEdit fails with ErrNotSignedOff when an edit by an operator changes who may sign bundles off and lacks
// the sign-offs by others that a bundle needs. An operator may revoke a key of his own alone.
func (in *InForce) CheckEdit(e KeyEdit, by string, list []SignOff) error {
	if !e.changesOperators() || e.Kind == RevokeOperatorKey && e.Name == by {
		return nil
	}
	others := 0
	for _, name := range in.signers(in.Subject(e), list) {
		if name != by {
			others++
		}
	}
	if others < in.Keys.OtherSignOffs {
		return fmt.Errorf("%w: %s by %q has %d sign-offs by others, %d needed", ErrNotSignedOff, e.Summary(), by, others, in.Keys.OtherSignOffs)
	}
	return nil
}
