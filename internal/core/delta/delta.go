// Package delta encodes a document as its difference from an older one.
//
// Canonical documents are long lists of JSON objects, and a change touches few of them. The package splits a document
// after each object. Between encodes elements that the older document also has by their position, and the others in
// full. Apply rebuilds the document; the caller then checks the document's own digest.
package delta

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
)

// ErrInvalid means that operations cannot be applied to the old document.
var ErrInvalid = errors.New("operations do not apply to the document")

// Op appends to the new document: Count elements of the old one, starting with element At, or Data.
type Op struct {
	At    int    `json:"at,omitempty"`
	Count int    `json:"count,omitempty"`
	Data  []byte `json:"data,omitempty"` // only with Count zero
}

// separator ends each element but the last.
const separator = "},"

// elements splits a document into elements. Their concatenation is the document.
func elements(doc []byte) [][]byte { return bytes.SplitAfter(doc, []byte(separator)) }

// Between returns the operations that produce next from old.
func Between(old, next []byte) []Op {
	before := elements(old)
	positions := make(map[string]int, len(before))
	for i, e := range before {
		if _, ok := positions[string(e)]; !ok {
			positions[string(e)] = i
		}
	}
	var ops []Op
	for _, e := range elements(next) {
		ops = appendElement(ops, before, positions, e)
	}
	return ops
}

// appendElement adds one element to the operations. It extends the last operation where possible. positions maps each
// element of before to its first index.
func appendElement(ops []Op, before [][]byte, positions map[string]int, e []byte) []Op {
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
	if i, ok := positions[string(e)]; ok {
		return append(ops, Op{At: i, Count: 1})
	}
	if last != nil && last.Count == 0 {
		last.Data = append(last.Data, e...)
		return ops
	}
	return append(ops, Op{Data: bytes.Clone(e)})
}

// Apply applies the operations to old. It fails when they refer to elements beyond old, or when the result would have
// more than limit bytes.
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

// Encode returns the operations in a binary form, in which the data of an operation compresses as well as the document itself: an
// operation is the varints At, Count and the length of Data, and Data.
func Encode(ops []Op) []byte {
	var out []byte
	for _, op := range ops {
		out = binary.AppendUvarint(out, uint64(op.At))
		out = binary.AppendUvarint(out, uint64(op.Count))
		out = binary.AppendUvarint(out, uint64(len(op.Data)))
		out = append(out, op.Data...)
	}
	return out
}

// Decode returns the operations that Encode encoded. Their data shares the memory of encoded.
func Decode(encoded []byte) ([]Op, error) {
	var ops []Op
	for len(encoded) > 0 {
		var fields [3]int // At, Count, length of Data
		for i := range fields {
			v, n := binary.Uvarint(encoded)
			if n <= 0 || v > 1<<31-1 {
				return nil, fmt.Errorf("%w: operation %d is malformed", ErrInvalid, len(ops))
			}
			fields[i], encoded = int(v), encoded[n:]
		}
		if fields[2] > len(encoded) {
			return nil, fmt.Errorf("%w: operation %d has %d bytes of %d", ErrInvalid, len(ops), len(encoded), fields[2])
		}
		ops = append(ops, Op{At: fields[0], Count: fields[1], Data: encoded[:fields[2]]})
		encoded = encoded[fields[2]:]
	}
	return ops, nil
}
