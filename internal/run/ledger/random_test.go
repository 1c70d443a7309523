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

// This file defines random runs of a ledger on three nodes under all faults at once.

const (
	randomRuns  = 40
	randomKeys  = 8
	randomCalls = 12 // of each key
)

// chance is a source of random numbers for several goroutines.
type chance struct {
	mu sync.Mutex
	r  *rand.Rand
}

func (c *chance) n(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.r.IntN(n)
}

// Makes one fault, or ends one.
func (c *chance) fault(f *fleet, all []membership.Node) {
	switch c.n(9) {
	case 0:
		f.store.SetDelay(time.Duration(c.n(3)) * 700 * time.Millisecond)
	case 1:
		f.store.SetOutage([]fakeplatform.OutageMode{fakeplatform.OutageRefuse, fakeplatform.OutageSilent}[c.n(2)])
	case 2:
		f.store.SetOutage(fakeplatform.OutageNone)
		f.store.SetDelay(0)
	case 3:
		f.store.LoseAnswers(kvstore.KindCAS, 1+c.n(3))
	case 4:
		f.service.mu.Lock()
		f.service.notSent, f.service.lose = c.n(4) == 0, c.n(4) == 0
		f.service.delay = time.Duration(c.n(3)) * 400 * time.Millisecond
		f.service.bodySize = c.n(3) * 1500
		f.service.mu.Unlock()
	case 5:
		f.network.CutOneWay([]string{"a", "b", "c"}[c.n(3)], []string{"a", "b", "c", "store"}[c.n(4)], true)
	case 6, 7:
		for _, from := range []string{"a", "b", "c", "store"} {
			for _, to := range []string{"a", "b", "c", "store"} {
				f.network.CutOneWay(from, to, false)
			}
		}
	case 8:
		var nodes []membership.Node
		for _, n := range all {
			if c.n(2) == 0 {
				nodes = append(nodes, n)
			}
		}
		f.change(func(v *membership.View) { v.Nodes, v.SelfLeased = nodes, c.n(5) > 0 })
	}
}

func TestRandomFaults(t *testing.T) {
	for seed := range uint64(randomRuns) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inBubble(t, func(t *testing.T, ctx context.Context, f *fleet) {
				checkRandomRun(ctx, t, f, &chance{r: rand.New(rand.NewPCG(seed, 1))})
			})
		})
	}
}

// Each key has one caller. It checks that "not run" is true of a key of which nothing else was said, also
// later, and that an answer comes from one run.
func checkRandomRun(ctx context.Context, t *testing.T, f *fleet, c *chance) {
	limits := coreledger.Limits{Retention: time.Hour, SealBytes: 600, MergeCount: 3, MaxSegmentBytes: 9000, MaxHeadBytes: 4000}
	running, end := context.WithCancel(ctx)
	pause := func(string) {
		if running.Err() == nil && c.n(20) == 0 {
			time.Sleep(time.Duration(c.n(5000)) * time.Millisecond)
		}
	}
	var nodes []*ledger.Manager
	for i, name := range []string{"a", "b", "c"} {
		nodes = append(nodes, f.start(ctx, name, i+1, pause, ledger.WithLimits(limits)))
	}
	all := f.view.Load().Nodes
	f.service.askable = c.n(2) == 0
	go func() {
		for sleepFor(running, time.Duration(c.n(1500))*time.Millisecond) {
			c.fault(f, all)
		}
	}()
	var wg sync.WaitGroup
	for _, key := range inOnePartition(randomKeys) {
		wg.Go(func() {
			notRunOnly := true
			for i := range randomCalls {
				time.Sleep(time.Duration(c.n(4000)) * time.Millisecond)
				if n := f.runsOf(key); notRunOnly && n > 0 {
					t.Errorf("key %s, before call %d: ran, though only \"not run\" was said", key, i)
				}
				got := call(nodes[c.n(len(nodes))], ctx, key)
				n := f.runsOf(key)
				if notRunOnly && got == "notRun" && n > 0 {
					t.Errorf("key %s, call %d: ran, and \"not run\" was said", key, i)
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
	f.heal(all)
	time.Sleep(time.Minute)
	for _, key := range inOnePartition(randomKeys) {
		answer, err := nodes[c.n(len(nodes))].Call(ctx, booking(key))
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

// Returns how often the call with a key ran.
func (f *fleet) runsOf(key string) int {
	f.service.mu.Lock()
	defer f.service.mu.Unlock()
	return f.service.runs[string(coreledger.NewID("shop", "bookings", key))]
}

// Ends all faults.
func (f *fleet) heal(all []membership.Node) {
	f.store.SetOutage(fakeplatform.OutageNone)
	f.store.SetDelay(0)
	f.store.LoseAnswers(kvstore.KindCAS, 0)
	for _, from := range []string{"a", "b", "c", "store"} {
		for _, to := range []string{"a", "b", "c", "store"} {
			f.network.CutOneWay(from, to, false)
		}
	}
	f.service.mu.Lock()
	f.service.notSent, f.service.lose, f.service.delay = false, false, 0
	f.service.mu.Unlock()
	f.change(func(v *membership.View) { v.Nodes, v.SelfLeased = all, true })
}
