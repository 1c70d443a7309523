package admission_test

import (
	"fmt"
	"testing"
	"time"

	"ebonyferry/internal/core/admission"
	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/routing"
)

const nodesPerServer = 6

// subset gives a node its share of the servers that it uses, and nothing of the others.
type subset map[string]bool

func (s subset) Budget(server string, _ time.Time) (streams, tokens int) {
	if !s[server] {
		return 0, 0
	}
	return 200 / nodesPerServer, 400_000 / nodesPerServer
}

// busyNode returns one of nodes that use servers of three models, with the streams of a busy hour running.
func busyNode(nodes, servers int) (*node, []string) {
	in := &bundle.InForce{}
	used := make(subset)
	for i := range servers {
		model := fmt.Sprintf("m%d", i%3)
		s := engine(fmt.Sprintf("s%d", i), 200)
		s.Models = []bundle.ModelVersion{{Model: model, Version: "v1"}}
		s.MemoryTokens = 400_000
		in.Bundle.Servers = append(in.Bundle.Servers, s)
		if i*nodesPerServer%nodes < nodesPerServer {
			used[s.ID] = true
		}
	}
	var models []string
	for i := range 3 {
		name := fmt.Sprintf("m%d", i)
		models = append(models, name)
		in.Bundle.Models = append(in.Bundle.Models, bundle.Model{Name: name, Versions: []bundle.VersionShare{{Version: "v1", Share: bundle.ShareTotal}}})
	}
	n := &node{admission.New("n", used), start}
	n.Configure(in, nodes, 0)
	for i := range 20 * len(used) {
		n.Offer(work(i, models), n.now)
	}
	n.Poll(n.now)
	return n, models
}

func work(i int, models []string) admission.Work {
	return admission.Work{
		Account: fmt.Sprintf("account%d", i%50), Class: admission.Narrative, Model: models[i%len(models)],
		PromptTokens: 500, MaxTokens: 2000, Fingerprint: uint64(i),
		Prefixes: []routing.Prefix{{Hash: uint64(i % 100), Tokens: 256}},
		Progress: func() int { return 100 },
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ nodes, servers int }{{8, 18}, {64, 116}, {330, 600}} {
		b.Run(fmt.Sprintf("nodes=%d/servers=%d", size.nodes, size.servers), func(b *testing.B) {
			n, models := busyNode(size.nodes, size.servers)
			var list []admission.Work
			for i := range 100 {
				list = append(list, work(i, models))
			}
			granted := 0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				n.now = n.now.Add(30 * time.Millisecond)
				tk := n.Offer(list[i%len(list)], n.now)
				n.TakeDecided()
				if tk.Server != "" {
					granted++
					n.Done(tk, admission.Finished, 300, n.now)
				}
			}
			b.ReportMetric(float64(granted)/float64(b.N), "granted/op")
		})
	}
}
