package routing

import "ebonyferry/internal/core/bundle"

// Splitter distributes requests over versions by smooth weighted round robin, so that shares hold over any short
// sequence of requests. It is not safe for concurrent use.
type Splitter struct {
	shares []bundle.VersionShare // sum to bundle.ShareTotal
	credit []int                 // by index of shares; sums to zero
}

// NewSplitter returns a splitter. Different phases, from 0 to ShareTotal, make many nodes with few requests each keep
// to the shares in sum.
func NewSplitter(shares []bundle.VersionShare, phase int) *Splitter {
	s := &Splitter{shares: shares, credit: make([]int, len(shares))}
	for range phase {
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

// Fallback returns the version that may run a request for a version that has no server: the one with the largest share,
// if that is larger than the version's own. Otherwise it returns "".
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
