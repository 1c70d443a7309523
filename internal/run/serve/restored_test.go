package serve

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/versions"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/run/exchange"
	"ebonyferry/internal/run/mirror"
)

// wordFacts is a Platform whose keys name the fact: "evacuate", "order" with the target as value, and servers whose value is their
// state. Only DecodeFact may be called.
type wordFacts struct{ Platform }

var serverStart = time.Unix(1000, 0)

func (wordFacts) DecodeFact(key string, value []byte, removed bool, _ time.Time) (Fact, error) {
	switch {
	case key == "evacuate":
		return EvacuationFact{Domain: "x", On: !removed}, nil
	case key == "order":
		return RolloutFact{Order: versions.Order{Service: "s", Target: string(value), Duration: time.Minute}, On: !removed}, nil
	case removed:
		return ServerRemovedFact{ID: key}, nil
	}
	draining := string(value) == "draining"
	return ServerFact{Server: backend.Server{ID: key, Service: "s", Domain: "x", Draining: draining, StartedAt: serverStart}}, nil
}

// change returns a change of one key, written as "key=value", or "-key" for its removal.
func change(text string) kvstore.Change {
	if key, ok := strings.CutPrefix(text, "-"); ok {
		return kvstore.Change{Entry: kvstore.Entry{Key: key}, Deleted: true}
	}
	key, value, _ := strings.Cut(text, "=")
	return kvstore.Change{Entry: kvstore.Entry{Key: key, Value: []byte(value)}}
}

// A store that comes back from an earlier copy does not undo what the node has acted on. What is written again drops the copy's
// facts, and what is not holds after a grace.
func TestRestoredCopyDoesNotUndo(t *testing.T) {
	mayUse := func(g *Gateway, id string) bool {
		var ok bool
		g.rt.UpdatePool(func(p *backend.Pool) { ok = p.MayUse(backend.Server{ID: id, StartedAt: serverStart}, time.Now()) })
		return ok
	}
	target := func(g *Gateway) string {
		for order := range g.rt.ProposedStates() {
			return order.Target
		}
		return "none"
	}
	use := func(g *Gateway) string {
		if mayUse(g, "a") {
			return "used"
		}
		return "not used"
	}
	tests := []struct {
		name                   string
		before, restored       string // changes
		again                  string // change after the restore; empty if nothing is written again
		got                    func(g *Gateway) string
		atOnce, inGrace, after string
	}{
		{"an evacuation is missing and written again", "a=ready evacuate=1", "-evacuate", "evacuate=1", use, "not used", "not used", "not used"},
		{"an evacuation is missing for good", "a=ready evacuate=1", "-evacuate", "", use, "not used", "not used", "used"},
		{"an evacuation that had ended is back", "a=ready", "evacuate=1", "-evacuate", use, "not used", "used", "used"},
		{"an order is missing and written again", "order=v2", "-order", "order=v2", target, "v2", "v2", "v2"},
		{"an order is missing for good", "order=v2", "-order", "", target, "v2", "v2", "none"},
		{"an earlier order is back", "order=v3", "order=v2", "order=v3", target, "v3", "v3", "v3"},
		{"an order that had ended is back", "a=ready", "order=v2", "-order", target, "none", "none", "none"},
		{"a draining server is ready in the copy", "a=draining", "a=ready", "a=draining", use, "not used", "not used", "not used"},
		{"a server that left is in the copy", "a=ready -a", "a=ready", "-a", use, "not used", "not used", "not used"},
		{"a server that left is back", "a=ready -a", "a=ready", "a=ready", use, "not used", "used", "used"},
		{"a server that left stays in the copy", "a=ready -a", "a=ready", "", use, "not used", "not used", "used"},
		{"a server is missing and written again", "a=ready", "-a", "a=ready", use, "used", "used", "used"},
		{"a server is missing for good", "a=ready", "-a", "", use, "used", "used", "not used"},
		{"a new server is in the copy", "b=ready", "a=ready", "", use, "used", "used", "used"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
				g := &Gateway{process: process{log: logger}, platform: wordFacts{}}
				g.rt = exchange.New("d", nil, g, exchange.WithLog(logger))
				for _, c := range strings.Fields(tt.before) {
					g.apply(mirror.Batch{Changes: []kvstore.Change{change(c)}})
				}
				time.Sleep(time.Second)
				restoredAt := time.Now()
				g.apply(mirror.Batch{Changes: []kvstore.Change{change(tt.restored)}, Restored: true, AfterOutage: true, OutageEnd: restoredAt})
				check := func(when, want string) {
					t.Helper()
					g.applyDue(time.Now())
					if got := tt.got(g); got != want {
						t.Errorf("%s: got %s, want %s", when, got, want)
					}
				}
				check("at once", tt.atOnce)
				time.Sleep(time.Second)
				if tt.again != "" {
					g.apply(mirror.Batch{Changes: []kvstore.Change{change(tt.again)}, AfterOutage: true, OutageEnd: restoredAt.Add(-time.Hour)})
				}
				check("within the grace", tt.inGrace)
				time.Sleep(restoreGrace)
				check("after the grace", tt.after)
			})
		})
	}
}
