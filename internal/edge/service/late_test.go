package service_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"ebonyferry/internal/edge/service"
)

// A service sends a second copy of each answer when the next request on the same connection arrives. The next caller must
// get its own answer.
func TestSecondCopyOfAnAnswerDoesNotAnswerTheNextCall(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r, late := bufio.NewReader(conn), ""
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(req.URL.Path), req.URL.Path)
					if _, err := io.WriteString(conn, late+answer); err != nil {
						return
					}
					late = answer
				}
			}()
		}
	}()
	c := service.New()
	addr := ln.Addr().(*net.TCPAddr).AddrPort()
	for i := range 4 {
		path := fmt.Sprint("/look/", i)
		ans, err := c.Call(t.Context(), addr, service.Call{Method: http.MethodGet, Path: path})
		if err != nil || string(ans.Body) != path {
			t.Errorf("call of %s: got %q, %v; want its own answer", path, ans.Body, err)
		}
	}
}
