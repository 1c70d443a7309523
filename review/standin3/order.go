package main

import (
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"
)

// maxShed is the largest share of the calls to a failing server that it rejects.
const maxShed = 0.45

// failing is a server that rejects some of its calls and loses the rest of one answer. Its methods are safe for concurrent use.
type failing struct {
	mu          sync.Mutex
	at          *engine // nil until the server that runs the target is known
	calls, shed int     // since then
	lost        bool
}

func (f *failing) begin(at *engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.at == nil {
		f.at = at
	}
}

// rejects reports whether a call is rejected: the first orders to stop the target, within the share.
func (f *failing) rejects(at *engine, id, call string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.at != at {
		return false
	}
	f.calls++
	if id != target || call != "kv-move" || float64(f.shed+1) > maxShed*float64(f.calls) {
		return false
	}
	f.shed++
	return true
}

func (f *failing) loses(at *engine, id string, events int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.at != at || f.lost || id != target || events != 150 {
		return false
	}
	f.lost = true
	return true
}

// rejectedOrder plays a stream whose server loses the rest of the answer and works on. The node orders it to stop the run, which it rejects.
func rejectedOrder(b *bed) ([]string, error) {
	const network = "127.0.14."
	b.startStore(network + "2")
	var engines []*engine
	f := new(failing)
	for i := range 9 {
		e := startEngine(b.pool, b.rec, "i-"+string(rune('a'+i)), network+strconv.Itoa(21+i), "zone-"+string(rune('a'+i%3)))
		if b.trouble {
			e.pauseAt = func(at *engine, id string, events int) time.Duration {
				if id == target && events == 1 {
					f.begin(at)
				}
				return 0
			}
			e.shed, e.loseRest = f.rejects, f.loses
		}
		engines = append(engines, e)
		b.store.put("servers/"+e.name, e.entry(streamService, 32))
	}
	b.store.put("op/config", config())
	if err := b.addNodes([]string{"zone-a", "zone-b"}, network+"11", network+"12"); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // longer than stable_window_ms: the nodes are in touch
	askShort(b, 0xa000, 300)
	var group sync.WaitGroup
	group.Go(func() { ask(b, "/plan/2f", target, 1800, 1800) })
	askShort(b, 0xb000, 250) // until the rest of the answer is lost, about 3 s
	group.Wait()
	time.Sleep(1500 * time.Millisecond)
	for _, e := range engines {
		e.mu.Lock()
		begun := e.begun
		e.mu.Unlock()
		b.rec.add("", e.name, "ran %d requests", begun)
		if e == f.at && maxLost*float64(begun) < 1 {
			return nil, fmt.Errorf("%s lost an answer of only %d requests", e.name, begun)
		}
	}
	if b.trouble && (!f.lost || f.shed == 0) {
		return nil, errors.New("no order to stop the run was rejected")
	}
	if b.trouble {
		b.rec.add("", f.at.name, "rejected %d of %d calls while it was failing", f.shed, f.calls)
	}
	return b.rec.together(400 * time.Millisecond), nil
}
