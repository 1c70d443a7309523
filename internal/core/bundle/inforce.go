// This file defines the configuration that a node applies: the head together with the documents it refers to.

package bundle

import (
	"crypto/ed25519"
	"time"
)

// InForce is the configuration that a node applies. It is immutable once published: a change creates a new one.
type InForce struct {
	Head   Head
	Bundle Bundle
	Keys   Keys

	index *index // lookup tables; when nil, as in a literal, lookups scan
}

// Keys holds the accounts, operators and token keys that belong to a head.
type Keys struct {
	Revision  Revision   `json:"revision"`
	Accounts  []Account  `json:"accounts"`  // unique by ID
	Operators []Operator `json:"operators"` // unique by Name
	TokenKeys []TokenKey `json:"tokenKeys"` // the first signs, all verify
	// OtherSignOffs is how many operators besides a bundle's author must sign it off before it comes into
	// force. It is less than the number of operators.
	OtherSignOffs int `json:"otherSignOffs,omitempty"`
}

// Account is one client account.
type Account struct {
	ID        string        `json:"id"`
	KeyHashes []string      `json:"keyHashes"` // hex SHA-256 of bearer keys; several while keys rotate
	Limits    AccountLimits `json:"limits"`
}

// AccountLimits bound one client account over all nodes together. Zero means no limit.
type AccountLimits struct {
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	TokensPerSecond   float64 `json:"tokensPerSecond,omitempty"`
	MaxStreams        int     `json:"maxStreams,omitempty"`
	Weight            int     `json:"weight,omitempty"` // relative to other accounts under contention; zero counts as one
}

// Operator is an operator who may change the configuration.
type Operator struct {
	Name       string              `json:"name"`
	PublicKeys []ed25519.PublicKey `json:"publicKeys"`
}

// TokenKey signs resume tokens.
type TokenKey struct {
	ID       string    `json:"id"`
	Secret   []byte    `json:"secret"`
	NotAfter time.Time `json:"notAfter"` // tokens signed by it are rejected after this time
}
