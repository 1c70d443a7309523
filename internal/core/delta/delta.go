// Package delta describes a document by its difference to an older one.
//
// Canonical documents are long lists of JSON objects of which a change touches few. A document is cut after
// each object; what the older one has too is copied by position, the rest is carried as it is. A receiver
// checks the outcome by the document's own digest.
package delta

import (
	"bytes"
	"errors"
	"fmt"
)

// ErrInvalid means that operations do not fit the old document.
var ErrInvalid = errors.New("difference does not fit the document")

// Op is one step of making the new document: Count elements of the old one from At on, or Data.
type Op struct {
	At    int    `json:"at,omitempty"`
	Count int    `json:"count,omitempty"`
	Data  []byte `json:"data,omitempty"` // only with Count zero
}

// separator ends an element but for the last.
const separator = "},"

// Cuts a document into elements. Their concatenation is the document.
func elements(doc []byte) [][]byte { return bytes.SplitAfter(doc, []byte(separator)) }

// Between returns the operations that make next from old.
func Between(old, next []byte) []Op {
	before := elements(old)
	at := make(map[string]int, len(before))
	for i, e := range before {
		if _, ok := at[string(e)]; !ok {
			at[string(e)] = i
		}
	}
	var ops []Op
	for _, e := range elements(next) {
		ops = extend(ops, before, at, e)
	}
	return ops
}

// Adds one element to the operations, as part of the last one where possible.
func extend(ops []Op, before [][]byte, at map[string]int, e []byte) []Op {
	var last *Op
	if len(ops) > 0 {
		last = &ops[len(ops)-1]
	}
	if last != nil && last.Count > 0 {
		follows := last.At + last.Count
		if follows < len(before) && bytes.Equal(before[follows], e) {
			last.Count++
			return ops
		}
	}
	if i, ok := at[string(e)]; ok {
		return append(ops, Op{At: i, Count: 1})
	}
	if last != nil && last.Count == 0 {
		last.Data = append(last.Data, e...)
		return ops
	}
	return append(ops, Op{Data: bytes.Clone(e)})
}

// Apply makes a document from old. It fails when the operations reach beyond old or make more than limit bytes.
func Apply(old []byte, ops []Op, limit int) ([]byte, error) {
	before := elements(old)
	var doc []byte
	for i, op := range ops {
		if op.At < 0 || op.Count < 0 || op.At > len(before) || op.Count > len(before)-op.At {
			return nil, fmt.Errorf("%w: operation %d copies %d elements from %d of %d", ErrInvalid, i, op.Count, op.At, len(before))
		}
		for _, e := range before[op.At : op.At+op.Count] {
			doc = append(doc, e...)
			if len(doc) > limit {
				return nil, fmt.Errorf("%w: it makes more than %d bytes", ErrInvalid, limit)
			}
		}
		if op.Count == 0 {
			doc = append(doc, op.Data...)
		}
		if len(doc) > limit {
			return nil, fmt.Errorf("%w: it makes more than %d bytes", ErrInvalid, limit)
		}
	}
	return doc, nil
}
