package entries_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/entry"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/core/spread"
	"ebonyferry/internal/run/entries"
	"ebonyferry/internal/run/fleet"
)

// node is a node with a fleet and a configuration that the test sets.
type node struct {
	self         membership.Node
	view         membership.View
	configStatus spread.Status
	status       fleet.Status
}

func (n *node) View() *membership.View   { return &n.view }
func (n *node) Self() membership.Node    { return n.self }
func (n *node) SetStatus(s fleet.Status) { n.status = s }
func (n *node) Current() (*bundle.InForce, spread.Freshness) {
	return nil, spread.Freshness{Status: n.configStatus}
}

func TestEntriesOmitNodeThatCannotServe(t *testing.T) {
	self := membership.Node{Name: "a", CallerAddr: netip.MustParseAddrPort("10.0.0.1:80"), Region: "r"}
	other := membership.Node{Name: "b", CallerAddr: netip.MustParseAddrPort("10.0.0.2:80"), Region: "r"}
	tests := []struct {
		name   string
		status spread.Status
		drain  bool
		want   int // addresses
	}{
		{"fresh", spread.Fresh, false, 2},
		{"shared outage", spread.SharedOutage, false, 2},
		{"cut off", spread.CutOff, false, 1},
		{"no head", spread.None, false, 1},
		{"draining", spread.Fresh, true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &node{self: self, configStatus: tt.status, view: membership.View{Nodes: []membership.Node{self, other}}}
				l := entries.New(n, n, entries.WithLoad(func() int { return 40 }))
				if tt.drain {
					l.Drain()
				}
				addrs, ttl := l.Entries("r")
				if len(addrs) != tt.want || ttl != entry.TTL {
					t.Errorf("got %v for %v, want %d addresses for %v", addrs, ttl, tt.want, entry.TTL)
				}
				go l.Run(t.Context())
				time.Sleep(time.Second)
				synctest.Wait()
				if got, want := n.status, (fleet.Status{Unable: tt.want == 1, Load: 40}); got != want {
					t.Errorf("status: got %+v, want %+v", got, want)
				}
			})
		})
	}
}
