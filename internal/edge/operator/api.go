// This file defines the requests and answers of the operators' API.

package operator

import (
	"fmt"
	"strings"
	"time"

	"ebonyferry/internal/core/bundle"
)

// Prefix is the path prefix of the operators' routes.
const Prefix = "/operator/v1"

// Code is the reason why a request failed.
type Code string

// Codes of failures.
const (
	CodeInvalid          Code = "invalid"         // the request or its document is wrong
	CodeUnauthenticated  Code = "unauthenticated" // not signed by an operator
	CodeNotFound         Code = "notFound"
	CodeNotSignedOff     Code = "notSignedOff"
	CodeNoChange         Code = "noChange"         // already in force
	CodeUnserved         Code = "unserved"         // a region would have no server for a model; Force overrides
	CodeRaced            Code = "raced"            // another change came first; see Failure.Winner
	CodeStoreUnavailable Code = "storeUnavailable" // nothing was changed
	CodeOutcomeUnknown   Code = "outcomeUnknown"   // retry with the same nonce
	CodeNotReady         Code = "notReady"         // this node holds no configuration
	CodeUnsupported      Code = "unsupported"      // this node runs without the component
	CodeInternal         Code = "internal"
)

// Failure is the answer to a request that failed. It implements error.
type Failure struct {
	Code     Code             `json:"code"`
	Message  string           `json:"message"`
	Problems []bundle.Problem `json:"problems,omitempty"` // for CodeInvalid
	Winner   *bundle.Head     `json:"winner,omitempty"`   // for CodeRaced, if known
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

// BundleDetails is a stored bundle with the operators who signed off the switch to it from the bundle in force.
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
	Force bool   `json:"force,omitempty"` // allow a region without a server for a model
	// IfRevision, if not zero, is the revision that must be in force for the change to take effect.
	IfRevision bundle.Revision `json:"ifRevision,omitempty"`
	// Retry is set when the answer to an earlier request with this nonce was lost.
	Retry bool `json:"again,omitempty"`
}

// RollForward requests that a bundle be put into force.
type RollForward struct {
	ChangeOptions
	BundleID string          `json:"bundleId"`
	Since    bundle.Revision `json:"since"` // Head.BundleSince when the operator read it
	// DoneBy, if not zero, starts a rollout that moves changed shares in steps until that time.
	DoneBy time.Time `json:"doneBy,omitzero"`
}

// VerdictChange requests an operator's verdict on a rollout.
type VerdictChange struct {
	ChangeOptions
	Model   string              `json:"model"`
	Verdict bundle.RolloutState `json:"verdict"` // takenBack or done
}

// RollBack requests that the bundle of an earlier revision be put into force again.
type RollBack struct {
	ChangeOptions
	ToRevision bundle.Revision `json:"toRevision"` // zero means the bundle before the one in force
}

// MarkChange requests that a VM, server or failure domain be taken out of service or put back.
type MarkChange struct {
	ChangeOptions
	Mark bundle.Mark `json:"mark"`
	Out  bool        `json:"out"`
}

// KeyChange requests a change of the keys.
type KeyChange struct {
	ChangeOptions
	Edit bundle.KeyEdit `json:"edit"`
}

// RolloutStatus is the state of one rollout.
type RolloutStatus struct {
	Model   string                `json:"model"`
	Rollout bundle.Rollout        `json:"rollout"`
	Shares  []bundle.VersionShare `json:"shares"` // in force on the answering node
	Target  []bundle.VersionShare `json:"target"` // the bundle's
}

// ChangeResult is the answer to a change that has taken effect.
type ChangeResult struct {
	Head           bundle.Head `json:"head"`
	AlreadyApplied bool        `json:"again,omitempty"` // an earlier request with the same nonce had taken effect
}

// NodeState is the state that one node reports about itself.
type NodeState struct {
	Node          string          `json:"node"`
	FailureDomain string          `json:"failureDomain"`
	Revision      bundle.Revision `json:"revision"`          // in force on the node
	Running       map[string]int  `json:"running,omitempty"` // streams and calls in flight, by server ID
	Draining      bool            `json:"draining,omitempty"`
	Error         string          `json:"error,omitempty"` // why the node did not answer
}

// Spread is the number of nodes on which a revision is in force, and the nodes that lack it.
type Spread struct {
	Revision bundle.Revision `json:"revision"`
	Nodes    int             `json:"nodes"`   // live nodes, and unreachable ones whose lease has not expired
	InForce  int             `json:"inForce"` // nodes on which it is in force
	Missing  []NodeState     `json:"missing,omitempty"`
}

// Complete reports whether the revision is in force on every node that may act.
func (s Spread) Complete() bool { return s.Nodes > 0 && s.InForce == s.Nodes }

// Status is the state of the fleet as one node sees it.
type Status struct {
	Node           string       `json:"node"` // the answering node
	Head           bundle.Head  `json:"head"` // in force on that node
	Bundle         BundleInfo   `json:"bundle"`
	StoreReachable bool         `json:"storeReachable"`
	Nodes          []NodeState  `json:"nodes"`
	Domains        []DomainLoad `json:"domains"`
}

// DomainLoad is the running work of one failure domain, counted by the nodes that sent the work.
type DomainLoad struct {
	FailureDomain string   `json:"failureDomain"`
	Servers       int      `json:"servers"`
	Usable        int      `json:"usable"`  // servers that may receive new work
	Running       int      `json:"running"` // streams and calls in flight on its servers
	OutOfService  bool     `json:"outOfService,omitempty"`
	Unknown       []string `json:"unknown,omitempty"` // nodes whose counts are missing
}

// AccountInfo describes a client account without its secrets.
type AccountInfo struct {
	ID     string               `json:"id"`
	Keys   []string             `json:"keys"` // prefixes of the key hashes
	Limits bundle.AccountLimits `json:"limits"`
}

// KeysInfo describes the keys in force without their secrets.
type KeysInfo struct {
	Revision      bundle.Revision   `json:"revision"`
	Accounts      []AccountInfo     `json:"accounts"`
	Operators     []bundle.Operator `json:"operators"`
	TokenKeys     []TokenKeyInfo    `json:"tokenKeys"`
	OtherSignOffs int               `json:"otherSignOffs"` // see bundle.Keys
}

// TokenKeyInfo describes a resume-token key without its secret.
type TokenKeyInfo struct {
	ID       string    `json:"id"`
	NotAfter time.Time `json:"notAfter"`
	Signs    bool      `json:"signs"` // signs new tokens; the other keys only verify
}

// MoveStatus is the work that still runs on what a mark names.
type MoveStatus struct {
	Head    bundle.Head `json:"head"`
	Out     bool        `json:"out"` // the mark is in force
	Running int         `json:"running"`
	Unknown []string    `json:"unknown,omitempty"` // nodes whose counts are missing
}
