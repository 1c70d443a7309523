// Package stream checks the tokens of a generation on their way to a caller.
//
// A generation is a sequence of tokens with indexes from 0. When a stream is resumed, an engine may send tokens again.
// A faulty engine may also leave out tokens, or send tokens of another generation. A [Checker] passes each token of its
// generation once and in order, and finally returns a digest of all of them.
package stream

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
)

// Errors that end a stream, to be tested with errors.Is.
var (
	// ErrWrongGeneration means that a token belongs to another generation.
	ErrWrongGeneration = errors.New("token belongs to another generation")
	// ErrMissingToken means that a token is missing.
	ErrMissingToken = errors.New("token is missing")
	// ErrTokenCount means that the engine's count of tokens differs from the number received.
	ErrTokenCount = errors.New("count of tokens differs")
	// ErrTokenChanged means that a token that was sent again has another text.
	ErrTokenChanged = errors.New("repeated token has another text")
)

// Checker passes the tokens of one generation in order. It is not safe for concurrent use.
type Checker struct {
	generation string
	next       int       // index of the next token to pass
	digest     hash.Hash // SHA-256 over the texts of tokens 0 to next-1
	last       string    // text of token next-1, to compare with a repetition
}

// NewChecker returns a checker that expects token 0 of a generation.
func NewChecker(generation string) *Checker {
	return &Checker{generation: generation, digest: sha256.New()}
}

// Next returns the index of the token that Accept passes next, which is the number of tokens passed.
func (c *Checker) Next() int { return c.next }

// Accept reports whether to pass the token on. It returns false without an error for a token that was passed before.
// Errors wrap ErrWrongGeneration, ErrMissingToken or ErrTokenChanged, and the stream must end after one.
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

// Finish checks the engine's count of tokens and returns the digest of all tokens in hexadecimal. Errors wrap
// ErrWrongGeneration or ErrTokenCount.
func (c *Checker) Finish(generation string, count int) (string, error) {
	if generation != c.generation {
		return "", fmt.Errorf("%w: got %q, want %q", ErrWrongGeneration, generation, c.generation)
	}
	if count != c.next {
		return "", fmt.Errorf("%w: engine sent %d and counts %d", ErrTokenCount, c.next, count)
	}
	return hex.EncodeToString(c.digest.Sum(nil)), nil
}
