// This file defines the messages between nodes.

package slicing

import "ebonyferry/internal/core/slice"

const (
	pathRequest = "/node/slices/request"
	pathReduce  = "/node/slices/lower"
	pathFollow  = "/node/slices/follow"
	pathRelease = "/node/slices/release"
)

// requestMessage requests slices of several servers from their owner.
type requestMessage struct {
	Epoch   uint64        `json:"epoch"` // of the process
	Servers []requestItem `json:"servers"`
}

type requestItem struct {
	Server string `json:"server"`
	slice.Request
}

// grantMessage answers a requestMessage. It omits servers that the answering node does not own or cannot grant now. For
// these, Owners may name the owner; handleRequest leaves it empty.
type grantMessage struct {
	Grants []grantItem `json:"grants,omitempty"`
	Owners []ownerItem `json:"owners,omitempty"`
}

type grantItem struct {
	Server string `json:"server"`
	slice.Grant
}

type ownerItem struct {
	Server string `json:"server"`
	Owner  string `json:"owner"`
}

// reduceMessage reduces slices of a node without a request.
type reduceMessage struct {
	Grants []grantItem `json:"grants"`
}

// reduceResult lists the reductions that were applied.
type reduceResult struct {
	Epoch   uint64      `json:"epoch"`             // of the process
	Applied []grantItem `json:"applied,omitempty"` // Server, Term and Seq are set
}

// followMessage requests a process to follow a new term.
type followMessage struct {
	Server string     `json:"server"`
	Term   slice.Term `json:"term"`
}

type followResult struct {
	Epoch   uint64     `json:"epoch"` // of the process
	Follows bool       `json:"follows"`
	Held    slice.Held `json:"held"`
}

// releaseMessage requests the owner in a term to release it.
type releaseMessage struct {
	Server string     `json:"server"`
	Term   slice.Term `json:"term"`
}

type releaseResult struct {
	Epoch    uint64          `json:"epoch"`           // of the process
	Handover *slice.Handover `json:"table,omitempty"` // nil: not released
	// Vacant reports that the process does not hold the term. It had taken the term, but never learned that its write
	// succeeded.
	Vacant bool `json:"vacant,omitempty"`
}
