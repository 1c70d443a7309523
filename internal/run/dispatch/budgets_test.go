package dispatch_test

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ebonyferry/internal/edge/caller"
	"ebonyferry/internal/run/dispatch"
)

// fakeSlice is a slice of a server whose shared limit is a quarter of its full limit.
type fakeSlice struct {
	mu       sync.Mutex
	streams  int // of the last demand
	evidence []float64
}

const (
	sliceStreams = 2
	sharedLimit  = 4
	fullStreams  = 16
)

func (f *fakeSlice) Budget(string, time.Time) (streams, tokens int) { return sliceStreams, 50_000 }
func (f *fakeSlice) Limit(string, time.Time) int                    { return sharedLimit }

func (f *fakeSlice) SetDemand(_ string, streams, _ int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams = streams
}

func (f *fakeSlice) SetEvidence(_ string, fraction float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evidence = append(f.evidence, fraction)
}

func TestDemandAndEvidenceReachBudgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budgets := new(fakeSlice)
		d := dispatch.New(dispatch.WithBudgets(budgets),
			dispatch.WithEngines(func(netip.AddrPort) dispatch.Engine { return silentEngine{} }))
		srv := server("s1", fullStreams)
		srv.ColdStreams = sharedLimit
		d.SetConfig(config(srv))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go d.Run(ctx)

		var slots []caller.Slot
		for range sliceStreams {
			slot, err := d.Acquire(ctx, caller.Work{Account: "a", Model: "m", MaxTokens: 1000})
			if err != nil {
				t.Fatal(err)
			}
			slots = append(slots, slot)
		}
		go func() {
			_, _ = d.Acquire(ctx, caller.Work{Account: "a", Model: "m", Deadline: time.Now().Add(time.Hour)})
		}()
		for i := range 200 {
			time.Sleep(30 * time.Millisecond)
			for _, slot := range slots {
				slot.RecordToken(i)
			}
		}
		budgets.mu.Lock()
		defer budgets.mu.Unlock()
		if got, want := budgets.streams, sliceStreams+1; got != want {
			t.Errorf("demand: got %d streams, want %d, the running and the waiting ones", got, want)
		}
		first, highest := budgets.evidence[0], 0.0
		for _, f := range budgets.evidence {
			highest = max(highest, f)
		}
		if want := float64(sharedLimit) / fullStreams; first != want {
			t.Errorf("first evidence: got %v, want the shared limit, %v", first, want)
		}
		if highest <= first {
			t.Errorf("evidence after tokens in time: got at most %v, want more than %v", highest, first)
		}
	})
}
