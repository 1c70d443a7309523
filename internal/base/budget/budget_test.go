package budget

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func open(t *testing.T, b *Budget, drop func(Cause)) *Account {
	t.Helper()
	if drop == nil {
		drop = func(Cause) {}
	}
	a, err := b.Open(1<<10, drop)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// A slow request that holds much must give way to a faster one, whichever came last, and its memory must be free before
// the other takes it.
func TestSlowestRequestGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(4 << 20)
		fast, slow := open(t, b, nil), (*Account)(nil)
		time.Sleep(time.Second)
		slow = open(t, b, func(Cause) {
			go func() { time.Sleep(50 * time.Millisecond); slow.close() }()
		})
		must(t, fast.receive(2<<20, 0))
		must(t, fast.Take(1<<20))
		must(t, slow.receive(100<<10, 0))
		must(t, slow.Take(1<<20))
		time.Sleep(time.Second)
		start := time.Now()
		must(t, fast.Take(3<<19))
		if got, want := time.Since(start), 50*time.Millisecond; got != want {
			t.Errorf("wait for the memory of the slow request: got %v, want %v", got, want)
		}
		if !slow.Dropped() || fast.Dropped() {
			t.Errorf("dropped: got slow %v and fast %v, want the slow one alone", slow.Dropped(), fast.Dropped())
		}
		if err := slow.Take(1); !errors.Is(err, ErrShort) {
			t.Errorf("dropped request takes more: got %v, want %v", err, ErrShort)
		}
		fast.close()
		if got := b.Used(); got != 0 {
			t.Errorf("bytes used at the end: got %d, want 0", got)
		}
	})
}

// The request that is the slowest itself must be refused, not one that arrives faster.
func TestSlowRequestIsRefusedItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(4 << 20)
		slow := open(t, b, nil)
		time.Sleep(time.Second)
		fast := open(t, b, nil)
		must(t, fast.receive(2<<20, 0))
		must(t, fast.Take(2<<20))
		must(t, slow.receive(200<<10, 0))
		must(t, slow.Take(200<<10))
		if err := slow.Take(1 << 20); !errors.Is(err, ErrShort) || fast.Dropped() {
			t.Errorf("got %v, fast one dropped %v; want %v and false", err, fast.Dropped(), ErrShort)
		}
	})
}

// A request that has arrived whole may run, so it must not be dropped; small requests must be served beside it from the reserve.
func TestWholeRequestsStayAndSmallOnesAreServed(t *testing.T) {
	b := New(4 << 20)
	large := open(t, b, nil)
	must(t, large.Take(5<<19))
	if !large.Keep() {
		t.Fatal("request was dropped")
	}
	other := open(t, b, nil)
	must(t, other.Take(100<<10))
	if err := other.Take(1 << 20); !errors.Is(err, ErrShort) || large.Dropped() {
		t.Errorf("second large request: got %v, first dropped %v; want %v and false", err, large.Dropped(), ErrShort)
	}
	for range 8 {
		must(t, open(t, b, nil).Take(100<<10))
	}
}

// A request that was dropped must not run, since its caller gets a refusal that says so.
func TestDroppedRequestIsNotKept(t *testing.T) {
	b := New(1 << 20)
	a := open(t, b, nil)
	must(t, a.Take(512<<10))
	other := open(t, b, nil)
	must(t, other.receive(1<<20, 0))
	go func() { _ = other.Take(512 << 10) }()
	for !a.Dropped() {
		time.Sleep(time.Millisecond)
	}
	if a.Keep() {
		t.Error("dropped request: kept, want not kept")
	}
	a.close()
}

// Memory that a dropped request never returns must not stop others for longer than releaseWait.
func TestWaitForMemoryEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1 << 20)
		stuck := open(t, b, nil)
		must(t, stuck.Take(512<<10))
		time.Sleep(time.Second)
		a := open(t, b, nil)
		start := time.Now()
		if err := a.Take(512 << 10); !errors.Is(err, ErrShort) || time.Since(start) != releaseWait {
			t.Errorf("got %v after %v, want %v after %v", err, time.Since(start), ErrShort, releaseWait)
		}
	})
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// startServer serves h on a listener with a budget and returns its address.
func startServer(t *testing.T, b *Budget, maxConns int, h http.Handler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: Handler(h), ConnState: TrackState, ConnContext: WithConn, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(b.Listen(ln, maxConns, 1<<10, false)) }()
	t.Cleanup(func() { srv.Close() })
	return ln.Addr().String()
}

func readBody(w http.ResponseWriter, r *http.Request) {
	data, err := ReadAll(FromContext(r.Context()), r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write(data)
}

func dial(t *testing.T, addr, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

// Requests inside the limits must be served in a quiet node, and all that they took must be given back.
func TestRequestsAreServedAndMemoryIsGivenBack(t *testing.T) {
	b := New(4 << 20)
	addr := startServer(t, b, 8, http.HandlerFunc(readBody))
	text := strings.Repeat("0123456789abcde\n", 64<<10)
	for _, body := range []io.Reader{strings.NewReader(text), io.MultiReader(strings.NewReader(text)), strings.NewReader("short")} {
		r, _ := http.NewRequest(http.MethodPost, "http://"+addr, body)
		for i := range 1000 {
			r.Header.Add("A", string(rune('a'+i%26)))
		}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK || (len(got) != 5 && string(got) != text) {
			t.Errorf("got status %d with %d bytes, %v; want the body", resp.StatusCode, len(got), err)
		}
	}
	http.DefaultClient.CloseIdleConnections()
	for b.Used() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// A body that stops short must give way to one that arrives, and be refused as not run.
func TestStalledBodyIsRefused(t *testing.T) {
	b := New(1 << 20)
	addr := startServer(t, b, 8, http.HandlerFunc(readBody))
	stalled := dial(t, addr, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 524288\r\n\r\n"+strings.Repeat("x", 500<<10))
	for b.Used() < 500<<10 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond) // the rate of the stalled one falls below that of the next
	resp, err := http.Post("http://"+addr, "", bytes.NewReader(make([]byte, 300<<10)))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if got, want := resp.StatusCode, http.StatusOK; got != want {
		t.Errorf("body that arrives: got status %d, want %d", got, want)
	}
	answer, _ := io.ReadAll(stalled)
	if !strings.HasPrefix(string(answer), "HTTP/1.1 503 ") {
		t.Errorf("body that stopped: got %q, want status 503", answer)
	}
}

// Connections that send nothing must not keep others out, and those whose request runs must not be closed for others.
func TestConnectionsAreBounded(t *testing.T) {
	b := New(1 << 20)
	gate, started := make(chan struct{}), make(chan struct{}, 2)
	addr := startServer(t, b, 2, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-gate
	}))
	running := dial(t, addr, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	<-started
	for range 20 {
		dial(t, addr, "G")
	}
	last := dial(t, addr, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	time.AfterFunc(100*time.Millisecond, func() { close(gate) })
	for name, conn := range map[string]net.Conn{"first": running, "last": last} {
		answer, err := io.ReadAll(conn)
		if !strings.HasPrefix(string(answer), "HTTP/1.1 200 ") {
			t.Errorf("%s request: got %q, %v; want status 200", name, answer, err)
		}
	}
	if got := b.Drops(NoConnections); got < 19 {
		t.Errorf("connections dropped: got %d, want at least 19", got)
	}
}

// A client that reads nothing must not keep its connection and its answer for good.
func TestWriteToClientThatReadsNothingEnds(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := New(1<<20).Listen(ln, 8, 1<<10, false)
	l.writeTimeout = 50 * time.Millisecond
	done := make(chan error, 1)
	srv := &http.Server{ConnState: TrackState, ConnContext: WithConn, Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, 64<<20))
		done <- err
	}))}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { srv.Close() })
	dial(t, ln.Addr().String(), "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	select {
	case err := <-done:
		if err == nil {
			t.Error("write of 64 MiB: got no error, want one")
		}
	case <-time.After(20 * time.Second):
		t.Error("write has not ended, want it to end after its timeout")
	}
}

func TestMachine(t *testing.T) {
	if got, want := meminfoTotal("MemTotal:  114688 kB\nMemFree: 1 kB\n"), int64(112<<20); got != want {
		t.Errorf("MemTotal: got %d, want %d", got, want)
	}
	for text, want := range map[string]int64{"max\n": 0, "": 0, "117440512\n": 112 << 20, "9223372036854771712": 0} {
		if got := groupLimit(text); got != want {
			t.Errorf("limit %q: got %d, want %d", text, got, want)
		}
	}
}

// BenchmarkRequest measures small requests on a kept connection, with and without a budget.
func BenchmarkRequest(b *testing.B) {
	for _, name := range []string{"plain", "budget"} {
		b.Run(name, func(b *testing.B) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			srv := &http.Server{Handler: http.HandlerFunc(readBody)}
			if name == "budget" {
				ln = New(64<<20).Listen(ln, 100, 1<<10, false)
				srv = &http.Server{Handler: Handler(http.HandlerFunc(readBody)), ConnState: TrackState, ConnContext: WithConn}
			}
			go func() { _ = srv.Serve(ln) }()
			defer srv.Close()
			text := strings.Repeat("x", 1000)
			for b.Loop() {
				resp, err := http.Post("http://"+ln.Addr().String(), "", strings.NewReader(text))
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		})
	}
}
