// Package stream checks the tokens of one generation on their way to a caller.
//
// A generation is one sequence of tokens with indexes from 0. An engine that is resumed may send tokens again,
// and one that misbehaves may leave some out or send those of another generation. The Checker passes each
// token once, in order, from one generation only, and ends with a digest over all of them.
package stream

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
)

// Errors of a stream that must not go on, tested with errors.Is.
var (
	// ErrForeign means that a token belongs to another generation.
	ErrWrongGeneration = errors.New("token belongs to another generation")
	// ErrGap means that a token is missing.
	ErrMissingToken = errors.New("token is missing")
	// ErrCount means that the engine's count of tokens differs from those that came.
	ErrTokenCount = errors.New("count of tokens differs")
	// ErrChanged means that a token that was sent again has another text.
	ErrTokenChanged = errors.New("repeated token has another text")
)

// Checker passes the tokens of one generation in order. It is not safe for concurrent use.
type Checker struct {
	generation string
	next       int       // index of the next token to pass
	digest     hash.Hash // SHA-256 over the texts of tokens 0 to next-1
	last       string    // text of token next-1, to compare a repeat with
}

// NewChecker returns a checker that expects token 0 of a generation.
func NewChecker(generation string) *Checker {
	return &Checker{generation: generation, digest: sha256.New()}
}

// Next returns the index of the token that Accept passes next, which is the count of those passed.
func (c *Checker) Next() int { return c.next }

// Accept reports whether the token is to be passed on. A token that was passed before is left out without an
// error. Errors wrap ErrForeign, ErrGap or ErrChanged; the stream must not go on after one.
func (c *Checker) Accept(generation string, index int, text string) (bool, error) {
	if generation != c.generation {
		return false, fmt.Errorf("%w: got %q, want %q", ErrWrongGeneration, generation, c.generation)
	}
	if index < 0 || index > c.next {
		return false, fmt.Errorf("%w: got index %d, want %d", ErrMissingToken, index, c.next)
	}
	if index < c.next {
		if index == c.next-1 && text != c.last {
			return false, fmt.Errorf("%w: index %d", ErrTokenChanged, index)
		}
		return false, nil
	}
	c.digest.Write([]byte(text))
	c.last = text
	c.next++
	return true, nil
}

// Finish checks the count that the engine gave and returns the digest over all tokens in hexadecimal. Errors
// wrap ErrForeign or ErrCount.
func (c *Checker) Finish(generation string, count int) (string, error) {
	if generation != c.generation {
		return "", fmt.Errorf("%w: got %q, want %q", ErrWrongGeneration, generation, c.generation)
	}
	if count != c.next {
		return "", fmt.Errorf("%w: engine sent %d and counts %d", ErrTokenCount, c.next, count)
	}
	return hex.EncodeToString(c.digest.Sum(nil)), nil
}
