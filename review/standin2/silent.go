package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["silent"] = playSilent }

const (
	silentRounds = 3
	// silentFor is how long an engine falls silent: a second or so.
	silentFor = 1600 * time.Millisecond
	// silentGoalMs is goal_ms of the route.
	silentGoalMs = 100
	// besideTime is how long a server may go on with a request that goes on at another one.
	besideTime = 400 * time.Millisecond
	stepTime   = 30 * time.Millisecond
)

// pausable is an engine that may fall silent: nothing in it goes on then, and what arrives waits.
type pausable struct {
	mu     sync.Mutex
	awake  *sync.Cond
	paused bool
}

func newPausable() *pausable {
	p := new(pausable)
	p.awake = sync.NewCond(&p.mu)
	return p
}

// run returns when the engine is not silent.
func (p *pausable) run() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.paused {
		p.awake.Wait()
	}
}

func (p *pausable) pause(d time.Duration) {
	p.mu.Lock()
	p.paused = true
	p.mu.Unlock()
	time.AfterFunc(d, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.paused = false
		p.awake.Broadcast()
	})
}

// work is what is known of where a request is worked on.
type work struct {
	mu     sync.Mutex
	began  time.Time     // of the run that went on elsewhere; zero if there is none
	second string        // server of that run
	beside time.Duration // for how long another server went on after that
}

func (w *work) step(server string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); !w.began.IsZero() && server != w.second {
		w.beside = max(w.beside, now.Sub(w.began))
		rec.printf("server %s makes a step %d ms after the run went on at %s", server, now.Sub(w.began).Milliseconds(), w.second)
	}
}

func (w *work) longest() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.beside
}

func (w *work) goesOn(server string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.began, w.second = time.Now(), server
}

// servePausable returns the handler of an engine that keeps to the pages. The engine that begins a run falls silent
// after its head. It stops a run at the order to move it, and when it notices that the connection is closed.
func servePausable(p *pausable, w *work) serveFunc {
	var mu sync.Mutex
	stops := make(map[string]chan struct{}) // of the runs
	return func(s *backendServer, c net.Conn, r *http.Request, body []byte) {
		p.run()
		if r.URL.Path == "/kv-move" {
			answerMove(s, c, body, &mu, stops)
			return
		}
		id, from := r.Header.Get("Attempt-Id"), r.Header.Get("Kv-From")
		rec.printf("server %s gets %s, Kv-From %q, Kv-Backup %q", s.id, id, from, r.Header.Get("Kv-Backup"))
		if from != "" && !kept.take(from) {
			answerPlain(c, http.StatusServiceUnavailable, map[string]string{"Not-Executed": "1", "Attempt-Id": id}, nil)
			return
		}
		s.recordRun(id)
		if from != "" {
			w.goesOn(s.id)
		}
		if to := r.Header.Get("Kv-Backup"); to != "" {
			kept.put(to + "/" + id)
		}
		stop := make(chan struct{})
		mu.Lock()
		stops[id] = stop
		mu.Unlock()
		out := streamWriter{c}
		if out.begin(r, s) != nil {
			return
		}
		if from == "" && trouble {
			rec.printf("server %s falls silent", s.id)
			p.pause(silentFor)
		}
		for n := 1; n <= engineEvents; n++ {
			time.Sleep(stepTime)
			p.run()
			select {
			case <-stop:
				rec.printf("server %s: the run was stopped", s.id)
				return
			default:
			}
			w.step(s.id)
			if err := out.write(fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)); err != nil {
				rec.printf("server %s: the connection is closed", s.id)
				return
			}
		}
		_ = out.end() // a caller that has left needs no end
	}
}

// answerMove stops a run as the order says, and keeps its memory.
func answerMove(s *backendServer, c net.Conn, body []byte, mu *sync.Mutex, stops map[string]chan struct{}) {
	order, err := decodeMove(body)
	if err != nil {
		answerPlain(c, http.StatusBadRequest, nil, nil)
		return
	}
	mu.Lock()
	stop := stops[order.ID]
	delete(stops, order.ID)
	mu.Unlock()
	rec.printf("server %s gets the order to move %s, last %t", s.id, order.ID, order.Last)
	if stop == nil {
		answerPlain(c, http.StatusNotFound, nil, []byte("{}"))
		return
	}
	if order.Last {
		close(stop)
	}
	kept.put(s.addr + "/h-" + order.ID)
	answerPlain(c, http.StatusOK, map[string]string{"Content-Type": "application/json"}, []byte(`{"handle":"h-`+order.ID+`","create_rev":0}`))
}

// playSilent plays streams one after another whose engine falls silent after the head of its answer.
func playSilent(dir string) error {
	st, list, err := startFleet(dir, 2, []map[string]any{routeOf("tag", "/tag/", "streaming", "writers", 6000, silentGoalMs, 1)})
	defer killAll(list)
	if err != nil {
		return err
	}
	if err := awaitReady(list, readyTime); err != nil {
		return err
	}
	broken, served := 0, 0
	for round := range silentRounds {
		w := new(work)
		var servers []*backendServer
		for i := range 3 {
			p := newPausable()
			s, err := startServer(st, "writers", fmt.Sprintf("z%d", i+1), 24, servePausable(p, w))
			if err != nil {
				return err
			}
			s.mu.Lock()
			s.gate = p.run
			s.mu.Unlock()
			servers = append(servers, s)
		}
		time.Sleep(settleTime)
		id := randomID()
		q := call{method: "POST", path: "/tag/1", body: "a note", deadline: 6 * time.Second,
			header: fmt.Sprintf("Model: m\r\nToken-Counts: 100,400\r\nPrompt-Prefix: %x:10,%s:90\r\n", round, id[:8])}
		rec.printf("client sends %s", id)
		got := q.stream(list[round%len(list)].front, id)
		rec.printf("client gets %d, pieces %v, complete: %t, %v", got.code, got.ids, got.end, got.err)
		time.Sleep(silentFor)
		if w.longest() > besideTime {
			broken++
		}
		if got.end && got.code == http.StatusOK {
			served++
		}
		for _, s := range servers {
			s.stop(st)
		}
	}
	switch {
	case broken > 0:
		return fmt.Errorf("%w: %d of %d requests went on at another server while the one before still worked on them over 400 ms later", errBroken, broken, silentRounds)
	case served == 0:
		return errNothingServed
	}
	return nil
}
