// Package routing chooses the backend server and the version that a generation runs on.
//
// Choose returns the candidate with the least predicted peak of memory and the least latency, with a bonus for a
// cached prompt prefix. Cache models the contents of a server's prefix cache: confidence in an entry decays as its
// event gets older, and drops at a gap in the sequence of events. Splitter distributes requests by the shares of a
// model's versions.
package routing

// Candidate is a server with capacity for the work.
type Candidate struct {
	Peak         float64 // predicted peak of memory with the work on it, relative to the budget; at least 0
	Streams      float64 // streams relative to the allowance, the work included; at least 0
	Latency      float64 // mean gap between tokens relative to the target; 0 when not measured
	Pending      float64 // prompts sent there without a first token
	CachedTokens float64 // tokens of the prompt expected in the cache
	PromptTokens float64 // tokens of the prompt
	TieBreak     uint64  // orders equal candidates; different at each node
	Preferred    bool    // comes before candidates that are not, whatever their scores
}

const (
	peakWeight    = 1.0
	streamsWeight = 0.5
	latencyWeight = 0.4
	pendingWeight = 0.05
	cacheWeight   = 0.35
)

// Choose returns the index of the best candidate, or -1 when there is none.
func Choose(candidates []Candidate) int {
	best := -1
	var bestScore float64
	for i := range candidates {
		score := candidates[i].score()
		if best < 0 || better(candidates[i], score, candidates[best], bestScore) {
			best, bestScore = i, score
		}
	}
	return best
}

func better(a Candidate, aScore float64, b Candidate, bScore float64) bool {
	if a.Preferred != b.Preferred {
		return a.Preferred
	}
	if aScore != bScore {
		return aScore < bScore
	}
	return a.TieBreak < b.TieBreak
}

func (c Candidate) score() float64 {
	s := peakWeight*c.Peak + streamsWeight*c.Streams + latencyWeight*c.Latency + pendingWeight*c.Pending
	if c.PromptTokens > 0 {
		s -= cacheWeight * c.CachedTokens / c.PromptTokens
	}
	return s
}
