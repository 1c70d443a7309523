// Package placement chooses the engine that runs a generation, and the engine that keeps a copy of its memory.
//
// The need of a generation is predicted in tokens of memory: its prompt, the answer so far and the rest of the
// answer. A server's load is the sum over the runs and copies that all nodes have placed there. A server has capacity
// for a run as long as its predicted memory stays below a fraction of its total, since an engine that runs out of
// memory preempts a running stream. Copies are placed in memory that runs do not need soon.
//
// Choose, ChooseMove, ChooseCopy and ChooseCall choose among candidates. AnswerLength predicts the length of an answer,
// partly from the TypicalLength of earlier ones. Gateways use this package. Other nodes use package routing.
package placement

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"ebonyferry/internal/core/speed"
)

// Costs, penalties and bonuses are in units of a full memory.
const (
	// maxRunFill is the fraction of a server's memory that runs and copies may be predicted to take. The rest covers
	// answers that grow beyond their prediction.
	maxRunFill = 0.92
	// maxCopyFill is the same fraction for an engine that is to keep a new copy: runs take precedence over copies.
	maxCopyFill = 0.72
	// maxPoolFillForCopies is the fraction of the memory of all servers that runs may take while new copies are made.
	// Above it, runs soon need the memory that copies would take. Runs then move when their server receives a
	// termination notice.
	maxPoolFillForCopies = 0.5
	// copyWeight is the fraction of its memory that a copy counts with: engines keep copies only in spare memory.
	copyWeight = 0.75
	// maxSlotFill is the fraction of a server's slots that is used: steps grow longer with each stream.
	maxSlotFill = 0.9
	// crossDomainPenalty is the cost of an engine in another failure domain than the node. Loads that nodes of other
	// failure domains place are known later, so an engine that becomes idle would attract runs from all of them at the
	// same time. Traffic between failure domains also costs money and time.
	crossDomainPenalty = 0.3
	// callCrossDomainPenalty is the same for a call of a plain service: calls are too short to queue behind each other.
	callCrossDomainPenalty = 0.03
	// sameDomainCopyBonus favors a copy in the failure domain of its run, where a transfer takes half the time.
	sameDomainCopyBonus = 0.12
	// sameDomainMoveBonus is the same for a move, which must end within the termination notice: a link transfers the runs
	// of a full server within a failure domain in about a second, and across failure domains in two.
	sameDomainMoveBonus = 1.6
	// coldPenalty keeps work off a server that is warming up while others have capacity.
	coldPenalty = 0.5
	// failurePenalty is the cost of each request that any node recently lost at a server. With two, the server comes after
	// all others that have capacity. A lost generation may have run, so it is not retried.
	failurePenalty = 0.75
	// prefillScale is the number of prompt tokens ahead of a run that cost as much as a full memory. An engine that also
	// decodes takes about a second to process them, which delays the tokens of all its runs.
	prefillScale = 6000.0
	// tieBreakRange is the range of random cost that sets similar servers apart, so that nodes with the same view spread.
	tieBreakRange = 0.1
	// moveTieBreakRange is the same for a move. All nodes learn of a leaving server at the same moment, before they learn
	// of each other's moves, and the link of one target carries only a few moves within the termination notice.
	moveTieBreakRange = 1.2
	// callTieBreakRange is the same for a call of a plain service.
	callTieBreakRange = 0.04
)

// Need is the predicted need of a generation.
type Need struct {
	Tokens int // mean memory over its life, in tokens
	Prompt int // tokens to read before the first event

	FirstWeight float64 // of the time to the first event beside memory, see FirstWeight; 0 counts as 1
}

// Load is the load on a server.
type Load struct {
	Streams       int
	RunTokens     int // predicted memory of runs, in tokens
	CopyTokens    int // predicted memory of copies, in tokens
	PrefillTokens int // prompt tokens of runs without a first event
	Failures      int // recent requests that the server interrupted or did not accept
}

// MarshalJSON encodes a load as an array, since nodes exchange many of them.
func (l Load) MarshalJSON() ([]byte, error) {
	return json.Marshal([]int{l.Streams, l.RunTokens, l.CopyTokens, l.PrefillTokens, l.Failures})
}

// UnmarshalJSON decodes the output of MarshalJSON.
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
		Streams: l.Streams + o.Streams, RunTokens: l.RunTokens + o.RunTokens, CopyTokens: l.CopyTokens + o.CopyTokens,
		PrefillTokens: l.PrefillTokens + o.PrefillTokens, Failures: l.Failures + o.Failures,
	}
}

// Candidate is a server that may receive new work.
type Candidate struct {
	Load        Load
	Slots       int
	Memory      int    // in tokens
	Domain      string // failure domain
	CrossDomain bool   // in another failure domain than the node
	Cold        bool
	TieBreak    float64 // random, from 0 to 1; 1 costs tieBreakRange

	TokensPerEvent int // in one event of a stream; 0 is that of speed.DefaultModel

	Speed   speed.Estimate // zero for all candidates where speeds are not known
	LoadAge time.Duration  // of the oldest report in Load
}

// Choose returns the index of the server for a run, or -1 if none has capacity.
func Choose(list []Candidate, need Need) int {
	best, lowest := -1, 0.0
	for i, c := range list {
		if !c.fits(need, maxRunFill) {
			continue
		}
		if cost := c.cost(need, need.Prompt); best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// ChooseCopy returns the index of the server that keeps the copy of a run in the given failure domain, or -1 if none
// has capacity or runs need the memory.
func ChooseCopy(list []Candidate, domain string, need Need) int {
	if poolRunFill(list) > maxPoolFillForCopies {
		return -1
	}
	return chooseTransferTarget(list, domain, need, transfer{fill: maxCopyFill, bonus: sameDomainCopyBonus, spread: tieBreakRange})
}

// ChooseMove returns the index of the server to which a run in the given failure domain moves, or -1 if none has
// capacity.
func ChooseMove(list []Candidate, domain string, need Need) int {
	return chooseTransferTarget(list, domain, need, transfer{fill: maxRunFill, bonus: sameDomainMoveBonus, spread: moveTieBreakRange})
}

// transfer is how the server for a copy or a move is chosen.
type transfer struct {
	fill   float64 // of the memory, at most
	bonus  float64 // of a server in the failure domain of the run
	spread float64 // range of random cost
}

// chooseTransferTarget returns the index of the server for a copy or a move.
func chooseTransferTarget(list []Candidate, domain string, need Need, t transfer) int {
	best, lowest := -1, 0.0
	for i, c := range list {
		if c.Cold || !c.fits(need, t.fill) {
			continue
		}
		cost := c.cost(need, 0) + (t.spread-tieBreakRange)*c.TieBreak
		if c.Domain == domain {
			cost -= t.bonus
		}
		if best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// poolRunFill returns the fraction of the memory of all servers that runs take.
func poolRunFill(list []Candidate) float64 {
	tokens, memory := 0, 0
	for i := range list {
		tokens += list[i].Load.RunTokens
		memory += list[i].Memory
	}
	return float64(tokens) / float64(max(1, memory))
}

// usedMemory returns the memory that counts as used, in tokens.
func (c *Candidate) usedMemory() float64 {
	return float64(c.Load.RunTokens) + copyWeight*float64(c.Load.CopyTokens)
}

func (c *Candidate) fits(need Need, fill float64) bool {
	return c.usedMemory()+float64(need.Tokens) <= fill*float64(c.Memory) &&
		float64(c.Load.Streams+1) <= maxSlotFill*float64(c.Slots)
}

// FreeForRuns returns the memory that further runs may take, in tokens, or zero without a free slot.
func (c *Candidate) FreeForRuns() int {
	if !c.fits(Need{}, maxRunFill) {
		return 0
	}
	return int(maxRunFill*float64(c.Memory) - c.usedMemory())
}

// cost returns the cost of a run of which a number of prompt tokens are to be read.
func (c *Candidate) cost(need Need, prompt int) float64 {
	if c.Speed.Known() {
		return c.timeCost(need, prompt)
	}
	memory := (c.usedMemory() + float64(need.Tokens)) / float64(max(1, c.Memory))
	streams := float64(c.Load.Streams+1) / float64(max(1, c.Slots))
	prefill := float64(c.Load.PrefillTokens) / prefillScale
	cost := memory + streams + prefill + failurePenalty*float64(c.Load.Failures) + tieBreakRange*c.TieBreak
	if c.CrossDomain {
		cost += crossDomainPenalty
	}
	if c.Cold {
		cost += coldPenalty
	}
	return cost
}

// AnswerLength is what is known of the length of an answer.
type AnswerLength struct {
	Typical float64 // geometric mean of the answers on the same route in tokens; 0 if unknown
	Hint    int     // the caller's estimate in tokens, right in the median but often far off; 0 if none
	Max     int     // limit in tokens; 0 if none
}

const (
	// hintWeight is the weight of a hint relative to the route's typical length, in logarithms: hints vary about twice as
	// much around the true length as true lengths do around the typical one.
	hintWeight = 0.35
	// meanToMedian is the ratio of the mean to the median of the skewed distribution of lengths.
	meanToMedian = 1.25
)

// Predict returns the predicted length of an answer of which some tokens are already generated.
func (l AnswerLength) Predict(generated int) int {
	expected := float64(defaultAnswerTokens)
	switch {
	case l.Typical > 0 && l.Hint > 0:
		expected = meanToMedian * math.Pow(l.Typical, 1-hintWeight) * math.Pow(float64(l.Hint), hintWeight)
	case l.Typical > 0:
		expected = meanToMedian * l.Typical
	case l.Hint > 0:
		expected = float64(l.Hint)
	}
	if l.Max > 0 {
		expected = min(expected, float64(l.Max))
	}
	// An answer that outgrows its prediction is expected to grow by half of its present length.
	return max(int(expected), generated+generated/2)
}

// minCopyTokens is the predicted rest of an answer, in tokens, from which a copy of its run is worth its memory.
// Shorter ones end within the termination notice of a server that is reclaimed.
const minCopyTokens = 160

// WorthCopy reports whether a copy of the run is worth its memory.
func (l AnswerLength) WorthCopy(generated int) bool {
	return l.Predict(generated)-generated >= minCopyTokens
}

// defaultAnswerTokens is the predicted length of an answer with neither a typical length nor a hint.
const defaultAnswerTokens = 800

// RunNeed returns the mean memory of a generation over the rest of its life.
func RunNeed(prompt int, l AnswerLength, generated int) Need {
	expected := l.Predict(generated)
	return Need{Tokens: prompt + generated + (expected-generated)/2, Prompt: prompt}
}

// maxCallsPerSlot is the number of calls that a slot of a plain service may have, the running one included. Further
// calls would wait longer than callers do.
const maxCallsPerSlot = 3

// ChooseCall returns the index of the server for a call of a plain service, or -1 if none has capacity.
func ChooseCall(list []Candidate) int {
	best, lowest := -1, 0.0
	for i, c := range list {
		if c.Load.Streams >= maxCallsPerSlot*c.Slots {
			continue
		}
		cost := c.callCost() +
			failurePenalty*float64(c.Load.Failures) + callTieBreakRange*c.TieBreak
		if c.CrossDomain {
			cost += callCrossDomainPenalty
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

// callCost returns the cost of a call by the calls that are at a server.
func (c *Candidate) callCost() float64 {
	share := float64(c.Load.Streams+1) / float64(max(1, c.Slots))
	if !c.Speed.Known() {
		return share
	}
	// A call runs at once while there is a slot, and otherwise waits for its share of those before it.
	return c.Speed.Factor() * (max(1, share) + share)
}

// TypicalLength learns the typical length of answers. The zero value has observed none.
type TypicalLength struct {
	logMean  float64 // of the lengths in tokens
	observed int
}

// typicalWindow is the number of recent answers over which the mean is taken.
const typicalWindow = 100

// Observe records the length of a complete answer in tokens.
func (t *TypicalLength) Observe(tokens int) {
	t.observed = min(t.observed+1, typicalWindow)
	t.logMean += (math.Log(float64(max(1, tokens))) - t.logMean) / float64(t.observed)
}

// minObserved is the number of answers below which the typical length is unknown.
const minObserved = 5

// Tokens returns the geometric mean of the lengths, or 0 while too few are observed.
func (t *TypicalLength) Tokens() float64 {
	if t.observed < minObserved {
		return 0
	}
	return math.Exp(t.logMean)
}
