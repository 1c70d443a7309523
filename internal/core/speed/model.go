// Package speed estimates how fast backend servers work, from what they do and from what their answers say.
//
// A Model predicts how long an engine of ordinary speed takes. A Tracker compares this with observations and keeps two
// factors of time for each server: a steady one of its hardware, and a momentary one of the machine that it shares with
// others. A factor of 2 means that work takes twice as long. Gateways use this package.
//
// The load that it handles: servers whose steady factors are 0.6 to 1.7, each of which takes 2.5 times as long for
// about half a second at a time.
package speed

import "time"

// Model predicts the work of an engine of ordinary speed that batches runs and reads prompts in chunks between the
// decode steps of other runs.
type Model struct {
	Step           time.Duration // of a decode step, without the part that grows with the runs
	StepPerRun     time.Duration // the part of a decode step for each run
	TokensPerMs    float64       // prompt tokens that are read per millisecond
	ChunkTokens    int           // prompt tokens that are read between two decode steps
	TokensPerEvent int           // tokens in one event of a stream
}

// DefaultModel holds what operators measured on the engines in use. An engine that differs from it in the same way in
// all of its work gets another factor.
var DefaultModel = Model{
	Step: 7 * time.Millisecond, StepPerRun: 120 * time.Microsecond, TokensPerMs: 14, ChunkTokens: 112, TokensPerEvent: 4,
}

// step returns the time of a decode step of a number of runs.
func (m *Model) step(runs int) time.Duration { return m.Step + time.Duration(runs)*m.StepPerRun }

// chunk returns the time in which a chunk of a prompt is read.
func (m *Model) chunk() time.Duration {
	return time.Duration(float64(m.ChunkTokens) / m.TokensPerMs * float64(time.Millisecond))
}

// Prefill returns the time in which an engine with a number of runs reads prompts.
func (m *Model) Prefill(tokens, runs int) time.Duration {
	alone := time.Duration(float64(tokens) / m.TokensPerMs * float64(time.Millisecond))
	if runs <= 0 {
		return alone
	}
	return alone + time.Duration(float64(tokens)/float64(m.ChunkTokens)*float64(m.step(runs)))
}

// Gap returns the time between two events of each of a number of runs, with or without a prompt that is being read.
func (m *Model) Gap(runs int, reading bool) time.Duration {
	step := m.step(runs)
	if reading {
		step += m.chunk()
	}
	return time.Duration(m.TokensPerEvent) * step
}

// Work returns the time for which an engine that is used to half is busy with a run of some prompt and answer tokens.
func (m *Model) Work(prompt, answer int) time.Duration {
	const runs = 12
	return m.Prefill(prompt, runs) + time.Duration(answer)*m.step(runs)
}
