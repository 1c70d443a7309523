// This file reads documents from JSON with comments and reports every problem with its field and line.

package bundle

import "ebonyferry/internal/core/jsontext"

// MaxDocumentBytes bounds a document before it is parsed.
const MaxDocumentBytes = jsontext.MaxDocumentBytes

// ErrInvalid is the error that every Problems wraps.
var ErrInvalid = jsontext.ErrInvalid

// Problem is one error in a document.
type Problem = jsontext.Problem

// Problems is the error for an invalid document.
type Problems = jsontext.Problems

// Parse reads a bundle from JSON with comments and validates it. The result is in canonical form, with its ID
// computed; an ID in the text is ignored. The error is a Problems that lists every problem found.
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

// ParseKeys reads keys from JSON with comments and validates them. The error is a Problems that lists every problem
// found.
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
