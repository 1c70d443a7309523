// This file tests that each check finds its violations and nothing else.

package soak

import (
	"net/netip"
	"testing"
	"time"

	"ebonyferry/internal/bench/load"
	"ebonyferry/internal/edge/engine"
	fakeengine "ebonyferry/internal/fake/engine"
)

var (
	began = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	addr1 = netip.MustParseAddrPort("127.0.0.1:1")
)

func at(d time.Duration) time.Time { return began.Add(d) }

// withJournal returns a soak of one node with the given spans, changes and sightings.
func withJournal(spans []*span, changes []change, seen ...sighting) *soak {
	j := newJournal()
	j.spans, j.changes = spans, changes
	j.sightings["n1"] = seen
	return &soak{
		journal: j, nodes: []*nodeProcess{{name: "n1", callerAddr: addr1}},
		loadStart: began, loadEnd: at(time.Hour), env: &environment{},
	}
}

func TestRevisionsLost(t *testing.T) {
	tests := []struct {
		name string
		seen []sighting
		want int
	}{
		{"grows", []sighting{{at(1), 1}, {at(2), 1}, {at(3), 4}}, 0},
		{"goes back", []sighting{{at(1), 2}, {at(2), 1}, {at(3), 2}}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := withJournal(nil, nil, tt.seen...).revisionsLost(); len(got) != tt.want {
				t.Errorf("got %v, want %d", got, tt.want)
			}
		})
	}
}

func TestLateRevisions(t *testing.T) {
	changes := []change{{at: at(10 * time.Second), revision: 5}}
	paused := []*span{{kind: PauseNode, target: "n1", from: at(9 * time.Second), to: at(20 * time.Second)}}
	tests := []struct {
		name  string
		spans []*span
		seen  []sighting
		want  int
	}{
		{"in time", nil, []sighting{{at(21 * time.Second), 5}}, 0},
		{"replaced by a later one", nil, []sighting{{at(21 * time.Second), 6}}, 0},
		{"late", nil, []sighting{{at(21 * time.Second), 4}, {at(25 * time.Second), 5}}, 1},
		{"never", nil, nil, 1},
		{"the node was paused", paused, nil, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := withJournal(tt.spans, changes, tt.seen...).lateRevisions(); len(got) != tt.want {
				t.Errorf("got %v, want %d", got, tt.want)
			}
		})
	}
}

func TestDrainCuts(t *testing.T) {
	drain := &span{kind: DrainNode, target: "n1", from: at(5 * time.Second), to: at(15 * time.Second)}
	linkFault := &span{kind: CutCallers, target: "n1", from: at(9500 * time.Millisecond), to: at(9501 * time.Millisecond)}
	tests := []struct {
		name  string
		spans []*span
		atMs  int64
		want  int
	}{
		{"during the drain", []*span{drain}, 10_000, 1},
		{"before the drain", []*span{drain}, 4_000, 0},
		{"link fault", []*span{drain, linkFault}, 10_000, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rep := &load.Report{Cuts: []load.Cut{{AtMs: tt.atMs, Addr: addr1}}}
			if got := withJournal(tt.spans, nil).drainCuts(rep); len(got) != tt.want {
				t.Errorf("got %v, want %d", got, tt.want)
			}
		})
	}
}

func TestStartsAfterEvidence(t *testing.T) {
	starts := func(failed bool, times ...time.Duration) (list []fakeengine.Start) {
		for _, d := range times {
			list = append(list, fakeengine.Start{At: at(d), Failed: failed})
		}
		return list
	}
	evidence := starts(true, 1*time.Second, 2*time.Second, 3*time.Second, 4*time.Second, 5*time.Second)
	tests := []struct {
		name  string
		later []fakeengine.Start
		want  int
	}{
		{"none after the evidence", nil, 0},
		{"soon after the evidence", starts(true, 14*time.Second), 0},
		{"long after the evidence", starts(true, 16*time.Second, 17*time.Second), 2},
		{"successful work", starts(false, 16*time.Second), 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got, _ := startsAfterEvidence(append(tt.later, evidence...)); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
	if got, _ := startsAfterEvidence(append(starts(true, time.Minute), evidence[:2]...)); got != 0 {
		t.Errorf("three failures: got %d late starts, want 0", got)
	}
}

// Guards against missing an engine that still starts work while its failure domain is out of service, or after it
// reported that it is leaving.
func TestLateStartsInSpan(t *testing.T) {
	e := fakeengine.New(fakeengine.WithStep(time.Millisecond, 0, 0))
	env := &environment{engines: []*linkedEngine{{id: "e1", domain: "a", engine: e}}}
	j := newJournal()
	s := &soak{env: env, journal: j}
	direct, err := e.Listen(t.Context(), loopback)
	if err != nil {
		t.Fatal(err)
	}
	stream, err := engine.New(direct).Generate(t.Context(), engine.GenerateRequest{Generation: "g", Prompt: "#tokens=1"})
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	now := time.Now()
	out := func(sinceOut time.Duration) *span {
		return &span{kind: spanDomainOut, target: "a", from: now.Add(-sinceOut), to: now.Add(time.Minute)}
	}
	j.spans = []*span{out(time.Second)}
	if got := s.domainStarts(); len(got) != 0 {
		t.Errorf("within a few seconds: got %v, want none", got)
	}
	j.spans = []*span{out(time.Hour)}
	if got := s.domainStarts(); len(got) != 1 {
		t.Errorf("long after: got %v, want one", got)
	}
	j.spans = []*span{{kind: LeaveEngine, target: "e1", from: now.Add(-time.Hour), to: now.Add(time.Minute)}}
	if got := s.leavingStarts(); len(got) != 1 {
		t.Errorf("leaving: got %v, want one", got)
	}
}
