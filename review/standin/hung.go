package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	hungCallers   = 6 // in each round; the engines have memory for them
	hungRounds    = 1
	hungEvents    = 2800 // of four tokens
	hungTime      = 5 * time.Millisecond
	hungBytes     = 1900
	relayBuffer   = 4096
	relayTime     = time.Second
	callerGap     = 7200 * time.Millisecond // four times the objective
	hungTimeout   = 20 * time.Second        // of the route
	hungPause     = 4 * time.Second         // after the time-out
	otherRequests = 40
	starvedShare  = 0.25
)

// playHung runs long streams on two engines. With trouble, their callers are partitioned from the nodes. After the time-out of these
// streams, other callers ask for short streams and for calls of another service.
func playHung(rec *record, dir string, trouble bool) (bool, error) {
	d, err := newDeployment(rec, dir, 3)
	if err != nil {
		return false, err
	}
	defer d.stop()
	led := &ledger{rec: rec}
	shared := newMemory()
	for _, zone := range zones[:2] {
		engine := &server{
			id: "i-loom" + zone[5:], service: "loomhall", zone: zone, version: "v1", slots: 24, memory: shared,
			eventTime: hungTime, eventBytes: hungBytes, ledger: led, store: d.store,
		}
		desk := &server{id: "i-desk" + zone[5:], service: "counterdesk", zone: zone, version: "v1", slots: 6, work: 60 * time.Millisecond, ledger: led, store: d.store}
		for _, s := range []*server{engine, desk} {
			if err := s.start(); err != nil {
				return false, err
			}
		}
	}
	d.store.put("op/config", config(1, []map[string]any{
		route("r-writeup", "/writeup/", "streaming", "loomhall", int(hungTimeout.Milliseconds()), 1800),
		route("r-stamp", "/stamp/", "unsafe", "counterdesk", 800, 300),
	}, []map[string]any{engineService("loomhall", 24, 32, false), plainService("counterdesk", 0)}))
	if err := d.startAll(); err != nil {
		return false, err
	}
	done := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	longServed := 0
	for range hungRounds {
		for n := range hungCallers {
			callers.Go(func() {
				if d.longCaller(n, trouble, done) {
					mu.Lock()
					longServed++
					mu.Unlock()
				}
			})
			time.Sleep(150 * time.Millisecond)
		}
		time.Sleep(hungTimeout + hungPause)
	}
	working := 0
	for _, r := range led.snapshot() {
		if r.ended.IsZero() {
			working++
		}
	}
	rec.sayf("%v after the time-out of the long requests, servers work on %d requests", hungPause, working)
	var group sync.WaitGroup
	streams, calls := 0, 0
	for n := range otherRequests {
		group.Go(func() {
			a := d.send(streamRequest(fmt.Sprintf("/writeup/short%d", n), 3000, 3))
			mu.Lock()
			defer mu.Unlock()
			if a.status == http.StatusOK && a.whole {
				streams++
			}
		})
		group.Go(func() {
			a := d.send(request{id: newID(), method: http.MethodPost, target: fmt.Sprintf("/stamp/%d", n), deadline: 1500 * time.Millisecond})
			mu.Lock()
			defer mu.Unlock()
			if a.status == http.StatusOK && a.whole {
				calls++
			}
		})
		time.Sleep(200 * time.Millisecond)
	}
	group.Wait()
	close(done)
	callers.Wait()
	// All requests of the case count, the long ones too.
	long := hungRounds * hungCallers
	all := float64(streams+calls+longServed) / float64(2*otherRequests+long)
	kind := float64(streams+longServed) / float64(otherRequests+long)
	rec.sayf("%d of %d streams and %d of %d calls were served", streams, otherRequests, calls, otherRequests)
	rec.sayf("with the %d long streams, %.2f of the streams and %.2f of all requests were served", long, kind, all)
	return kind >= starvedShare*all, nil
}

// longCaller asks for a long stream through a relay and reports whether the answer was whole. With a cut, the caller and the node are partitioned soon after the answer has
// begun: the caller gives up after a gap, and nothing of that reaches the node. The relay ends when done is closed.
func (d *deployment) longCaller(n int, cut bool, done <-chan struct{}) (whole bool) {
	req := streamRequest(fmt.Sprintf("/writeup/%d", n), 100, hungEvents)
	node, err := d.front()
	if err != nil {
		return false
	}
	up, err := net.DialTimeout("tcp", node, time.Second)
	if err != nil {
		return false
	}
	defer up.Close()
	if err := up.(*net.TCPConn).SetReadBuffer(relayBuffer); err != nil {
		return false
	}
	caller, down := net.Pipe()
	go relay(up, down, cut)
	d.rec.logf("client sends %s to %s: %s %s", req.id, node, req.method, req.target)
	go io.WriteString(caller, req.text())
	resp, err := http.ReadResponse(bufio.NewReader(caller), &http.Request{Method: req.method})
	if err != nil {
		d.rec.logf("client gets no answer for %s: %v", req.id, err)
		return false
	}
	size, buffer := 0, make([]byte, 4096)
	for err == nil {
		var got int
		_ = caller.SetReadDeadline(time.Now().Add(callerGap))
		got, err = resp.Body.Read(buffer)
		size += got
	}
	caller.Close()
	d.rec.logf("client gets for %s: status %d, %d bytes, then %v", req.id, resp.StatusCode, size, err)
	if cut {
		<-done
	}
	return err == io.EOF
}

// relay passes bytes between a caller and a node. With a cut it passes nothing on after a while, and keeps the connection to the
// node open.
func relay(up, down net.Conn, cut bool) {
	go io.Copy(up, down)
	began := time.Now()
	buffer := make([]byte, relayBuffer)
	for !cut || time.Since(began) < relayTime {
		n, err := up.Read(buffer)
		if _, werr := down.Write(buffer[:n]); err != nil || werr != nil {
			down.Close()
			return
		}
	}
}
