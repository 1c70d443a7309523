package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["term"] = playTerm }

const (
	termClients = 6
	// termWork is how long a server works on a call.
	termWork = 4500 * time.Millisecond
	// termSent is when after the SIGTERM the first client sends its call; the others follow at intervals of termStep.
	termSent = 3200 * time.Millisecond
	termStep = 80 * time.Millisecond
	// graceTime is grace_s.
	graceTime = 8 * time.Second
)

// serveLong runs a request for termWork if its path begins so, or for some milliseconds.
func serveLong(s *backendServer, c net.Conn, r *http.Request, body []byte) {
	if !strings.HasPrefix(r.URL.Path, "/book/long") {
		serveCall(s, c, r, body)
		return
	}
	id := r.Header.Get("Attempt-Id")
	s.recordRun(id)
	gone := make(chan struct{})
	go func() {
		_, _ = c.Read(make([]byte, 1))
		close(gone)
	}()
	select {
	case <-time.After(termWork):
		answerPlain(c, 200, s.seal(r), []byte("answer to "+id))
		rec.printf("server %s answers %s", s.id, id)
	case <-gone:
		rec.printf("server %s: the connection of %s is closed", s.id, id)
	}
}

// playTerm plays a planned stop of one of two machines while clients use connections that they kept.
func playTerm(dir string) error {
	st, list, err := startFleet(dir, 2, []map[string]any{routeOf("book", "/book/", "unsafe", "desk", 10000, 6000, 1)})
	defer killAll(list)
	if err != nil {
		return err
	}
	var servers []*backendServer
	for i := range 4 {
		s, err := startServer(st, "desk", fmt.Sprintf("z%d", i+1), 6, serveLong)
		if err != nil {
			return err
		}
		servers = append(servers, s)
	}
	if err := awaitReady(list, readyTime); err != nil {
		return err
	}
	time.Sleep(settleTime)
	m := list[0]
	quick := call{method: "POST", path: "/book/quick", body: "one deposit", deadline: 10 * time.Second}
	long := call{method: "POST", path: "/book/long", body: "one deposit", deadline: 10 * time.Second}
	conns := make([]net.Conn, termClients)
	readers := make([]*bufio.Reader, termClients)
	for i := range conns {
		if conns[i], err = net.Dial("tcp", m.front); err != nil {
			return err
		}
		defer conns[i].Close()
		readers[i] = bufio.NewReader(conns[i])
		status, err := exchangeOn(conns[i], readers[i], quick, randomID())
		if err != nil || status != http.StatusOK {
			return fmt.Errorf("the first call of a connection: %d, %w", status, err)
		}
	}
	ttl, err := resolve(m)
	if err != nil {
		return err
	}
	if latest := termSent + termClients*termStep; entryUses*ttl < latest {
		return fmt.Errorf("clients use an answer of the directory for %v, which is less than %v", entryUses*ttl, latest)
	}
	if trouble {
		rec.printf("SIGTERM to %s", m.name)
		if err := m.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		killer := time.AfterFunc(graceTime, func() {
			rec.printf("SIGKILL to %s", m.name)
			_ = m.cmd.Process.Kill() // fails only if the process has ended
		})
		defer killer.Stop()
	}
	began := time.Now()
	go func() {
		<-m.ended
		rec.printf("%s has ended", m.name)
	}()
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for i := range conns {
		wg.Go(func() {
			time.Sleep(time.Until(began.Add(termSent + time.Duration(i)*termStep)))
			id, sent := randomID(), time.Now()
			rec.printf("client %d sends %s on the connection that it kept, %d ms after the SIGTERM", i, id, time.Since(began).Milliseconds())
			status, err := exchangeOn(conns[i], readers[i], long, id)
			rec.printf("client %d gets for %s: %d, %v, %d ms after the SIGTERM", i, id, status, err, time.Since(began).Milliseconds())
			if err != nil && countsAsLost(id, runsOf(servers, id), sent.Sub(began), time.Since(sent), long.deadline) {
				mu.Lock()
				lost++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	switch {
	case lost > 0 && !trouble:
		return fmt.Errorf("%d calls got no answer without a SIGTERM", lost)
	case lost > 0:
		return fmt.Errorf("%w: %d calls that were sent later than 3 s after the SIGTERM were taken, passed on and cut", errBroken, lost)
	}
	return nil
}

const (
	// lossSlack is loss_slack_ms.
	lossSlack = 200 * time.Millisecond
	// excusedUntil is when after the SIGTERM a request was sent at the latest that its server may still work on in the last sixth of grace_s.
	excusedUntil = 3 * time.Second
	// plannedUntil is how long after the SIGTERM the work counts as planned.
	plannedUntil = graceTime + time.Second
)

// countsAsLost reports whether a call whose connection ended without a complete answer breaks the rule: it was sent at a time after the SIGTERM
// for which no excuse holds, the end came before its time budget and the route's timeout, and it had been passed on to a server, or ended later than
// lossSlack after it was sent. The servers of the case break nothing off.
func countsAsLost(id string, runs int, sentAfter, took, timeout time.Duration) bool {
	counts := sentAfter > excusedUntil && sentAfter+took < plannedUntil && took < timeout && (runs > 0 || took > lossSlack)
	rec.printf("%s: no answer after %d ms, runs %d, counts as lost: %t", id, took.Milliseconds(), runs, counts)
	return counts
}

// entryUses is how many times its ttl_s some clients use an answer of the directory.
const entryUses = 3

// resolve asks the directory for addresses until it names the machine, and returns for how long the answer is good.
func resolve(m *machine) (time.Duration, error) {
	for range 50 {
		resp, err := plainClient.Get("http://" + m.entries + "/resolve?name=" + host + "&region=r1&zone=" + m.zone)
		if err != nil {
			return 0, err
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		resp.Body.Close()
		if err != nil {
			return 0, err
		}
		if slices.Contains(answer.Addresses, m.front) {
			rec.printf("the directory names %s, ttl_s %v", m.name, answer.TTL)
			return time.Duration(answer.TTL * float64(time.Second)), nil
		}
	}
	return 0, fmt.Errorf("the directory does not name %s", m.name)
}

// exchangeOn sends a request on an open connection and reads the answer.
func exchangeOn(c net.Conn, br *bufio.Reader, q call, id string) (status int, err error) {
	if err := c.SetDeadline(time.Now().Add(q.deadline)); err != nil {
		return 0, err
	}
	if err := q.send(c, id); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(br, &http.Request{Method: q.method})
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, err
}
