package engine

import "github.com/cespare/xxhash/v2"

// This file defines how prompts are counted and how their prefixes are named in cache events.

// Sizes of a cached block of a prompt.
const (
	BytesPerToken = 4
	BlockTokens   = 16
	BlockBytes    = BlockTokens * BytesPerToken
	// MaxPrefixBlocks bounds the prefixes that are named for one prompt.
	MaxPrefixBlocks = 512
)

// EstimateTokens estimates the number of tokens in a prompt.
func EstimateTokens(prompt string) int {
	return (len(prompt) + BytesPerToken - 1) / BytesPerToken
}

// PrefixHashes returns the name of each block-aligned prefix of a prompt, shortest first: element i names the
// first (i+1)*BlockBytes bytes. At most MaxPrefixBlocks are returned. Models do not share prefixes.
func PrefixHashes(model, prompt string) []uint64 {
	blocks := min(len(prompt)/BlockBytes, MaxPrefixBlocks)
	if blocks == 0 {
		return nil
	}
	d := newPrefixDigest(model)
	hashes := make([]uint64, blocks)
	for i := range hashes {
		_, _ = d.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes]) // never fails
		hashes[i] = d.Sum64()
	}
	return hashes
}

// PrefixHash names a single prefix, whose length is a multiple of BlockBytes.
func PrefixHash(model, prefix string) uint64 {
	d := newPrefixDigest(model)
	_, _ = d.WriteString(prefix) // never fails
	return d.Sum64()
}

func newPrefixDigest(model string) *xxhash.Digest {
	d := xxhash.New()
	_, _ = d.WriteString(model + "\x00") // never fails
	return d
}
