// This file estimates token counts of prompts and computes the hashes of their prefixes in cache events.

package engine

import "github.com/cespare/xxhash/v2"

// Sizes of the blocks in which engines cache prompts.
const (
	BytesPerToken = 4
	BlockTokens   = 16
	BlockBytes    = BlockTokens * BytesPerToken
	// MaxPrefixBlocks bounds the number of prefixes that are hashed for one prompt.
	MaxPrefixBlocks = 512
)

// EstimateTokens estimates the number of tokens in a prompt.
func EstimateTokens(prompt string) int {
	return (len(prompt) + BytesPerToken - 1) / BytesPerToken
}

// PrefixHashes returns the hashes of the block-aligned prefixes of a prompt, shortest first. Element i is the hash of
// the first (i+1)*BlockBytes bytes. At most MaxPrefixBlocks are returned. Hashes differ between models.
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

// PrefixHash returns the hash of one prefix, whose length is a multiple of BlockBytes.
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
