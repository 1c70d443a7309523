package rollout

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// nodeEvidence returns the evidence of a node over two periods, which is the time between a node's reports in a large
// fleet. The node has 36 requests a second for two versions, on two routes, at both load levels and on twenty servers.
func nodeEvidence(rng *rand.Rand) Evidence {
	const requests = 36 * int(2*Period/time.Second)
	e := NewEvidence()
	for range requests {
		k := Key{Version: "v1", Route: "/v1/chat/completions", Load: LoadLow}
		if rng.IntN(10) == 0 {
			k.Version = "v2"
		}
		if rng.IntN(3) == 0 {
			k.Route = "/v1/completions"
		}
		if rng.IntN(3) == 0 {
			k.Load = LoadHigh
		}
		e.AddFirstToken(k, time.Duration(rng.ExpFloat64()*float64(400*time.Millisecond)))
		e.AddTokenGap(k, time.Duration(rng.ExpFloat64()*float64(30*time.Millisecond)))
		e.AddOutcome(k, rng.IntN(500) == 0)
		e.AddUse(k.Version, fmt.Sprintf("engine-%03d", rng.IntN(20)))
	}
	e.TrimUses([]string{"v2"})
	return e
}

// BenchmarkReport measures the size of a node's report, and of the summed report of 18 nodes.
func BenchmarkReport(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 2))
	own, sum := 0, 0
	for range b.N {
		group := NewEvidence()
		for range 18 {
			e := nodeEvidence(rng)
			data, err := json.Marshal(e.Report())
			if err != nil {
				b.Fatal(err)
			}
			own += len(data)
			group.Merge(e)
		}
		data, err := json.Marshal(group.Report())
		if err != nil {
			b.Fatal(err)
		}
		sum += len(data)
	}
	b.ReportMetric(float64(own)/float64(18*b.N), "bytes/node")
	b.ReportMetric(float64(sum)/float64(b.N), "bytes/group")
}

// BenchmarkJudge measures how long it takes to judge one period of the evidence of 330 nodes on a model.
func BenchmarkJudge(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 2))
	all := NewEvidence()
	for range 330 {
		all.Merge(nodeEvidence(rng))
	}
	j := NewJudge("v2", []string{"v1"}, falseVerdictRate, 1800, 10)
	b.ResetTimer()
	for range b.N {
		j.Add(all)
	}
	c := NewController(testPlan)
	c.Add(all)
	data, err := json.Marshal(c.Checkpoint())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(data)), "bytes/checkpoint")
}
