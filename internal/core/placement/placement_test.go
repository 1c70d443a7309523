package placement

import (
	"math/rand/v2"
	"slices"
	"testing"
)

const memory = 30_000

func idle(domain string) Candidate {
	return Candidate{Slots: 24, Memory: memory, Domain: domain}
}

func loaded(domain string, l Load) Candidate {
	c := idle(domain)
	c.Load = l
	return c
}

func TestChoose(t *testing.T) {
	cold := idle("x")
	cold.Cold = true
	crossDomain := idle("y")
	crossDomain.CrossDomain = true
	tests := []struct {
		name string
		list []Candidate
		want int
	}{
		{"none", nil, -1},
		{"emptier memory", []Candidate{loaded("x", Load{Streams: 2, RunTokens: 9000}), loaded("x", Load{Streams: 2, RunTokens: 6000})}, 1},
		{"fewer prompt tokens to process", []Candidate{loaded("x", Load{Streams: 1, PrefillTokens: 5000}), loaded("x", Load{Streams: 2, RunTokens: 6000})}, 1},
		{"a failed request", []Candidate{loaded("x", Load{Failures: 1}), loaded("x", Load{Streams: 3, RunTokens: 9000})}, 1},
		{"failed requests, others without capacity", []Candidate{loaded("x", Load{Failures: 9}), loaded("x", Load{Streams: 22})}, 0},
		{"full memory", []Candidate{loaded("x", Load{RunTokens: memory - 3000})}, -1},
		{"full slots", []Candidate{loaded("x", Load{Streams: 22})}, -1},
		{"copies count less than runs", []Candidate{loaded("x", Load{CopyTokens: memory})}, 0},
		{"warm before cold", []Candidate{cold, loaded("x", Load{Streams: 3, RunTokens: 9000})}, 1},
		{"same failure domain before another", []Candidate{crossDomain, idle("x")}, 1},
		{"another failure domain before a full server", []Candidate{loaded("x", Load{Streams: 8, RunTokens: 20000}), crossDomain}, 1},
	}
	for _, tt := range tests {
		if got := Choose(tt.list, Need{Tokens: 4000}); got != tt.want {
			t.Errorf("%s: got %d, want %d", tt.name, got, tt.want)
		}
	}
}

// A copy must not take memory that runs need soon; a run that must move may take it.
func TestChooseCopyLeavesMemoryForRuns(t *testing.T) {
	list := []Candidate{loaded("x", Load{Streams: 6, RunTokens: 20000})}
	if got := ChooseCopy(list, "x", Need{Tokens: 4000}); got != -1 {
		t.Errorf("copy: got %d, want none", got)
	}
	if got := ChooseMove(list, "x", Need{Tokens: 4000}); got != 0 {
		t.Errorf("move: got %d, want 0", got)
	}
	list = []Candidate{loaded("x", Load{RunTokens: 28000}), loaded("x", Load{RunTokens: 28000}), idle("x")}
	if got := ChooseCopy(list, "x", Need{Tokens: 4000}); got != -1 {
		t.Errorf("copy while runs take more than half of all memory: got %d, want none", got)
	}
	list = []Candidate{idle("y"), idle("x")}
	if got := ChooseCopy(list, "x", Need{Tokens: 4000}); got != 1 {
		t.Errorf("copy of a run in domain x: got %d, want 1, in the same domain", got)
	}
}

// A move must end within the termination notice, so it stays in its failure domain even if servers there have more
// load. A copy has more time and goes to the empty server.
func TestMovesPreferTheirDomain(t *testing.T) {
	list := []Candidate{idle("y"), loaded("x", Load{Streams: 3, RunTokens: 10000})}
	if got := ChooseMove(list, "x", Need{Tokens: 4000}); got != 1 {
		t.Errorf("move: got %d, want 1, in the same domain", got)
	}
	if got := ChooseCopy(list, "x", Need{Tokens: 4000}); got != 0 {
		t.Errorf("copy: got %d, want 0, the empty server", got)
	}
}

func TestChooseCallSkipsFullServers(t *testing.T) {
	list := []Candidate{{Slots: 6, Load: Load{Streams: 6 * maxCallsPerSlot}}, {Slots: 6, Load: Load{Streams: 5}}}
	if got := ChooseCall(list); got != 1 {
		t.Errorf("got %d, want 1", got)
	}
	list[1].Load.Streams = 6 * maxCallsPerSlot
	if got := ChooseCall(list); got != -1 {
		t.Errorf("all full: got %d, want none", got)
	}
}

func TestPredict(t *testing.T) {
	tests := []struct {
		l         AnswerLength
		generated int
		want      int
	}{
		{AnswerLength{}, 0, defaultAnswerTokens},
		{AnswerLength{Hint: 300}, 0, 300},
		{AnswerLength{Hint: 3000, Max: 2000}, 0, 2000},
		{AnswerLength{Hint: 300}, 400, 600},
		{AnswerLength{Typical: 400}, 0, 500},
		{AnswerLength{Typical: 400, Hint: 400}, 0, 499},
		{AnswerLength{Typical: 400, Hint: 400, Max: 450}, 0, 450},
	}
	for _, tt := range tests {
		if got := tt.l.Predict(tt.generated); got != tt.want {
			t.Errorf("%+v after %d tokens: got %d, want %d", tt.l, tt.generated, got, tt.want)
		}
	}
}

// A hint that is far off must not outweigh the observed lengths of the route's answers.
func TestTypicalLengthLimitsHints(t *testing.T) {
	var typical TypicalLength
	if got := typical.Tokens(); got != 0 {
		t.Errorf("before any answer: got %v, want 0", got)
	}
	for range 200 {
		typical.Observe(200)
		typical.Observe(800)
	}
	if got := typical.Tokens(); got < 380 || got > 420 {
		t.Fatalf("typical length of answers of 200 and 800 tokens: got %.0f, want about 400", got)
	}
	l := AnswerLength{Typical: typical.Tokens(), Hint: 10}
	if got := l.Predict(0); got < 100 {
		t.Errorf("with a hint of 10: got %d, want at least 100", got)
	}
}

// In a burst, many nodes place requests before they receive each other's loads. They must not all choose the same one
// of equal servers.
func TestNodesWithTheSameViewSpread(t *testing.T) {
	const servers, nodes = 8, 64
	count := make([]int, servers)
	for n := range nodes {
		list := make([]Candidate, servers)
		for i := range list {
			list[i] = idle("x")
			list[i].TieBreak = float64((n*7919+i*104729)%1000) / 1000
		}
		count[Choose(list, Need{Tokens: 4000})]++
	}
	for i, got := range count {
		if limit := 3 * nodes / servers; got > limit {
			t.Errorf("server %d: got %d of %d requests, want at most %d", i, got, nodes, limit)
		}
	}
}

// All nodes that serve a leaving server's runs choose targets at the same moment, with the same view. The link of a
// target carries a run of 4,000 tokens in 0.22 s, so five within the 1.1 s until runs are stopped.
func TestMovesAtTheSameMomentSpread(t *testing.T) {
	const runs, servers, maxPerTarget = 10, 10, 5
	rng := rand.New(rand.NewPCG(1, 0))
	for trial := range 20 {
		list := make([]Candidate, servers)
		for i := range list {
			list[i] = loaded("x", Load{Streams: 1 + rng.IntN(4), RunTokens: 4000 * (1 + rng.IntN(4))})
		}
		targets := make([]int, servers)
		for range runs {
			for i := range list {
				list[i].TieBreak = rng.Float64()
			}
			targets[ChooseMove(list, "x", Need{Tokens: 4000})]++
		}
		if got := slices.Max(targets); got > maxPerTarget {
			t.Errorf("trial %d: got %d of %d moves to one server, want at most %d", trial, got, runs, maxPerTarget)
		}
	}
}
