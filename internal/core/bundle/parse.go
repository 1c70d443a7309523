package bundle

import "ebonyferry/internal/core/jsontext"

// This file defines how documents are read: JSON with comments, every problem reported with its field and line.

// MaxDocumentBytes bounds a document before it is parsed.
const MaxDocumentBytes = jsontext.MaxDocumentBytes

// ErrInvalid is what every Problems wraps.
var ErrInvalid = jsontext.ErrInvalid

// Problem is one fault of a document.
type Problem = jsontext.Problem

// Problems is the error for a document with at least one fault.
type Problems = jsontext.Problems

// Parse reads a bundle from JSON with comments and validates it whole. The result is in canonical form with
// its ID filled in; an ID in the text is ignored. The error is a Problems.
func Parse(data []byte) (Bundle, error) {
	var b Bundle
	doc, err := jsontext.Decode(data, &b)
	if err != nil {
		return Bundle{}, err
	}
	if err := doc.Locate(Validate(b)); err != nil {
		return Bundle{}, err
	}
	return Canonical(b), nil
}

// ParseKeys reads keys from JSON with comments and validates them whole. The error is a Problems.
func ParseKeys(data []byte) (Keys, error) {
	var k Keys
	doc, err := jsontext.Decode(data, &k)
	if err != nil {
		return Keys{}, err
	}
	if err := doc.Locate(ValidateKeys(k)); err != nil {
		return Keys{}, err
	}
	return CanonicalKeys(k), nil
}
