// This file tests three nodes under random combinations of faults.

package ledger_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	coreledger "ebonyferry/internal/core/ledger"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/edge/kvstore"
	fakeplatform "ebonyferry/internal/fake/platform"
	"ebonyferry/internal/run/ledger"
)

const (
	randomRuns  = 40
	randomKeys  = 8
	randomCalls = 12 // per key
)

// randomSource is a source of random numbers that is safe for concurrent use.
type randomSource struct {
	mu sync.Mutex
	r  *rand.Rand
}

func (c *randomSource) intN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.r.IntN(n)
}

// injectFault starts or ends one fault.
func (c *randomSource) injectFault(f *fleet, all []membership.Node) {
	switch c.intN(9) {
	case 0:
		f.store.SetDelay(time.Duration(c.intN(3)) * 700 * time.Millisecond)
	case 1:
		f.store.SetOutage([]fakeplatform.OutageMode{fakeplatform.OutageRefuse, fakeplatform.OutageSilent}[c.intN(2)])
	case 2:
		f.store.SetOutage(fakeplatform.OutageNone)
		f.store.SetDelay(0)
	case 3:
		f.store.LoseAnswers(kvstore.KindCAS, 1+c.intN(3))
	case 4:
		f.service.mu.Lock()
		f.service.unreachable, f.service.loseAnswers = c.intN(4) == 0, c.intN(4) == 0
		f.service.delay = time.Duration(c.intN(3)) * 400 * time.Millisecond
		f.service.bodySize = c.intN(3) * 1500
		f.service.mu.Unlock()
	case 5:
		f.network.CutOneWay([]string{"a", "b", "c"}[c.intN(3)], []string{"a", "b", "c", "store"}[c.intN(4)], true)
	case 6, 7:
		for _, from := range []string{"a", "b", "c", "store"} {
			for _, to := range []string{"a", "b", "c", "store"} {
				f.network.CutOneWay(from, to, false)
			}
		}
	case 8:
		var nodes []membership.Node
		for _, n := range all {
			if c.intN(2) == 0 {
				nodes = append(nodes, n)
			}
		}
		f.updateView(func(v *membership.View) { v.Nodes, v.SelfLeased = nodes, c.intN(5) > 0 })
	}
}

func TestRandomFaults(t *testing.T) {
	for seed := range uint64(randomRuns) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inBubble(t, func(t *testing.T, ctx context.Context, f *fleet) {
				checkRandomRun(ctx, t, f, &randomSource{r: rand.New(rand.NewPCG(seed, 1))})
			})
		})
	}
}

// checkRandomRun calls several keys under random faults, each key from one goroutine. A call that returned "notRun"
// must never run, which is checked until the key gets another outcome. An answer must come from exactly one run.
func checkRandomRun(ctx context.Context, t *testing.T, f *fleet, c *randomSource) {
	limits := coreledger.Limits{Retention: time.Hour, SealBytes: 600, MergeCount: 3, MaxSegmentBytes: 9000, MaxHeadBytes: 4000}
	running, end := context.WithCancel(ctx)
	pause := func(string) {
		if running.Err() == nil && c.intN(20) == 0 {
			time.Sleep(time.Duration(c.intN(5000)) * time.Millisecond)
		}
	}
	var nodes []*ledger.Manager
	for i, name := range []string{"a", "b", "c"} {
		nodes = append(nodes, f.startNode(ctx, name, i+1, pause, ledger.WithLimits(limits)))
	}
	all := f.view.Load().Nodes
	f.service.answersByKey = c.intN(2) == 0
	go func() {
		for sleepFor(running, time.Duration(c.intN(1500))*time.Millisecond) {
			c.injectFault(f, all)
		}
	}()
	var wg sync.WaitGroup
	for _, key := range inOnePartition(randomKeys) {
		wg.Go(func() {
			notRunOnly := true
			for i := range randomCalls {
				time.Sleep(time.Duration(c.intN(4000)) * time.Millisecond)
				if n := f.runsOf(key); notRunOnly && n > 0 {
					t.Errorf("key %s, before call %d: ran, but only \"not run\" was reported", key, i)
				}
				got := call(nodes[c.intN(len(nodes))], ctx, key)
				n := f.runsOf(key)
				if notRunOnly && got == "notRun" && n > 0 {
					t.Errorf("key %s, call %d: ran, but \"not run\" was reported", key, i)
				}
				if n > 1 || n == 0 && (got == "answer" || got == "replayed") {
					t.Errorf("key %s, call %d: %s with %d runs", key, i, got, n)
				}
				notRunOnly = notRunOnly && got == "notRun"
			}
		})
	}
	wg.Wait()
	end()
	f.clearFaults(all)
	time.Sleep(time.Minute)
	for _, key := range inOnePartition(randomKeys) {
		answer, err := nodes[c.intN(len(nodes))].Call(ctx, booking(key))
		if got := outcome(answer, err); got == "notRun" || f.runsOf(key) > 1 {
			t.Errorf("key %s, after all faults: %s with %d runs, error %v", key, got, f.runsOf(key), err)
		}
	}
}

func sleepFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// runsOf returns how often the call with a key ran.
func (f *fleet) runsOf(key string) int {
	f.service.mu.Lock()
	defer f.service.mu.Unlock()
	return f.service.runs[string(coreledger.NewID("shop", "bookings", key))]
}

// clearFaults ends all faults.
func (f *fleet) clearFaults(all []membership.Node) {
	f.store.SetOutage(fakeplatform.OutageNone)
	f.store.SetDelay(0)
	f.store.LoseAnswers(kvstore.KindCAS, 0)
	for _, from := range []string{"a", "b", "c", "store"} {
		for _, to := range []string{"a", "b", "c", "store"} {
			f.network.CutOneWay(from, to, false)
		}
	}
	f.service.mu.Lock()
	f.service.unreachable, f.service.loseAnswers, f.service.delay = false, false, 0
	f.service.mu.Unlock()
	f.updateView(func(v *membership.View) { v.Nodes, v.SelfLeased = all, true })
}
