package stream

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"testing"
)

type token struct {
	generation string
	index      int
	text       string
}

func TestCheckerAccept(t *testing.T) {
	tests := []struct {
		name   string
		tokens []token
		passed string // texts passed on
		err    error
	}{
		{"in order", []token{{"g", 0, "a"}, {"g", 1, "b"}}, "ab", nil},
		{"repeated", []token{{"g", 0, "a"}, {"g", 1, "b"}, {"g", 0, "a"}, {"g", 1, "b"}, {"g", 2, "c"}}, "abc", nil},
		{"wrong generation", []token{{"g", 0, "a"}, {"h", 1, "b"}}, "a", ErrWrongGeneration},
		{"gap", []token{{"g", 0, "a"}, {"g", 2, "c"}}, "a", ErrMissingToken},
		{"negative", []token{{"g", -1, "a"}}, "", ErrMissingToken},
		{"changed", []token{{"g", 0, "a"}, {"g", 0, "x"}}, "a", ErrTokenChanged},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := passAll(NewChecker("g"), tt.tokens)
			if got != tt.passed {
				t.Errorf("passed: got %q, want %q", got, tt.passed)
			}
			if !errors.Is(err, tt.err) {
				t.Errorf("error: got %v, want %v", err, tt.err)
			}
		})
	}
}

func passAll(c *Checker, tokens []token) (string, error) {
	passed := ""
	for _, tok := range tokens {
		ok, err := c.Accept(tok.generation, tok.index, tok.text)
		if err != nil {
			return passed, err
		}
		if ok {
			passed += tok.text
		}
	}
	return passed, nil
}

func TestCheckerFinish(t *testing.T) {
	c := NewChecker("g")
	if _, err := passAll(c, []token{{"g", 0, "a"}, {"g", 1, "b"}}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Finish("g", 3); !errors.Is(err, ErrTokenCount) {
		t.Errorf("count 3: got %v, want %v", err, ErrTokenCount)
	}
	if _, err := c.Finish("h", 2); !errors.Is(err, ErrWrongGeneration) {
		t.Errorf("generation h: got %v, want %v", err, ErrWrongGeneration)
	}
	got, err := c.Finish("g", 2)
	if err != nil {
		t.Fatal(err)
	}
	sum := sha256.Sum256([]byte("ab"))
	if want := hex.EncodeToString(sum[:]); got != want {
		t.Errorf("digest: got %s, want %s", got, want)
	}
}
