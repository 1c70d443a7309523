package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["refused"] = playRefused }

// Of the servers, one is in trouble, and of every troubledOf requests that it runs it fails troubledFails: within the dose of srv_grey, a share
// of .15 of the servers that fails .4 of their requests.
const (
	refusedServers = 7
	troubledOf     = 5
	troubledFails  = 2
)

// serveUnavailable returns the handler of a server that runs requests, fails some of them after that, and says so with a sealed answer of status
// 503. The answer does not have Not-Executed.
func serveUnavailable() serveFunc {
	var ran atomic.Int64
	return func(s *backendServer, c net.Conn, r *http.Request, body []byte) {
		if (ran.Add(1)-1)%troubledOf >= troubledFails {
			serveCall(s, c, r, body)
			return
		}
		id := r.Header.Get("Attempt-Id")
		s.recordRun(id)
		time.Sleep(workTime)
		answerPlain(c, http.StatusServiceUnavailable, s.seal(r), []byte("the booking is made, but its confirmation cannot be read"))
		rec.printf("server %s answers %s with its own 503, without Not-Executed", s.id, id)
	}
}

const (
	refusedClients = 12
	callsOfClient  = 10
)

// playRefused plays a service one of whose servers fails part of its requests after it has run them.
func playRefused(dir string) error {
	st, list, err := startFleet(dir, 2, []map[string]any{routeOf("book", "/book/", "unsafe", "desk", 800, 300, 1)})
	defer killAll(list)
	if err != nil {
		return err
	}
	var servers []*backendServer
	for i := range refusedServers {
		serve := serveFunc(serveCall)
		if i == 0 && trouble {
			serve = serveUnavailable()
		}
		s, err := startServer(st, "desk", fmt.Sprintf("z%d", i%4+1), 6, serve)
		if err != nil {
			return err
		}
		servers = append(servers, s)
	}
	if err := awaitReady(list, readyTime); err != nil {
		return err
	}
	time.Sleep(settleTime)
	var broken, served atomic.Int64
	var wg sync.WaitGroup
	for i := range refusedClients {
		wg.Go(func() {
			for n := range callsOfClient {
				book(servers, list[(i+n)%len(list)], fmt.Sprintf("client %d, booking %d", i, n), &broken, &served)
			}
		})
	}
	wg.Wait()
	switch {
	case broken.Load() > 0:
		return fmt.Errorf("%w: %d requests that are not idempotent have run and were answered with a status that promises that they have not",
			errBroken, broken.Load())
	case served.Load() == 0:
		return errNothingServed
	}
	return nil
}

// book makes one booking as a client does: it retries once after a promise that the request has not run.
func book(servers []*backendServer, m *machine, what string, broken, served *atomic.Int64) {
	for range 2 {
		id := randomID()
		rec.printf("%s: sends %s (unsafe) to %s", what, id, m.name)
		resp, _, err := call{method: "POST", path: "/book/1", body: "one deposit", deadline: 1500 * time.Millisecond}.do(m.front, id)
		if err != nil {
			rec.printf("%s: no answer for %s: %v", what, id, err)
			return
		}
		ran := runsOf(servers, id)
		rec.printf("%s: gets %d for %s, which has run %d times", what, resp.StatusCode, id, ran)
		if resp.StatusCode == http.StatusOK {
			served.Add(1)
		}
		if !isPromise(resp.StatusCode) {
			return
		}
		if ran > 0 {
			broken.Add(1)
		}
	}
}

// isPromise reports whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// runsOf returns how often a request ran at servers.
func runsOf(servers []*backendServer, id string) int {
	n := 0
	for _, s := range servers {
		s.mu.Lock()
		n += s.runs[id]
		s.mu.Unlock()
	}
	return n
}
