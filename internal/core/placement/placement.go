// Package placement chooses the engine for a generation, and the engine that keeps the copy of its memory.
//
// What a generation will need is predicted in tokens of memory: its prompt, and the answer so far and to come.
// A server's load is the sum over the runs and copies that are placed there, by all nodes. A server has room for
// a run as long as its predicted memory stays below a part of what it has, since an engine that runs out
// preempts a stream in its middle. Copies are placed in memory that runs do not need soon.
package placement

import (
	"encoding/json"
	"fmt"
	"math"
)

const (
	// runFill is the part of a server's memory that runs and copies may be predicted to need. The rest covers
	// answers that grow beyond their prediction.
	runFill = 0.92
	// copyFill is the same for a new copy that an engine keeps: runs go before copies.
	copyFill = 0.72
	// copyPoolFill is the part of the memory of all servers that runs may take while new copies are made. Above it, what
	// copies take is missing to runs soon, and runs move on the notice of their server instead.
	copyPoolFill = 0.5
	// copyWeight is the part of its memory that a copy counts with: engines keep copies only while there is room.
	copyWeight = 0.75
	// streamFill is the part of a server's slots that is used; steps grow longer with each stream.
	streamFill = 0.9
	// farPenalty is what a server in another failure domain than the node costs, as a part of its fill: bytes
	// between failure domains are priced and late.
	farPenalty = 0.03
	// sameDomainBonus prefers a copy in the failure domain of its run, where a transfer takes half the time.
	sameDomainBonus = 0.12
	// moveDomainBonus is the same for a move, which has to end within the notice: a link carries the runs of a full server
	// within a failure domain in about a second, and across in two.
	moveDomainBonus = 0.6
	// coldPenalty keeps work off a server that is warming up while others have room.
	coldPenalty = 0.5
	// lostPenalty is what each request costs that any node lost at a server lately: with two, the server comes after all
	// others that have room. A generation that is lost may have run, so it is not sent again.
	lostPenalty = 0.75
	// unreadScale is how many prompt tokens ahead of a run cost as much as a full memory: reading them takes an engine
	// that also decodes about a second, and delays the tokens of all its runs.
	unreadScale = 6000.0
	// tieSpread is the part by which equal servers differ at random, so that nodes with the same view spread.
	tieSpread = 0.04
)

// Need is what a generation is predicted to take.
type Need struct {
	Tokens int // of memory on the mean over its life
}

// Load is what runs on a server.
type Load struct {
	Streams       int
	RunTokens     int // of memory that runs are predicted to take
	CopyTokens    int // of memory that copies are predicted to take
	PrefillTokens int // prompt tokens of runs without a first event
	Failures      int // requests that the server cut or did not take lately
}

// MarshalJSON writes a load as an array, since nodes exchange many of them.
func (l Load) MarshalJSON() ([]byte, error) {
	return json.Marshal([]int{l.Streams, l.RunTokens, l.CopyTokens, l.PrefillTokens, l.Failures})
}

// UnmarshalJSON reads what MarshalJSON writes.
func (l *Load) UnmarshalJSON(data []byte) error {
	var n [5]int
	if err := json.Unmarshal(data, &n); err != nil {
		return fmt.Errorf("load %s is not an array of five numbers: %w", data, err)
	}
	*l = Load{Streams: n[0], RunTokens: n[1], CopyTokens: n[2], PrefillTokens: n[3], Failures: n[4]}
	return nil
}

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{
		Streams: l.Streams + o.Streams, RunTokens: l.RunTokens + o.RunTokens, CopyTokens: l.CopyTokens + o.CopyTokens, PrefillTokens: l.PrefillTokens + o.PrefillTokens,
		Failures: l.Failures + o.Failures,
	}
}

// Candidate is a server that may get new work.
type Candidate struct {
	Load        Load
	Slots       int
	Memory      int    // in tokens
	Domain      string // failure domain
	CrossDomain bool   // in another failure domain than the node
	Cold        bool
	TieBreak    float64 // random, from 0 up; 1 makes up for tieSpread
}

// Choose returns the index of the server for a run, or -1 when none has room.
func Choose(list []Candidate, need Need) int {
	best, lowest := -1, 0.0
	for i, c := range list {
		if !c.fits(need, runFill) {
			continue
		}
		if cost := c.cost(need); best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// ChooseCopy returns the index of the server that keeps the copy of a run in a failure domain, or -1 when none has
// room or runs need the memory.
func ChooseCopy(list []Candidate, domain string, need Need) int {
	if runFillOf(list) > copyPoolFill {
		return -1
	}
	return chooseCopy(list, domain, need, copyFill, sameDomainBonus)
}

// ChooseMove returns the index of the server that a run moves to from a failure domain, or -1 when none has room.
func ChooseMove(list []Candidate, domain string, need Need) int {
	return chooseCopy(list, domain, need, runFill, moveDomainBonus)
}

func chooseCopy(list []Candidate, domain string, need Need, fill, bonus float64) int {
	best, lowest := -1, 0.0
	for i, c := range list {
		if c.Cold || !c.fits(need, fill) {
			continue
		}
		cost := c.cost(need)
		if c.Domain == domain {
			cost -= bonus
		}
		if best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// Returns the part of the memory of all servers that runs take.
func runFillOf(list []Candidate) float64 {
	tokens, memory := 0, 0
	for i := range list {
		tokens += list[i].Load.RunTokens
		memory += list[i].Memory
	}
	return float64(tokens) / float64(max(1, memory))
}

// Returns the memory that counts as taken.
func (c *Candidate) taken() float64 {
	return float64(c.Load.RunTokens) + copyWeight*float64(c.Load.CopyTokens)
}

func (c *Candidate) fits(need Need, fill float64) bool {
	return c.taken()+float64(need.Tokens) <= fill*float64(c.Memory) &&
		float64(c.Load.Streams+1) <= streamFill*float64(c.Slots)
}

func (c *Candidate) cost(need Need) float64 {
	memory := (c.taken() + float64(need.Tokens)) / float64(max(1, c.Memory))
	streams := float64(c.Load.Streams+1) / float64(max(1, c.Slots))
	unread := float64(c.Load.PrefillTokens) / unreadScale
	cost := memory + streams + unread + lostPenalty*float64(c.Load.Failures) + tieSpread*c.TieBreak
	if c.CrossDomain {
		cost += farPenalty
	}
	if c.Cold {
		cost += coldPenalty
	}
	return cost
}

// AnswerLength is what is known of the length of an answer.
type AnswerLength struct {
	Typical float64 // geometric mean of the answers on the same route in tokens; 0 is not known
	Hint    int     // the caller's estimate in tokens, right at the median and often far off; 0 is none
	Max     int     // bound in tokens; 0 is none
}

const (
	// hintWeight is the weight of a hint against the route's typical length, in logarithms: hints vary about twice as
	// much around the true length as true lengths do around the typical one.
	hintWeight = 0.35
	// meanOverMedian turns the median of a skewed distribution into its mean.
	meanOverMedian = 1.25
)

// Predict returns the predicted length of an answer that has made some tokens already.
func (l AnswerLength) Predict(made int) int {
	expected := float64(meanAnswer)
	switch {
	case l.Typical > 0 && l.Hint > 0:
		expected = meanOverMedian * math.Pow(l.Typical, 1-hintWeight) * math.Pow(float64(l.Hint), hintWeight)
	case l.Typical > 0:
		expected = meanOverMedian * l.Typical
	case l.Hint > 0:
		expected = float64(l.Hint)
	}
	if l.Max > 0 {
		expected = min(expected, float64(l.Max))
	}
	// An answer that outlived its prediction is expected to go on for half as long again.
	return max(int(expected), made+made/2)
}

// minCopied is the predicted rest of an answer, in tokens, from which a copy of its run is worth its memory. Shorter
// ones end within the notice of a server that is reclaimed.
const minCopied = 160

// WorthCopy reports whether a run is worth a copy.
func (l AnswerLength) WorthCopy(made int) bool { return l.Predict(made)-made >= minCopied }

// meanAnswer is the length that stands in for an answer without a hint.
const meanAnswer = 800

// RunNeed returns the mean memory of a generation over the rest of its life.
func RunNeed(prompt int, l AnswerLength, made int) Need {
	expected := l.Predict(made)
	return Need{Tokens: prompt + made + (expected-made)/2}
}

// callQueue is how many calls a slot of a plain service may have, the running one included. More would wait longer
// than callers do.
const callQueue = 3

// ChooseCall returns the index of the server for a call of a plain service, or -1 when none has room.
func ChooseCall(list []Candidate) int {
	best, lowest := -1, 0.0
	for i, c := range list {
		if c.Load.Streams >= callQueue*c.Slots {
			continue
		}
		cost := float64(c.Load.Streams+1)/float64(max(1, c.Slots)) + lostPenalty*float64(c.Load.Failures) + tieSpread*c.TieBreak
		if c.CrossDomain {
			cost += farPenalty
		}
		if c.Cold {
			cost += coldPenalty
		}
		if best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// TypicalLength learns the typical length of answers. The zero value knows none.
type TypicalLength struct {
	logMean float64 // of the lengths in tokens
	seen    int
}

// typicalWindow is the number of answers that a length is learned from.
const typicalWindow = 100

// Observe takes the length of a whole answer in tokens.
func (t *TypicalLength) Observe(tokens int) {
	t.seen = min(t.seen+1, typicalWindow)
	t.logMean += (math.Log(float64(max(1, tokens))) - t.logMean) / float64(t.seen)
}

// minSeen is how many answers a length is learned from at least.
const minSeen = 5

// Tokens returns the geometric mean of the lengths, or 0 while too few were seen.
func (t *TypicalLength) Tokens() float64 {
	if t.seen < minSeen {
		return 0
	}
	return math.Exp(t.logMean)
}
