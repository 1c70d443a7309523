package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	keptClients = 90
	thinkTime   = 400 * time.Millisecond // on average
	lostLimit   = 3
)

// keptTraffic is what clients with kept connections saw.
type keptTraffic struct {
	mu         sync.Mutex
	answered   int
	unanswered map[string]bool // IDs of requests without an answer
}

// startKeptClients has clients send calls on kept connections until stop is closed.
func startKeptClients(d *deployment, group *sync.WaitGroup, stop <-chan struct{}) *keptTraffic {
	t := &keptTraffic{unanswered: make(map[string]bool)}
	for range keptClients {
		c := &keptClient{d: d, count: t.count}
		group.Go(func() { c.run(stop) })
	}
	return t
}

func (t *keptTraffic) count(id string, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if answered {
		t.answered++
	} else {
		t.unanswered[id] = true
	}
}

// judge checks the part of the rule LOST that holds at any time.
func (t *keptTraffic) judge(led *ledger) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := 0
	for _, r := range led.snapshot() {
		if t.unanswered[r.id] {
			lost++
			led.rec.logf("request %s was run by %s (%s) and its kept connection ended without an answer", r.id, r.server, r.outcome)
		}
	}
	led.rec.sayf("%d requests on kept connections were answered; %d were passed on to a server and got no answer; %d may", t.answered, lost, lostLimit)
	return lost <= lostLimit
}

// keptClient sends requests on kept connections until stop is closed, and counts those that got no answer on a connection that
// had served others before, or any.
type keptClient struct {
	d       *deployment
	count   func(id string, answered bool)
	conn    net.Conn
	reader  *bufio.Reader
	started int // requests on the connection
}

func (c *keptClient) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(thinkTime/2 + rand.N(thinkTime)):
		}
		if c.conn == nil && !c.connect() {
			continue
		}
		c.request()
	}
}

func (c *keptClient) connect() bool {
	node, err := c.d.front()
	if err != nil {
		return false
	}
	if c.conn, err = net.DialTimeout("tcp", node, time.Second); err != nil {
		c.conn = nil
		return false
	}
	c.reader, c.started = bufio.NewReader(c.conn), 0
	return true
}

// request sends one request. Only those on a connection that has answered one before are counted.
func (c *keptClient) request() {
	id, kept := newID(), c.started > 0
	c.started++
	_ = c.conn.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	text := fmt.Sprintf("POST /stamp/%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 1500\r\nAuthorization: Token %s\r\nContent-Length: 0\r\n\r\n",
		id, host, id, clientKey)
	_, err := io.WriteString(c.conn, text)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	}
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if kept && !errors.Is(err, os.ErrDeadlineExceeded) { // a connection that the client gives up is not one that was closed
		c.count(id, err == nil)
	}
	if err != nil {
		c.d.rec.logf("client gets no answer for %s on a connection with %d requests before: %v", id, c.started-1, err)
	}
	if err != nil || resp.Close {
		c.conn.Close()
		c.conn = nil
	}
}
