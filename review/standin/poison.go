package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	poisonPath   = "/stamp/poison"
	darkTime     = 4 * time.Second         // until the server is back
	lapseTime    = 3600 * time.Millisecond // three liveness report intervals
	poisonGap    = 1700 * time.Millisecond
	poisonTime   = 50 * time.Second
	stableWindow = 3 * time.Second
	poisonLimit  = 3
)

// darkListener accepts connections until its server goes dark. After that, the kernel drops what would open a connection.
type darkListener struct {
	*net.TCPListener
	dark atomic.Bool
}

// Accept implements net.Listener. While the server is dark it keeps a connection that it got and accepts no other.
func (l *darkListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err == nil && l.dark.Load() {
		select {}
	}
	return conn, err
}

// goDark makes the listener fall silent.
func (l *darkListener) goDark() {
	l.dark.Store(true)
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	for range 3 { // these fill the queue of the listener
		go net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond)
	}
}

// goDark makes the server fall silent, as one does whose machine stops. After some seconds it is back with a new ID.
func (s *server) goDark() {
	s.mu.Lock()
	if s.isDark {
		s.mu.Unlock()
		return
	}
	s.isDark = true
	s.mu.Unlock()
	s.ledger.rec.logf("server %s goes dark", s.id)
	close(s.dark)
	s.silence.goDark()
	s.comeBack()
}

// comeBack has the server's entry lapse, and the server come back with a new ID.
func (s *server) comeBack() {
	time.AfterFunc(lapseTime, func() { s.store.remove("servers/" + s.id) })
	time.AfterFunc(darkTime, func() {
		s.crash()
		next := &server{
			id: newID(), service: s.service, zone: s.zone, version: s.version, slots: s.slots, work: s.work, ledger: s.ledger, store: s.store,
			poison: s.poison, resets: s.resets, deadly: s.deadly, memory: s.memory,
		}
		if err := next.start(); err != nil {
			s.ledger.rec.logf("server %s does not come back: %v", s.id, err)
			return
		}
		s.ledger.rec.logf("server %s is back as %s", s.id, next.id)
	})
}

// fail ends the server's lifetime at once and closes its connections. After some seconds it is back with a new ID.
func (s *server) fail() {
	s.ledger.rec.logf("server %s crashes and closes its connections", s.id)
	s.crash()
	s.comeBack()
}

// playPoison has clients send calls. With trouble, one request comes again and again that silences each server that begins to
// run it.
func playPoison(rec *record, dir string, trouble bool) (bool, error) {
	return poisonWith(rec, dir, trouble, false)
}

// playPoisonResets is playPoison with servers that reset their connections when they crash.
func playPoisonResets(rec *record, dir string, trouble bool) (bool, error) {
	return poisonWith(rec, dir, trouble, true)
}

func poisonWith(rec *record, dir string, trouble, resets bool) (bool, error) {
	d, err := newDeployment(rec, dir, 3)
	if err != nil {
		return false, err
	}
	defer d.stop()
	led := &ledger{rec: rec}
	for i := range 4 {
		s := &server{
			id: fmt.Sprintf("i-desk%d", i), service: "counterdesk", zone: zones[i%len(zones)], version: "v1", slots: 6, work: 60 * time.Millisecond,
			ledger: led, store: d.store, poison: poisonPath, resets: resets,
		}
		if err := s.start(); err != nil {
			return false, err
		}
	}
	d.store.put("op/config", config(1, []map[string]any{
		route("r-stamp", "/stamp/", "unsafe", "counterdesk", 800, 300),
	}, []map[string]any{plainService("counterdesk", 0)}))
	if err := d.startAll(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var mu sync.Mutex
	statuses := make(map[int]int)
	go traffic(stop, 25*time.Millisecond, func(n int) {
		a := d.send(request{id: newID(), method: http.MethodPost, target: fmt.Sprintf("/stamp/%d", n), body: "stamp", deadline: 1500 * time.Millisecond})
		mu.Lock()
		defer mu.Unlock()
		statuses[a.status]++
	})
	time.Sleep(3 * time.Second)
	poison := make(map[string]bool)
	for until := time.Now().Add(poisonTime); time.Now().Before(until); time.Sleep(poisonGap) {
		if !trouble {
			continue
		}
		id := newID()
		poison[id] = true
		go d.send(request{id: id, method: http.MethodPost, target: poisonPath, body: "poison", deadline: 1500 * time.Millisecond})
	}
	close(stop)
	time.Sleep(2 * time.Second)
	crashes, late := 0, 0
	var third time.Time
	for _, r := range led.snapshot() {
		if !poison[r.id] {
			continue
		}
		if crashes++; crashes == 3 {
			third = r.began
		}
		if crashes > 3 && r.began.Sub(third) > stableWindow {
			late++
		}
	}
	mu.Lock()
	defer mu.Unlock()
	rec.sayf("the request came %d times and crashed %d servers, %d of them over %v after the third; %d may", len(poison), crashes, late, stableWindow, poisonLimit)
	rec.sayf("other calls by status: %v", statuses)
	return late <= poisonLimit, nil
}
