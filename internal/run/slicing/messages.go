package slicing

import "ebonyferry/internal/core/slice"

// This file defines the messages between nodes.

const (
	pathRequest = "/node/slices/request"
	pathLower   = "/node/slices/lower"
	pathFollow  = "/node/slices/follow"
	pathRelease = "/node/slices/release"
)

// requestMessage asks the owner of several servers for slices.
type requestMessage struct {
	Epoch   uint64        `json:"epoch"` // of the process
	Servers []requestItem `json:"servers"`
}

type requestItem struct {
	Server string `json:"server"`
	slice.Request
}

// grantMessage answers it. Servers that the asked node does not own or cannot grant now are left out, unless
// it knows their owner.
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

// lowerMessage lowers slices that a node has not asked for.
type lowerMessage struct {
	Grants []grantItem `json:"grants"`
}

// lowerResult tells which of them were taken.
type lowerResult struct {
	Epoch   uint64      `json:"epoch"`             // of the process
	Applied []grantItem `json:"applied,omitempty"` // Server, Term and Seq are set
}

// followMessage asks a process to follow a new term.
type followMessage struct {
	Server string     `json:"server"`
	Term   slice.Term `json:"term"`
}

type followResult struct {
	Epoch   uint64     `json:"epoch"` // of the process
	Follows bool       `json:"follows"`
	Held    slice.Held `json:"held"`
}

// releaseMessage asks the owner in a term to release it.
type releaseMessage struct {
	Server string     `json:"server"`
	Term   slice.Term `json:"term"`
}

type releaseResult struct {
	Epoch uint64          `json:"epoch"`           // of the process
	Table *slice.Handover `json:"table,omitempty"` // nil: not released
	// Vacant says that the process does not hold the term, because it never learnt that it had taken it.
	Vacant bool `json:"vacant,omitempty"`
}
