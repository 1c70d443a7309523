package main

import (
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"
)

const streamService = "writers"

// config returns a config of one service of model servers and two streaming routes.
func config() map[string]any {
	return map[string]any{
		"version": 3,
		"routes":  []any{streamRoute("r-plan", "/plan/", 39000, 1800, 0), streamRoute("r-tag", "/tag/", 6000, 1500, 1)},
		"services": []any{map[string]any{
			"name": streamService, "health_path": "/health", "max_conns": 312, "protocol": "h1", "tls": false, "cold_start_s": 1.0, "cold_per_s": 52.0,
			"engine": map[string]any{
				"slots": 32, "kv_capacity_tokens": 34294, "kv_token_bytes": 262144, "link_mbps": 38000.0, "moves": true, "backups": true, "stride": 4,
				"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
			},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "village", "api_keys": []any{"key-of-the-village"}, "priority": 1}},
	}
}

func streamRoute(name, prefix string, timeoutMs, goalMs, priority int) map[string]any {
	return map[string]any{
		"name": name, "host": "desk.example", "prefix": prefix, "route_kind": "streaming", "timeout_ms": timeoutMs, "goal_ms": goalMs,
		"priority": priority, "service": streamService, "max_attempts": 1, "public": false, "affinity": true, "resumable": false, "gap_target_ms": 180,
	}
}

// target is the request whose continuation is lost.
const target = "00000000000000f1"

// lostContinuation plays a stream whose server preempts it and reads it in again. The node stops the run and goes on at the server that
// has its backup, whose answer is lost.
func lostContinuation(b *bed) ([]string, error) { return playLoss(b, "127.0.12.", false) }

// lostBesideTheQueue plays the same with a server that keeps a preempted run in its queue, so that there is no run to stop.
func lostBesideTheQueue(b *bed) ([]string, error) { return playLoss(b, "127.0.13.", true) }

// maxLost is the largest share of the requests that a server ran whose answers the disruption loses.
const maxLost = 0.05

func playLoss(b *bed, network string, queues bool) ([]string, error) {
	b.startStore(network + "2")
	var engines []*engine
	var preempt, lose sync.Once
	var lostAt *engine
	for i, name := range []string{"i-a", "i-b", "i-c"} {
		e := startEngine(b.pool, b.rec, name, network+strconv.Itoa(21+i), "zone-"+name[2:])
		e.queues = queues
		e.pauseAt = func(_ *engine, id string, events int) (d time.Duration) {
			if id == target && events == 60 {
				preempt.Do(func() { d = 2500 * time.Millisecond })
			}
			return d
		}
		e.noRoom = func(_ *engine, id string) bool { return id == target }
		e.loseStart = func(at *engine, id, from string) (lost bool) {
			if b.trouble && id == target && from != "" {
				lose.Do(func() { lostAt, lost = at, true })
			}
			return lost
		}
		engines = append(engines, e)
		b.store.put("servers/"+e.name, e.entry(streamService, 32))
	}
	b.store.put("op/config", config())
	if err := b.addNodes([]string{"zone-a", "zone-b"}, network+"11", network+"12"); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // longer than stable_window_ms: the nodes are in touch
	askShort(b, 0xa000, 120)
	ask(b, "/plan/2f", target, 800, 800)
	time.Sleep(1500 * time.Millisecond)
	if b.trouble && lostAt == nil {
		return nil, errors.New("the run was not continued, so no answer was lost")
	}
	for _, e := range engines {
		e.mu.Lock()
		begun := e.begun
		e.mu.Unlock()
		b.rec.add("", e.name, "ran %d requests", begun)
		if e == lostAt && maxLost*float64(begun) < 1 {
			return nil, fmt.Errorf("%s lost an answer of only %d requests", e.name, begun)
		}
	}
	return b.rec.together(400 * time.Millisecond), nil
}

// askShort sends n requests with short answers, a few at a time. Their IDs count from first.
func askShort(b *bed, first, n int) {
	var group sync.WaitGroup
	slots := make(chan struct{}, 12)
	for i := range n {
		slots <- struct{}{}
		group.Go(func() {
			ask(b, "/tag/2f", fmt.Sprintf("%016x", first+i), 12, 12)
			<-slots
		})
	}
	group.Wait()
}
