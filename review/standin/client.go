package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is one client attempt.
type request struct {
	id, method, target string
	header             map[string]string
	body               string
	deadline           time.Duration
}

// answer is what a client got.
type answer struct {
	status int // 0 if there was none
	header http.Header
	body   string
	whole  bool // the body is complete
	err    error
}

const (
	host      = "ropes.example"
	clientKey = "k-rentals"
	// commonPart is a part of all prompts.
	commonPart   = "91bd3f06"
	commonTokens = 50
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request on a new connection to a node and reads the answer. The request line is written as it is, since a client
// library may change the path.
func (d *deployment) send(req request) answer {
	node, err := d.front()
	if err != nil {
		return answer{err: err}
	}
	d.rec.logf("client sends %s to %s: %s %s", req.id, node, req.method, req.target)
	a := exchange(node, req)
	d.rec.logf("client gets for %s: status %d, %d bytes, whole %v, error %v", req.id, a.status, len(a.body), a.whole, a.err)
	return a
}

// text returns the request as it is sent.
func (req request) text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\n",
		req.method, req.target, host, req.id, req.deadline.Milliseconds(), clientKey)
	for name, value := range req.header {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	if req.body != "" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(req.body))
	}
	text.WriteString("\r\n" + req.body)
	return text.String()
}

func exchange(node string, req request) answer {
	conn, err := net.DialTimeout("tcp", node, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(req.deadline))
	if _, err := io.WriteString(conn, req.text()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: req.method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), whole: err == nil, err: err}
}

// streamRequest returns a request for a stream of a number of events.
func streamRequest(target string, promptTokens, events int) request {
	id := newID()
	return request{
		id: id, method: http.MethodPost, target: target, body: "draft", deadline: 39 * time.Second,
		header: map[string]string{
			"Model": "m", "Token-Counts": fmt.Sprintf("%d,%d", promptTokens, 4*events), "Length-Hint": strconv.Itoa(4 * events),
			"Prompt-Prefix": fmt.Sprintf("%s:%d,%s:%d", commonPart, commonTokens, id[:8], promptTokens-commonTokens),
		},
	}
}
