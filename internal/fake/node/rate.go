package node

import (
	"context"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// segmentBytes is how many bytes of one answer pass a link before it is the turn of another.
const segmentBytes = 4 << 10

// uplink is a host's link, which all its answers share in both directions.
type uplink struct {
	mu   sync.Mutex
	rate float64   // bytes per second
	free time.Time // when the link has passed all that was given to it
}

// pass returns when n bytes that are given to the link now have passed it.
func (l *uplink) pass(n int) time.Time {
	if l == nil {
		return time.Time{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	return l.free
}

// SetRate limits the link of a host to a rate in bytes per second. Only the bodies of answers take time.
func (n *Network) SetRate(host string, bytesPerSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links == nil {
		n.links = make(map[string]*uplink)
	}
	n.links[host] = &uplink{rate: bytesPerSecond}
}

// Receive waits until a host has received n bytes from a peer outside the network, or until ctx ends.
func (n *Network) Receive(ctx context.Context, host string, bytes int) error {
	n.mu.Lock()
	link := n.links[host]
	n.mu.Unlock()
	for bytes > 0 {
		step := min(bytes, segmentBytes)
		if err := sleepUntil(ctx, link.pass(step)); err != nil {
			return err
		}
		bytes -= step
	}
	return nil
}

// linksBetween returns the links that an answer passes; both are nil if neither host has a limit.
func (n *Network) linksBetween(from, to string) [2]*uplink {
	n.mu.Lock()
	defer n.mu.Unlock()
	return [2]*uplink{n.links[from], n.links[to]}
}

// streamHandler runs a handler whose answer passes links. It returns the answer when its head has been written; its body arrives
// as the links pass it, and the handler's writes take as long.
func streamHandler(h http.Handler, r *http.Request, links [2]*uplink) *http.Response {
	pr, pw := io.Pipe()
	context.AfterFunc(r.Context(), func() { _ = pr.CloseWithError(context.Cause(r.Context())) })
	w := &streamWriter{ctx: r.Context(), links: links, pw: pw, header: make(http.Header), begun: make(chan struct{})}
	if links[0] == nil {
		h = buffered(h) // a server without a limit does not wait for its readers
	}
	go func() {
		defer func() {
			if v := recover(); v != nil && v != http.ErrAbortHandler {
				panic(v)
			} else if v != nil {
				pw.CloseWithError(io.ErrUnexpectedEOF)
			}
			w.begin(http.StatusOK)
			pw.Close()
		}()
		h.ServeHTTP(w, r)
	}()
	select {
	case <-w.begun:
		return &http.Response{StatusCode: w.code, Header: w.sent, Body: pr, Request: r, ProtoMajor: 1, ProtoMinor: 1, ContentLength: -1}
	case <-r.Context().Done():
		return nil
	}
}

// buffered returns a handler that runs h to its end before it writes the answer.
func buffered(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, r)
		maps.Copy(w.Header(), rec.Header())
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes()) // the caller has left
	})
}

// streamWriter is the http.ResponseWriter of streamHandler.
type streamWriter struct {
	ctx    context.Context
	links  [2]*uplink
	pw     *io.PipeWriter
	header http.Header
	sent   http.Header // header when the answer began
	code   int
	begun  chan struct{} // closed when the answer begins
}

func (w *streamWriter) Header() http.Header { return w.header }

func (w *streamWriter) WriteHeader(code int) { w.begin(code) }

func (w *streamWriter) begin(code int) {
	if w.code == 0 {
		w.code, w.sent = code, w.header.Clone()
		close(w.begun)
	}
}

func (w *streamWriter) Write(p []byte) (n int, err error) {
	w.begin(http.StatusOK)
	for n < len(p) {
		part := p[n:min(n+segmentBytes, len(p))]
		for _, l := range w.links {
			if err := sleepUntil(w.ctx, l.pass(len(part))); err != nil {
				return n, err
			}
		}
		sent, err := w.pw.Write(part)
		if n += sent; err != nil {
			return n, err
		}
	}
	return n, nil
}

// sleepUntil waits until t, or until ctx ends.
func sleepUntil(ctx context.Context, t time.Time) error {
	select {
	case <-time.After(time.Until(t)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
