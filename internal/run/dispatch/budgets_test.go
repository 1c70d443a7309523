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

// leased is a slice of a server whose limit is a quarter of its full one.
type leased struct {
	mu       sync.Mutex
	streams  int // demand
	evidence []float64
}

const (
	sliceStreams = 2
	sharedLimit  = 4
	fullStreams  = 16
)

func (l *leased) Budget(string, time.Time) (streams, tokens int) { return sliceStreams, 50_000 }
func (l *leased) Limit(string, time.Time) int                    { return sharedLimit }

func (l *leased) SetDemand(_ string, streams, _ int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams = streams
}

func (l *leased) SetEvidence(_ string, fraction float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evidence = append(l.evidence, fraction)
}

func TestDemandAndEvidenceAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budgets := new(leased)
		d := dispatch.New(dispatch.WithBudgets(budgets),
			dispatch.WithEngines(func(netip.AddrPort) dispatch.Engine { return silent{} }))
		srv := server("s1", fullStreams)
		srv.ColdStreams = sharedLimit
		d.SetConfig(config(srv))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go d.Run(ctx)

		var places []caller.Place
		for range sliceStreams {
			place, err := d.Acquire(ctx, caller.Work{Account: "a", Model: "m", MaxTokens: 1000})
			if err != nil {
				t.Fatal(err)
			}
			places = append(places, place)
		}
		go func() {
			_, _ = d.Acquire(ctx, caller.Work{Account: "a", Model: "m", Deadline: time.Now().Add(time.Hour)})
		}()
		for i := range 200 {
			time.Sleep(30 * time.Millisecond)
			for _, place := range places {
				place.Token(i)
			}
		}
		budgets.mu.Lock()
		defer budgets.mu.Unlock()
		if got, want := budgets.streams, sliceStreams+1; got != want {
			t.Errorf("demand: got %d streams, want %d, those running and the one that waits", got, want)
		}
		first, highest := budgets.evidence[0], 0.0
		for _, f := range budgets.evidence {
			highest = max(highest, f)
		}
		if want := float64(sharedLimit) / fullStreams; first != want {
			t.Errorf("evidence at first: got %v, want the present limit, %v", first, want)
		}
		if highest <= first {
			t.Errorf("evidence after tokens in time: got at most %v, want more than %v", highest, first)
		}
	})
}
