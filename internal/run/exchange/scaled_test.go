package exchange

import (
	"testing"
	"time"

	"ebonyferry/internal/core/placement"
	"ebonyferry/internal/core/route"
)

// Demand must count placed and waiting requests of services whose servers are ordered, by memory or by slots, and be empty for a config without
// such a service: then nothing is sent to other nodes.
func TestDemands(t *testing.T) {
	rt := newRuntime(&fakeUpstream{}, "a", "w1", "w2")
	rt.loads.addRun("w1", 2, 5000)
	rt.waiting.list = []*waiter{{slotRequest: slotRequest{adm: &Admitted{Service: &route.Service{Name: "writers"}}, need: placement.Need{Tokens: 2500}}}}
	if got := rt.Demands(); len(got) != 0 {
		t.Errorf("without scaling: got %+v", got)
	}
	if got := rt.WaitingDemand(); len(got) != 0 {
		t.Errorf("without scaling: got waiting %v", got)
	}
	scaled := &route.Service{Name: "writers", Scaling: &route.Scaling{Min: 1, Max: 9, Boot: time.Second}, Engine: &route.Engine{Slots: 24, MemoryTokens: 10_000}}
	rt.config.Store(route.New(2, nil, []*route.Service{scaled, {Name: "desk"}}, nil, route.Limits{}))
	got := rt.Demands()
	if len(got) != 1 || got[0].Service != scaled || got[0].Running != 1 || got[0].Servers["x"] != 2 {
		t.Errorf("got %+v, want one server's memory taken of two servers in x", got)
	}
	if got := rt.WaitingDemand()["writers"]; got != 0.25 {
		t.Errorf("waiting: got %v servers, want 0.25", got)
	}
	rt.loads.addRun("w2", 12, 1)
	if got := rt.Demands()[0].Running; got < 1.49 || got > 1.51 {
		t.Errorf("with 12 of 24 slots of another: got %v servers, want 1.5", got)
	}
}
