// This file defines when keys are valid and how account keys are recognized.

package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
)

// minTokenSecretBytes is the minimum length of a resume-token secret.
const minTokenSecretBytes = 16

// ValidateKeys returns every problem of k, or nil.
func ValidateKeys(k Keys) Problems {
	var v validator
	v.accounts(k.Accounts)
	v.operators(k)
	v.tokenKeys(k.TokenKeys)
	return v.problems
}

func (v *validator) accounts(accounts []Account) {
	ids, hashes := make(map[string]string), make(map[string]string)
	for i, a := range accounts {
		field := fmt.Sprintf("accounts[%d]", i)
		v.name(field+".id", a.ID)
		v.unique(ids, field+".id", a.ID)
		for j, h := range a.KeyHashes {
			at := fmt.Sprintf("%s.keyHashes[%d]", field, j)
			if raw, err := hex.DecodeString(h); err != nil || len(raw) != sha256.Size {
				v.addf(at, "must be a SHA-256 hash in hex")
			}
			v.unique(hashes, at, h)
		}
		l := a.Limits
		if l.RequestsPerSecond < 0 || l.TokensPerSecond < 0 || l.MaxStreams < 0 || l.Weight < 0 {
			v.addf(field+".limits", "must not be negative")
		}
	}
}

func (v *validator) operators(k Keys) {
	seen := make(map[string]string)
	if len(k.Operators) == 0 {
		v.addf("operators", "must name at least one operator")
	}
	for i, op := range k.Operators {
		field := fmt.Sprintf("operators[%d]", i)
		v.name(field+".name", op.Name)
		v.unique(seen, field+".name", op.Name)
		if len(op.PublicKeys) == 0 {
			v.addf(field+".publicKeys", "must hold at least one key")
		}
		for j, key := range op.PublicKeys {
			if len(key) != ed25519.PublicKeySize {
				v.addf(fmt.Sprintf("%s.publicKeys[%d]", field, j), "must be an Ed25519 public key of %d bytes", ed25519.PublicKeySize)
			}
		}
	}
	if k.OtherSignOffs < 0 || k.OtherSignOffs > 0 && k.OtherSignOffs >= len(k.Operators) {
		v.addf("otherSignOffs", "must be less than the number of operators, %d", len(k.Operators))
	}
}

func (v *validator) tokenKeys(keys []TokenKey) {
	seen := make(map[string]string)
	if len(keys) == 0 {
		v.addf("tokenKeys", "must hold at least one key")
	}
	for i, t := range keys {
		field := fmt.Sprintf("tokenKeys[%d]", i)
		v.name(field+".id", t.ID)
		v.unique(seen, field+".id", t.ID)
		if len(t.Secret) < minTokenSecretBytes {
			v.addf(field+".secret", "must have at least %d bytes", minTokenSecretBytes)
		}
		if t.NotAfter.IsZero() {
			v.addf(field+".notAfter", "must be given")
		}
	}
}

// KeyHash returns the hash under which an account's bearer key is stored.
func KeyHash(bearer string) string {
	sum := sha256.Sum256([]byte(bearer))
	return hex.EncodeToString(sum[:])
}

// Operator returns the named operator.
func (k Keys) Operator(name string) (Operator, bool) {
	i := slices.IndexFunc(k.Operators, func(op Operator) bool { return op.Name == name })
	if i < 0 {
		return Operator{}, false
	}
	return k.Operators[i], true
}

// Verifies reports whether sig is a signature of message by one of the operator's keys.
func (op Operator) Verifies(message, sig []byte) bool {
	return slices.ContainsFunc(op.PublicKeys, func(key ed25519.PublicKey) bool {
		return len(key) == ed25519.PublicKeySize && ed25519.Verify(key, message, sig)
	})
}
