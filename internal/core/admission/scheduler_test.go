package admission_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ebonyferry/internal/core/admission"
	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/warmup"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// node is a scheduler with a clock.
type node struct {
	*admission.Scheduler
	now time.Time
}

func engine(id string, streams int, versions ...string) bundle.Server {
	s := bundle.Server{ID: id, Kind: bundle.KindEngine, FailureDomain: "d" + id, MaxStreams: streams, MemoryTokens: 1_000_000}
	for _, v := range versions {
		s.Models = append(s.Models, bundle.ModelVersion{Model: "m", Version: v})
	}
	return s
}

func config(servers ...bundle.Server) *bundle.InForce {
	return &bundle.InForce{Bundle: bundle.Bundle{
		Servers: servers,
		Models:  []bundle.Model{{Name: "m", Versions: []bundle.VersionShare{{Version: "v1", Share: bundle.ShareTotal}}}},
	}}
}

func newNode(in *bundle.InForce) *node {
	n := &node{admission.New("n", admission.NewStaticBudgets(in.Bundle.Servers, 1, 0)), start}
	n.Configure(in, 1, 0)
	return n
}

func (n *node) offer(account string, class admission.Class) *admission.Ticket {
	return n.Offer(admission.Work{Account: account, Class: class, Model: "m", PromptTokens: 10, KnownTokens: 10}, n.now)
}

// fill offers that many streams and returns their tickets.
func (n *node) fill(account string, streams int) []*admission.Ticket {
	var list []*admission.Ticket
	for range streams {
		list = append(list, n.offer(account, admission.Quick))
	}
	return list
}

func granted(t *admission.Ticket) bool { return t.Server != "" }

func TestFairBetweenAccounts(t *testing.T) {
	n := newNode(config(engine("s", 4, "v1")))
	running := n.fill("hog", 4)
	n.Poll(n.now)
	for _, tk := range running {
		n.RecordFirstToken(tk, n.now)
	}
	waiting := make(map[string][]*admission.Ticket)
	for range 20 {
		waiting["hog"] = append(waiting["hog"], n.offer("hog", admission.Batch))
	}
	for range 4 { // as many as the other account has running
		waiting["small"] = append(waiting["small"], n.offer("small", admission.Batch))
	}
	for range 5 {
		n.now = n.now.Add(100 * time.Millisecond)
		n.Done(running[0], admission.Finished, 10, n.now)
		running = running[1:]
		for _, tk := range n.Poll(n.now) {
			if granted(tk) {
				n.RecordFirstToken(tk, n.now)
				running = append(running, tk)
			}
		}
	}
	served := slices.IndexFunc(waiting["small"], func(tk *admission.Ticket) bool { return !granted(tk) })
	if got, want := served, -1; got != want {
		t.Errorf("first request of the small account that still waits: got %d, want %d", got, want)
	}
}

func TestClassesDoNotStarve(t *testing.T) {
	n := newNode(config(engine("s", 1, "v1")))
	running := n.offer("a", admission.Quick)
	n.Poll(n.now)
	batch := n.offer("b", admission.Batch)
	for range 600 {
		n.offer("a", admission.Quick)
		n.now = n.now.Add(100 * time.Millisecond)
		n.Done(running, admission.Finished, 10, n.now)
		for _, tk := range n.Poll(n.now) {
			if granted(tk) {
				running = tk
			}
		}
		if granted(batch) {
			break
		}
	}
	if !granted(batch) {
		t.Errorf("batch work: got %+v, want a grant within its minute", batch.Refusal)
	}
	if got, low := batch.Waited(), time.Second; got < low {
		t.Errorf("batch work waited %v, want quick work to go first for at least %v", got, low)
	}
}

func TestRefusals(t *testing.T) {
	limited := config(engine("s", 10, "v1"))
	limited.Keys.Accounts = []bundle.Account{{ID: "a", Limits: bundle.AccountLimits{MaxStreams: 2, RequestsPerSecond: 100}}}
	slow := config(engine("s", 10, "v1"))
	slow.Keys.Accounts = []bundle.Account{{ID: "a", Limits: bundle.AccountLimits{RequestsPerSecond: 0.1}}}
	tests := []struct {
		name   string
		in     *bundle.InForce
		before int // offered a while earlier
		offers int
		want   admission.Reason
	}{
		{"streams of the account", limited, 0, 3, admission.AccountLimit},
		{"rate of the account", slow, 0, 2, admission.AccountLimit},
		{"queue too long", config(engine("s", 1, "v1")), 3, 40, admission.Overloaded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNode(tt.in)
			n.fill("a", tt.before)
			n.now = n.now.Add(1500 * time.Millisecond)
			tickets := n.fill("a", tt.offers)
			last := tickets[len(tickets)-1]
			if last.Refusal == nil {
				t.Fatal("got no immediate refusal")
			}
			if got := last.Refusal.Reason; got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
			if last.Refusal.RetryAfter <= 0 {
				t.Error("the refusal has no RetryAfter")
			}
		})
	}
}

func TestLimitsHoldOverAllNodes(t *testing.T) {
	for _, limit := range []int{1, 3, 8, 20} {
		in := config(engine("s", 100, "v1"))
		in.Keys.Accounts = []bundle.Account{{ID: "a", Limits: bundle.AccountLimits{MaxStreams: limit}}}
		const nodes = 8
		got := 0
		for rank := range nodes {
			n := &node{admission.New(fmt.Sprint(rank), admission.NewStaticBudgets(in.Bundle.Servers, nodes, rank)), start}
			n.Configure(in, nodes, rank)
			for _, tk := range n.fill("a", 30) {
				if granted(tk) {
					got++
				}
			}
		}
		if got != limit {
			t.Errorf("streams over %d nodes: got %d, want %d", nodes, got, limit)
		}
	}
}

func TestUnusableServerGetsNoWork(t *testing.T) {
	tests := []struct {
		name string
		do   func(*node, *bundle.InForce)
	}{
		{"server out of service", func(n *node, in *bundle.InForce) {
			in.Head.OutOfService.Servers = []string{"s1"}
			n.Configure(in, 1, 0)
		}},
		{"failure domain out of service", func(n *node, in *bundle.InForce) {
			in.Head.OutOfService.FailureDomains = []string{"ds1"}
			n.Configure(in, 1, 0)
		}},
		{"server removed from the configuration", func(n *node, in *bundle.InForce) {
			n.Configure(config(in.Bundle.Servers[1]), 1, 0)
		}},
		{"server reports that it will stop", func(n *node, _ *bundle.InForce) {
			n.RecordLoadReport("s1", warmup.Report{BootID: "1", SampledAt: n.now}, true, n.now)
		}},
		{"server fails repeatedly", func(n *node, _ *bundle.InForce) {
			for _, tk := range n.fill("a", 50) {
				outcome := admission.Finished
				if tk.Server == "s1" {
					outcome = admission.Failed
				}
				n.Done(tk, outcome, 0, n.now)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			in := config(engine("s1", 50, "v1"), engine("s2", 50, "v1"))
			n := newNode(in)
			tt.do(n, in)
			for _, tk := range n.fill("a", 50) {
				if got, want := tk.Server, "s2"; got != want {
					t.Fatalf("server: got %q, want %q", got, want)
				}
			}
		})
	}
}

func TestSmallVersionTakesNoMoreThanItsShare(t *testing.T) {
	in := config(engine("s1", 5, "v1"), engine("s2", 500, "v2"))
	in.Head.VersionShares = map[string][]bundle.VersionShare{"m": {{Version: "v1", Share: 950}, {Version: "v2", Share: 50}}}
	n := newNode(in)
	byVersion := make(map[string]int)
	for _, tk := range n.fill("a", 100) {
		byVersion[tk.Version]++
	}
	if got, want := byVersion["v2"], 6; got > want {
		t.Errorf("requests on the small version while the large one is full: got %d, want at most %d", got, want)
	}
	in.Head.OutOfService.Servers = []string{"s2"}
	n = newNode(in)
	for _, tk := range n.fill("b", 5) {
		if got, want := tk.Version, "v1"; got != want {
			t.Errorf("version while the small one has no server: got %q, want %q", got, want)
		}
	}
}

func TestMemoryIsNotOvercommitted(t *testing.T) {
	srv := engine("s", 100, "v1")
	srv.MemoryTokens = 10_000
	n := newNode(config(srv))
	count := func(known int) (admitted int) {
		for range 100 {
			tk := n.Offer(admission.Work{Account: "a", Model: "m", PromptTokens: 100, KnownTokens: known}, n.now)
			if granted(tk) {
				admitted++
			}
		}
		return admitted
	}
	if got, want := count(1536), 6; got != want {
		t.Errorf("streams of 1636 tokens in 10000: got %d, want %d", got, want)
	}
}
