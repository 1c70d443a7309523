package operator

import (
	"fmt"
	"strings"
	"time"

	"ebonyferry/internal/core/bundle"
)

// This file defines the messages exchanged with operators.

// Prefix is where the operators' routes stand.
const Prefix = "/operator/v1"

// Code tells why a request failed.
type Code string

// The codes of failures.
const (
	CodeInvalid          Code = "invalid"         // the request or its document is wrong
	CodeUnauthenticated  Code = "unauthenticated" // not signed by an operator
	CodeNotFound         Code = "notFound"
	CodeNotSignedOff     Code = "notSignedOff"
	CodeNoChange         Code = "noChange"         // in force already
	CodeUnserved         Code = "unserved"         // a region would be left with none; force overrides
	CodeRaced            Code = "raced"            // another change came first; see Winner
	CodeStoreUnavailable Code = "storeUnavailable" // nothing was changed
	CodeOutcomeUnknown   Code = "outcomeUnknown"   // ask again with the same nonce
	CodeNotReady         Code = "notReady"         // this node holds no configuration
	CodeUnsupported      Code = "unsupported"      // this node runs without that part
	CodeInternal         Code = "internal"
)

// Failure is the answer to a request that failed. It implements error.
type Failure struct {
	Code     Code             `json:"code"`
	Message  string           `json:"message"`
	Problems []bundle.Problem `json:"problems,omitempty"` // for CodeInvalid
	Winner   *bundle.Head     `json:"winner,omitempty"`   // for CodeRaced
}

// Error implements error.
func (f *Failure) Error() string {
	if len(f.Problems) == 0 {
		return fmt.Sprintf("%s: %s", f.Code, f.Message)
	}
	lines := make([]string, len(f.Problems))
	for i, p := range f.Problems {
		lines[i] = p.String()
	}
	return fmt.Sprintf("%s: %s\n%s", f.Code, f.Message, strings.Join(lines, "\n"))
}

// BundleInfo describes a stored bundle.
type BundleInfo struct {
	ID        string    `json:"id"`
	Author    string    `json:"author"`
	Note      string    `json:"note,omitempty"`
	CreatedAt time.Time `json:"createdAt"`
	Servers   int       `json:"servers"`
	Models    int       `json:"models"`
	Services  int       `json:"services"`
}

// BundleDetails is a stored bundle with its sign-offs for the bundle now in force.
type BundleDetails struct {
	Info        BundleInfo    `json:"info"`
	Bundle      bundle.Bundle `json:"bundle"`
	SignedOffBy []string      `json:"signedOffBy,omitempty"`
	InForce     bool          `json:"inForce"`
}

// BundleDiff is the difference between two bundles.
type BundleDiff struct {
	From    string          `json:"from"`
	To      string          `json:"to"`
	Changes []bundle.Change `json:"changes"`
}

// ChangeOptions are the options of a change. Nonce identifies the change when its request is repeated.
type ChangeOptions struct {
	Nonce string `json:"nonce"`
	Force bool   `json:"force,omitempty"` // accept that a region is left with none
	// IfRevision, when not zero, is the revision that must be in force for the change to be made.
	IfRevision bundle.Revision `json:"ifRevision,omitempty"`
	// Retry is set when an earlier answer was lost.
	Retry bool `json:"again,omitempty"`
}

// RollForward asks for a bundle to be put into force.
type RollForward struct {
	ChangeOptions
	BundleID string          `json:"bundleId"`
	Since    bundle.Revision `json:"since"` // Head.BundleSince that the operator saw
	// DoneBy, when not zero, moves changed shares in steps until then.
	DoneBy time.Time `json:"doneBy,omitzero"`
}

// VerdictChange asks for an operator's own verdict on a rollout.
type VerdictChange struct {
	ChangeOptions
	Model   string              `json:"model"`
	Verdict bundle.RolloutState `json:"verdict"` // takenBack or done
}

// RollBack asks for the bundle of an earlier revision to be put into force again.
type RollBack struct {
	ChangeOptions
	ToRevision bundle.Revision `json:"toRevision"` // zero means the bundle before the one in force
}

// MarkChange asks for something to be taken out of service or put back.
type MarkChange struct {
	ChangeOptions
	Mark bundle.Mark `json:"mark"`
	Out  bool        `json:"out"`
}

// KeyChange asks for a change of the keys.
type KeyChange struct {
	ChangeOptions
	Edit bundle.KeyEdit `json:"edit"`
}

// RolloutStatus is the state of one rollout.
type RolloutStatus struct {
	Model   string                `json:"model"`
	Rollout bundle.Rollout        `json:"rollout"`
	Shares  []bundle.VersionShare `json:"shares"` // in force on the node that answers
	Target  []bundle.VersionShare `json:"target"` // the bundle's
}

// ChangeResult is the answer to a change that took effect.
type ChangeResult struct {
	Head           bundle.Head `json:"head"`
	AlreadyApplied bool        `json:"again,omitempty"` // an earlier request with the same nonce had taken effect
}

// NodeState is what one node says of itself.
type NodeState struct {
	Node          string          `json:"node"`
	FailureDomain string          `json:"failureDomain"`
	Revision      bundle.Revision `json:"revision"` // in force on the node
	Running       map[string]int  `json:"running,omitempty"`
	Draining      bool            `json:"draining,omitempty"`
	Error         string          `json:"error,omitempty"` // why the node did not answer
}

// Spread says where a revision is in force.
type Spread struct {
	Revision bundle.Revision `json:"revision"`
	Nodes    int             `json:"nodes"`
	InForce  int             `json:"inForce"`
	Missing  []NodeState     `json:"missing,omitempty"`
}

// Complete reports whether every known node has the revision in force.
func (s Spread) Complete() bool { return s.Nodes > 0 && s.InForce == s.Nodes }

// Status is the state of the fleet as one node sees it.
type Status struct {
	Node           string       `json:"node"` // that answers
	Head           bundle.Head  `json:"head"` // in force on that node
	Bundle         BundleInfo   `json:"bundle"`
	StoreReachable bool         `json:"storeReachable"`
	Nodes          []NodeState  `json:"nodes"`
	Domains        []DomainLoad `json:"domains"`
}

// DomainLoad is the running work of one failure domain, counted by the nodes that sent it there.
type DomainLoad struct {
	FailureDomain string   `json:"failureDomain"`
	Servers       int      `json:"servers"`
	Usable        int      `json:"usable"`  // servers that take new work
	Running       int      `json:"running"` // streams and calls under way on its servers
	OutOfService  bool     `json:"outOfService,omitempty"`
	Unknown       []string `json:"unknown,omitempty"` // nodes whose counts are missing
}

// AccountInfo describes a client account without its secrets.
type AccountInfo struct {
	ID     string               `json:"id"`
	Keys   []string             `json:"keys"` // beginnings of the key hashes
	Limits bundle.AccountLimits `json:"limits"`
}

// KeysInfo describes the keys in force without their secrets.
type KeysInfo struct {
	Revision      bundle.Revision   `json:"revision"`
	Accounts      []AccountInfo     `json:"accounts"`
	Operators     []bundle.Operator `json:"operators"`
	TokenKeys     []TokenKeyInfo    `json:"tokenKeys"`
	OtherSignOffs int               `json:"otherSignOffs"`
}

// TokenKeyInfo describes a resume-token key without its secret.
type TokenKeyInfo struct {
	ID       string    `json:"id"`
	NotAfter time.Time `json:"notAfter"`
	Signs    bool      `json:"signs"`
}

// MoveStatus says how much work still runs on what a mark names.
type MoveStatus struct {
	Head    bundle.Head `json:"head"`
	Out     bool        `json:"out"` // the mark is in force
	Running int         `json:"running"`
	Unknown []string    `json:"unknown,omitempty"` // nodes whose counts are missing
}
