package routing

import "ebonyferry/internal/core/bundle"

// This file defines the split of a model's requests between its versions.

// Splitter spreads requests over versions by smooth weighted round robin, so that shares hold over any short
// run of requests. It has one owner.
type Splitter struct {
	shares []bundle.VersionShare // sum to bundle.ShareTotal
	credit []int                 // by index of shares; sums to zero
}

// NewSplitter returns a splitter; start, from 0 to ShareTotal, shifts its phase, so that many nodes with few
// requests each keep to the shares in sum.
func NewSplitter(shares []bundle.VersionShare, start int) *Splitter {
	s := &Splitter{shares: shares, credit: make([]int, len(shares))}
	for range start {
		s.Next()
	}
	return s
}

// Next returns the version of the next request, or "" when no version has a share.
func (s *Splitter) Next() string {
	best, total := -1, 0
	for i, v := range s.shares {
		if v.Share <= 0 {
			continue
		}
		s.credit[i] += v.Share
		total += v.Share
		if best < 0 || s.credit[i] > s.credit[best] {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	s.credit[best] -= total
	return s.shares[best].Version
}

// Fallback returns the version that may take a request which version has no server for: the one with the
// largest share, when that is larger than version's own. Otherwise it returns "".
func (s *Splitter) Fallback(version string) string {
	own, best := 0, bundle.VersionShare{}
	for _, v := range s.shares {
		if v.Version == version {
			own = v.Share
		}
		if v.Share > best.Share {
			best = v
		}
	}
	if best.Share > own {
		return best.Version
	}
	return ""
}
