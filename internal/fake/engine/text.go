// This file defines the texts and lengths that an engine generates. They depend on the prompt alone, so a caller
// can check that each token belongs to its own request.

package engine

import (
	"math"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Directives that a prompt can contain.
const (
	DirectiveTokens = "#tokens=" // "#tokens=N" sets the length of the answer
	DirectiveCrash  = "#crash"   // crashes the engine; "#crash=N" does so after N tokens
)

const (
	minLength          = 8
	maxLength          = 20_000
	lengthTail         = 1.1 // exponent of the Pareto distribution of lengths
	defaultCrashTokens = 3   // tokens before a crash without a number
)

// TokenText returns the text of the token with the given index in the answer to prompt.
func TokenText(prompt string, index int) string { return TextAt(TextSeed(prompt), index) }

// TextSeed returns the hash of a prompt from which TextAt derives the texts of the answer.
func TextSeed(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// TextAt returns the text of the token with the given index in the answer to a prompt with the given seed.
func TextAt(seed uint64, index int) string {
	const base, digits = 32, 20 // 20 bits make four digits or fewer
	return strconv.FormatUint(mix(seed+uint64(index))>>(64-digits), base) + " "
}

// Length returns the number of tokens in the answer to prompt. Without a directive, it is drawn from a heavy-tailed
// distribution by the prompt's hash.
func Length(prompt string) int {
	if n, ok := directiveNumber(prompt, DirectiveTokens); ok {
		return max(n, 1)
	}
	u := float64(mix(^TextSeed(prompt))>>11) / (1 << 53)
	n := minLength * math.Pow(1-u, -1/lengthTail)
	return int(min(n, maxLength))
}

// crashAfter returns the number of tokens after which the prompt crashes the engine, and whether it does.
func crashAfter(prompt string) (int, bool) {
	if n, ok := directiveNumber(prompt, DirectiveCrash+"="); ok {
		return n, true
	}
	return defaultCrashTokens, strings.Contains(prompt, DirectiveCrash)
}

// directiveNumber returns the number that follows name in prompt.
func directiveNumber(prompt, name string) (int, bool) {
	_, rest, ok := strings.Cut(prompt, name)
	if !ok {
		return 0, false
	}
	end := strings.IndexFunc(rest, func(r rune) bool { return r < '0' || r > '9' })
	if end >= 0 {
		rest = rest[:end]
	}
	n, err := strconv.Atoi(rest)
	return n, err == nil
}

// mix scrambles x with one step of SplitMix64 (Steele, Lea, Flood: Fast Splittable Pseudorandom Number Generators,
// 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
