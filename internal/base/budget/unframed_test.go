package budget

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"
)

// startUnframed serves part of an answer whose end is the end of its connection, ends it with end and waits for the end of the test.
// It returns the client's side of the connection, after a byte of the answer was read.
func startUnframed(t *testing.T, overTLS bool, end func(l *Listener, srv *http.Server, r *http.Request)) net.Conn {
	t.Helper()
	var l *Listener
	done := make(chan struct{})
	srv := httptest.NewUnstartedServer(nil)
	srv.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := ResetOnClose(r.Context(), true); err != nil {
			t.Error(err)
		}
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		end(l, srv.Config, r)
		<-done
	})
	l = New(4<<20).Listen(srv.Listener, 8, 1<<10, overTLS)
	srv.Listener, srv.Config.ConnContext, srv.Config.ConnState = l, WithConn, TrackState
	if overTLS {
		srv.StartTLS()
	} else {
		srv.Start()
	}
	t.Cleanup(srv.Close)
	t.Cleanup(func() { close(done) })
	conn := dial(t, srv.Listener.Addr().String(), "")
	if overTLS {
		conn = tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
	}
	if _, err := io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return conn
}

// A connection that ends while its end would end an answer must be reset, whoever ends it.
func TestUnframedPartIsReset(t *testing.T) {
	tests := []struct {
		name string
		end  func(l *Listener, srv *http.Server, r *http.Request)
	}{
		{"handler", func(_ *Listener, _ *http.Server, r *http.Request) { Reset(r.Context()) }},
		{"server", func(l *Listener, srv *http.Server, _ *http.Request) { l.EndAnswers(); srv.Close() }},
		{"budget", func(l *Listener, _ *http.Server, _ *http.Request) {
			l.b.mu.Lock()
			defer l.b.mu.Unlock()
			for c := range l.conns {
				c.end(NoConnections)
			}
		}},
	}
	for _, tt := range tests {
		for name, overTLS := range map[string]bool{"plain": false, "TLS": true} {
			t.Run(tt.name+", "+name, func(t *testing.T) {
				conn := startUnframed(t, overTLS, tt.end)
				if _, err := io.ReadAll(conn); !errors.Is(err, syscall.ECONNRESET) {
					t.Errorf("end of the connection: got %v, want %v", err, syscall.ECONNRESET)
				}
			})
		}
	}
}

// An answer that is whole must not be reset, also if its server ends.
func TestUnframedWholeAnswerIsNotReset(t *testing.T) {
	for name, overTLS := range map[string]bool{"plain": false, "TLS": true} {
		t.Run(name, func(t *testing.T) {
			conn := startUnframed(t, overTLS, func(l *Listener, srv *http.Server, r *http.Request) {
				if err := ResetOnClose(r.Context(), false); err != nil {
					t.Error(err)
				}
				l.EndAnswers()
				srv.Close()
			})
			if _, err := io.ReadAll(conn); err != nil {
				t.Errorf("end of the connection: got %v, want none", err)
			}
		})
	}
}

// An answer must neither begin nor become whole after the connections have been reset.
func TestUnframedAnswersStayEnded(t *testing.T) {
	errs := make(chan error, 2)
	conn := startUnframed(t, false, func(l *Listener, _ *http.Server, r *http.Request) {
		l.EndAnswers()
		errs <- ResetOnClose(r.Context(), false)
		errs <- ResetOnClose(r.Context(), true)
	})
	for range 2 {
		select {
		case err := <-errs:
			if !errors.Is(err, net.ErrClosed) {
				t.Errorf("got %v, want %v", err, net.ErrClosed)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("the handler does not run")
		}
	}
	conn.Close()
}
