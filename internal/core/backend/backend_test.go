package backend

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func server(id, domain string) Server {
	return Server{ID: id, Service: "s", Domain: domain, Slots: 4, StartedAt: start}
}

func ids(list []Server) string {
	out := ""
	for _, s := range list {
		out += s.ID
	}
	return out
}

func TestUsable(t *testing.T) {
	draining := server("b", "x")
	draining.Draining = true
	other := server("c", "x")
	other.Service = "t"
	restarted := server("a", "x")
	restarted.StartedAt = start.Add(time.Second)
	tests := []struct {
		name  string
		act   func(p *Pool)
		after time.Duration
		want  string
	}{
		{"listed", func(p *Pool) {}, 0, "ab"},
		{"draining", func(p *Pool) { p.Put(draining) }, 0, "a"},
		{"moved to another service", func(p *Pool) { s := other; s.ID = "a"; p.Put(s) }, 0, "b"},
		{"removed", func(p *Pool) { p.Remove("a", start) }, 0, "b"},
		{"expired within the grace period", func(p *Pool) { p.Expire("a", start) }, ExpiryGrace - 1, "ab"},
		{"expired before the grace period", func(p *Pool) { p.Expire("a", start) }, ExpiryGrace, "b"},
		{"expired twice", func(p *Pool) { p.Expire("a", start); p.Expire("a", start.Add(time.Second)) }, ExpiryGrace, "b"},
		{"expired and registered again", func(p *Pool) { p.Expire("a", start); p.Put(server("a", "x")) }, ExpiryGrace, "ab"},
		{"said that it leaves, removed, and registered again by an entry that was written late", func(p *Pool) {
			p.Leave(server("a", "x"))
			p.Remove("a", start)
			p.Put(server("a", "x"))
		}, 0, "b"},
		{"said that it leaves, removed, and started again", func(p *Pool) { p.Leave(server("a", "x")); p.Remove("a", start); p.Put(restarted) }, 0, "ab"},
		{"expiry of a server that was never listed", func(p *Pool) { p.Expire("z", start) }, 0, "ab"},
		{"evacuated", func(p *Pool) { p.SetEvacuated("x", true) }, 0, "b"},
		{"evacuated and back in use", func(p *Pool) { p.SetEvacuated("x", true); p.SetEvacuated("x", false) }, 0, "ab"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPool()
			p.Put(server("a", "x"))
			p.Put(server("b", "y"))
			tt.act(p)
			if got := ids(p.Usable("s", start.Add(tt.after))); got != tt.want {
				t.Errorf("usable: got %q, want %q", got, tt.want)
			}
		})
	}
}

// A server can leave or restart between being chosen and being sent the request, so the choice is checked again.
func TestMayUseChecksTheRegistration(t *testing.T) {
	p := NewPool()
	a := server("a", "x")
	p.Put(a)
	if !p.MayUse(a, start) || p.Leaving(a, start) {
		t.Fatalf("listed server: got may use %v, leaving %v; want true, false", p.MayUse(a, start), p.Leaving(a, start))
	}
	restarted := a
	restarted.StartedAt = start.Add(time.Second)
	p.Put(restarted)
	if p.MayUse(a, start) || !p.Leaving(a, start) {
		t.Errorf("another start under the same ID: got may use %v, leaving %v; want false, true", p.MayUse(a, start), p.Leaving(a, start))
	}
	p.SetEvacuated("x", true)
	if p.MayUse(restarted, start) || p.Leaving(restarted, start) {
		t.Errorf("evacuated server: got may use %v, leaving %v; want false, false", p.MayUse(restarted, start), p.Leaving(restarted, start))
	}
}
