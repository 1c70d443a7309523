package admission_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ebonyferry/internal/core/admission"
	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/quarantine"
	"ebonyferry/internal/core/routing"
)

// offerSuspects offers count requests that were in flight at crashes and returns the servers that they were granted on.
func (n *node) offerSuspects(count int) []string {
	var on []string
	for i := range count {
		fp := uint64(100 + i)
		n.RecordCrash(quarantine.Crash{Server: "elsewhere", At: n.now, InFlight: []quarantine.InFlightRequest{{Fingerprint: fp}}}, n.now)
		tk := n.Offer(admission.Work{Account: "a", Class: admission.Quick, Model: "m", PromptTokens: 10, KnownTokens: 10, Fingerprint: fp}, n.now)
		if granted(tk) {
			on = append(on, tk.Server)
		}
	}
	slices.Sort(on)
	return on
}

// Two suspects on one server would make it unclear which of them crashed it. A node therefore runs one suspect at a
// time on each server that it owns for this purpose. If none of these accepts streams, it runs one on another server,
// since a harmless request would otherwise find no server.
func TestSuspectsRunOnSeparateServers(t *testing.T) {
	tests := []struct {
		name    string
		own     []string // servers on which only this node runs suspects
		out     []string // servers out of service
		granted int
		among   []string
	}{
		{"own servers", []string{"s1", "s2"}, nil, 2, []string{"s1", "s2"}},
		{"no own server", nil, nil, 1, []string{"s1", "s2", "s3"}},
		{"own server out of service", []string{"s1"}, []string{"s1"}, 1, []string{"s2", "s3"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			in := config(engine("s1", 8, "v1"), engine("s2", 8, "v1"), engine("s3", 8, "v1"))
			in.Head.OutOfService.Servers = tt.out
			own := admission.WithSuspectServers(func(id string) bool { return slices.Contains(tt.own, id) })
			n := &node{admission.New("n", admission.NewStaticBudgets(in.Bundle.Servers, 1, 0), own), start}
			n.Configure(in, 1, 0)
			got := n.offerSuspects(4)
			if len(got) != tt.granted || len(slices.Compact(slices.Clone(got))) != len(got) {
				t.Fatalf("granted on %v, want %d on different servers", got, tt.granted)
			}
			for _, id := range got {
				if !slices.Contains(tt.among, id) {
					t.Errorf("granted on %s, want one of %v", id, tt.among)
				}
			}
		})
	}
}

// Requests that share a section of their prompts crash each server that begins to answer one. No two are alike, so that the
// fingerprints of whole requests do not show what they have in common.
func TestPrefixThatCrashesServersIsQuarantined(t *testing.T) {
	const crashing, sound = 1, 2
	var servers []bundle.Server
	for i := range 12 {
		servers = append(servers, engine(fmt.Sprint("s", i), 8, "v1"))
	}
	n := newNode(config(servers...))
	offer := func(i int, prefix uint64) *admission.Ticket {
		return n.Offer(admission.Work{
			Account: "a", Class: admission.Quick, Model: "m", PromptTokens: 10, KnownTokens: 10, Fingerprint: uint64(100 + i),
			Prefixes: []routing.Prefix{{Hash: prefix, Tokens: 5}, {Hash: uint64(1000 + i), Tokens: 10}},
		}, n.now)
	}
	crashes := 0
	for i := range 10 {
		n.now = n.now.Add(10 * time.Second)
		if tk := offer(i, crashing); granted(tk) {
			n.RecordFirstToken(tk, n.now)
			n.Done(tk, admission.Interrupted, 0, n.now)
			crashes++
		}
	}
	if got, want := crashes, 5; got > want {
		t.Errorf("servers crashed by requests with one prefix: got %d, want at most %d", got, want)
	}
	if tk := offer(50, sound); !granted(tk) {
		t.Error("a request with another prefix is not granted")
	}
}
