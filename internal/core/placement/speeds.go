// This file defines how a server is chosen where the speeds of servers are known.

package placement

import (
	"cmp"
	"time"

	"ebonyferry/internal/core/speed"
)

// Costs by speed are in units of a full memory too, so that they weigh against the memory that runs take.
const (
	// firstEventScale is the expected time to the first event that costs as much as a full memory. With 400 ms, servers lacked
	// memory for 0.7% to 0.9% of the time in a replay of 65 streams a second, and with 700 ms for 0.3% to 0.6%.
	firstEventScale = 700 * time.Millisecond
	// gapScale is the expected gap between events that costs as much as a full memory.
	gapScale = 150 * time.Millisecond
	// maxGap is the expected gap between the events of a server's runs from which the server takes no prompt if another
	// one can. Answers with a gap of over 180 ms are late, and half of the gaps are longer than expected.
	maxGap = 150 * time.Millisecond
	// longGapPenalty keeps prompts off a server beyond maxGap. No other cost adds up to it.
	longGapPenalty = 100.0
	// crowdedFill is the fraction of a memory beyond which its use costs crowdedWeight times as much. Answers that outgrow
	// their prediction preempt runs there, which costs more time than a slow server does.
	crowdedFill   = 0.8
	crowdedWeight = 5.0
	// minSpread, spreadPerSecond and maxSpread give the range of random cost by the age of the reported loads: the older
	// they are, the more prompts of other nodes are not seen, and the more of the nearly best servers are used.
	minSpread       = 0.1
	spreadPerSecond = 1.0
	maxSpread       = 0.6
	// skippedPerSecond is the share of the servers that a choice avoids at random, by the age of the reported loads, and
	// maxSkipped the largest such share. It bounds the share of the choices by one report that fall on one server, however
	// much better than the others that server looks. skipPenalty is the cost of such a server.
	skippedPerSecond = 1.4
	maxSkipped       = 0.7
	skipPenalty      = 2.0
	// crossDomainTimePenalty is the crossDomainPenalty beside expected times: with 0.3, the 95th percentile of the
	// time to the first event is 5% to 12% higher in the replay of 61 nodes, since loads of other failure domains are known
	// later.
	crossDomainTimePenalty = 0.45
)

// expectedFirst returns the expected time to the first event of a run with a prompt of some tokens.
func (c *Candidate) expectedFirst(prompt int) time.Duration {
	return c.Speed.Time(speed.DefaultModel.Prefill(c.Load.PrefillTokens+prompt, c.Load.Streams))
}

// expectedGap returns the expected gap between the events of the server's runs while one more prompt is read, or while
// prompts that are there already are read.
func (c *Candidate) expectedGap(prompt int) time.Duration {
	reading := c.Load.PrefillTokens+prompt > 0
	m := speed.DefaultModel
	m.TokensPerEvent = cmp.Or(c.TokensPerEvent, m.TokensPerEvent)
	return time.Duration(float64(m.Gap(c.Load.Streams+1, reading)) * c.Speed.Factor())
}

// timeCost returns the cost of a run by the expected times. A run whose memory is copied has no prompt to read.
//
// It handles servers that differ by a factor of up to three and are slow for moments, each of which many nodes choose by
// the same reports.
func (c *Candidate) timeCost(need Need, prompt int) float64 {
	memory := (c.usedMemory() + float64(need.Tokens)) / float64(max(1, c.Memory))
	gap := c.expectedGap(prompt)
	cost := memory + crowdedWeight*max(0, memory-crowdedFill) + gap.Seconds()/gapScale.Seconds() +
		failurePenalty*float64(c.Load.Failures) + c.randomCost()
	if prompt > 0 {
		cost += cmp.Or(need.FirstWeight, 1) * c.expectedFirst(prompt).Seconds() / firstEventScale.Seconds()
	}
	if gap > maxGap {
		cost += longGapPenalty
	}
	if c.CrossDomain {
		cost += crossDomainTimePenalty
	}
	if c.Cold {
		cost += coldPenalty
	}
	return cost
}

// randomCost returns the random cost that sets the choices of many nodes by the same reports apart.
func (c *Candidate) randomCost() float64 {
	age := c.LoadAge.Seconds()
	cost := min(maxSpread, minSpread+spreadPerSecond*age) * c.TieBreak
	if c.TieBreak > 1-min(maxSkipped, skippedPerSecond*age) {
		cost += skipPenalty
	}
	return cost
}
