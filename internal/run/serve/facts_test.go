package serve

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/edge/kvstore"
	"ebonyferry/internal/run/exchange"
	"ebonyferry/internal/run/mirror"
)

// serverList is a Platform whose entries are servers of the service s. Only DecodeFact may be called.
type serverList struct{ Platform }

func (serverList) DecodeFact(key string, _ []byte, removed bool, _ time.Time) (Fact, error) {
	if removed {
		return ServerRemovedFact{ID: key}, nil
	}
	return ServerFact{Server: backend.Server{ID: key, Service: "s"}}, nil
}

// A server that leaves by the removal of its entry soon after an outage of the store must not get work for longer than
// entries that expired in the outage need to come back.
func TestGraceAfterAnOutageRunsFromItsEnd(t *testing.T) {
	tests := []struct {
		name  string
		ended time.Duration // ago
		want  bool
	}{
		{"just now", 0, true},
		{"within the grace", backend.ExpiryGrace - time.Second, true},
		{"before the grace", backend.ExpiryGrace, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
			g := &Gateway{process: process{log: logger}, platform: serverList{}}
			g.rt = exchange.New("d", nil, g, exchange.WithLog(logger))
			entry := kvstore.Entry{Key: "a"}
			g.apply(mirror.Batch{Changes: []kvstore.Change{{Entry: entry}}})
			now := time.Now()
			g.apply(mirror.Batch{
				Changes: []kvstore.Change{{Entry: entry, Deleted: true}}, AfterOutage: true, OutageEnd: now.Add(-tt.ended),
			})
			var got bool
			g.rt.UpdatePool(func(p *backend.Pool) { got = p.MayUse(backend.Server{ID: "a"}, now) })
			if got != tt.want {
				t.Errorf("in use: got %v, want %v", got, tt.want)
			}
		})
	}
}
