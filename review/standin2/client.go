package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// call is one client attempt.
type call struct {
	method, path string
	header       string // lines that end with CR LF
	body         string
	deadline     time.Duration
}

// send writes a request to a connection.
func (q call) send(c net.Conn, id string) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\n", q.method, q.path, host, id,
		q.deadline.Milliseconds(), key)
	if q.body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	_, err := io.WriteString(c, head+q.header+"\r\n"+q.body)
	return err
}

// do sends a request on a new connection and reads the whole answer.
func (q call) do(addr, id string) (*http.Response, []byte, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, nil, err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(q.deadline)); err != nil {
		return nil, nil, err
	}
	if err := q.send(c, id); err != nil {
		return nil, nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, data, err
}
