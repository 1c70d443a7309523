// Package node carries typed messages between the nodes of the fleet, as JSON over HTTP. An answer whose type implements
// encoding.BinaryMarshaler is sent in that form.
//
// A message is a request type and an answer type under a path. A receiver registers a function with Handle;
// a sender uses Call. Every message carries the sender's name and epoch, by which a receiver distinguishes
// incarnations of a node. Traffic counts bytes by path, because each node's control traffic must stay within a limit.
package node

import (
	"bytes"
	"cmp"
	"context"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/base/bounded"
	"ebonyferry/internal/base/budget"
	"ebonyferry/internal/base/progress"
)

// MaxMessageBytes bounds a message and its answer.
const MaxMessageBytes = 8 << 20

const (
	headerNode  = "Ferry-Node"
	headerEpoch = "Ferry-Epoch"
)

// Errors of calls, tested with errors.Is.
var (
	// ErrUnreachable means that no valid answer arrived; the node may have received the message.
	ErrUnreachable = errors.New("node did not answer")
	// ErrRefused means that the receiver answered with an error; its text is appended.
	ErrRefused = errors.New("node refused the message")
	// ErrNoHandler means that the receiver does not know the message, as nodes of an older build. It comes with ErrRefused.
	ErrNoHandler = errors.New("node does not know the message")
)

// Sender identifies the node that sent a message.
type Sender struct {
	Name  string
	Epoch uint64
}

// Client sends messages to other nodes. It is safe for concurrent use.
type Client struct {
	name    string
	epoch   *atomic.Uint64
	scheme  string
	http    *http.Client
	timeout time.Duration
	stall   time.Duration // 0 if timeout limits the whole call
	arrived func(from netip.AddrPort, a progress.Arrival)
	check   func(bytes int) error
	Traffic *Traffic // bytes sent and received by this client and those derived from it
}

// Option changes a Client.
type Option func(*Client)

// WithHTTPClient sets the HTTP client, for example one with mutual TLS, and the URL scheme to use with it.
func WithHTTPClient(c *http.Client, scheme string) Option {
	return func(cl *Client) { cl.http, cl.scheme = bounded.WithoutRedirects(c), scheme }
}

// WithTimeout limits the duration of each call. It is for answers whose size does not grow with the fleet or its configuration.
func WithTimeout(d time.Duration) Option {
	return func(cl *Client) { cl.timeout, cl.stall = d, 0 }
}

// WithLimit limits the time until the answer begins, and then the time without progress.
func WithLimit(l progress.Limit) Option {
	return func(cl *Client) { cl.timeout, cl.stall = l.Start, l.Stall }
}

// WithArrivals sets a function that is called with each successful answer. A failed call returns a progress.IncompleteError.
func WithArrivals(fn func(from netip.AddrPort, a progress.Arrival)) Option {
	return func(cl *Client) { cl.arrived = fn }
}

// WithCheck sets a function that is called with the number of bytes of an answer that have arrived whenever more do. Its error ends the call.
func WithCheck(fn func(bytes int) error) Option {
	return func(cl *Client) { cl.check = fn }
}

const defaultTimeout = 2 * time.Second

// NewClient returns a client that sends as self.
func NewClient(self Sender, opts ...Option) *Client {
	c := &Client{
		name:    self.Name,
		epoch:   new(atomic.Uint64),
		scheme:  "http",
		http:    bounded.WithoutRedirects(&http.Client{}),
		timeout: defaultTimeout,
		arrived: func(netip.AddrPort, progress.Arrival) {},
		Traffic: new(Traffic),
	}
	c.epoch.Store(self.Epoch)
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Derive returns a client with further options applied. It shares c's connections, epoch and counters.
func (c *Client) Derive(opts ...Option) *Client {
	derived := *c
	for _, opt := range opts {
		opt(&derived)
	}
	return &derived
}

// SetEpoch changes the epoch that c and all clients derived from it send. A node gets its epoch when it
// registers in the store.
func (c *Client) SetEpoch(epoch uint64) { c.epoch.Store(epoch) }

// Call sends req to the node at addr and returns its answer. Failures of the transport wrap
// ErrUnreachable, error answers wrap ErrRefused.
func Call[Req, Resp any](ctx context.Context, c *Client, addr netip.AddrPort, path string, req Req) (Resp, error) {
	var resp Resp
	body, err := json.Marshal(req)
	if err != nil {
		return resp, fmt.Errorf("encoding message %s: %w", path, err)
	}
	data, err := c.post(ctx, addr, path, body)
	if err != nil {
		return resp, err
	}
	if err := decodeAnswer(data, &resp); err != nil {
		return resp, fmt.Errorf("%w: answer to %s: %w", ErrUnreachable, path, err)
	}
	return resp, nil
}

// decodeAnswer decodes an answer, as JSON unless its type has a binary form.
func decodeAnswer(data []byte, resp any) error {
	if b, ok := resp.(encoding.BinaryUnmarshaler); ok {
		return b.UnmarshalBinary(data)
	}
	return json.Unmarshal(data, resp)
}

// encodeAnswer writes an answer, as JSON unless its type has a binary form.
func encodeAnswer(w http.ResponseWriter, resp any) error {
	b, ok := resp.(encoding.BinaryMarshaler)
	if !ok {
		w.Header().Set("Content-Type", "application/json")
		return json.NewEncoder(w).Encode(resp)
	}
	data, err := b.MarshalBinary()
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, err = w.Write(data)
	return err
}

// post sends one message body and returns the body of a successful answer.
func (c *Client) post(ctx context.Context, addr netip.AddrPort, path string, body []byte) ([]byte, error) {
	if c.stall == 0 {
		whole, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		ctx = whole
	}
	ctx, meter := progress.Limit{Start: c.timeout, Stall: cmp.Or(c.stall, c.timeout)}.Begin(ctx)
	defer meter.End()
	meter.Check(c.check)
	url := c.scheme + "://" + addr.String() + path
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("message %s: %w", path, err)
	}
	r.Header.Set("User-Agent", "") // messages are small and frequent, so each header adds noticeable traffic
	r.Header.Set(headerNode, c.name)
	r.Header.Set(headerEpoch, strconv.FormatUint(c.epoch.Load(), 10))
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, fmt.Errorf("%w: %s to %s: %w", ErrUnreachable, path, addr, meter.Incomplete(err))
	}
	if err := bounded.CheckStatus(resp); err != nil {
		return nil, fmt.Errorf("%w: %s to %s: %w", ErrUnreachable, path, addr, err)
	}
	defer resp.Body.Close()
	data, err := bounded.ReadAll(meter.Body(resp.Body), MaxMessageBytes)
	arrival := meter.Arrival()
	c.Traffic.add(path, len(body), arrival.Bytes)
	if err != nil {
		return nil, fmt.Errorf("%w: %s to %s: %w", ErrUnreachable, path, addr, meter.Incomplete(err))
	}
	if resp.StatusCode == http.StatusNotFound {
		return nil, fmt.Errorf("%w: %w: %s at %s", ErrRefused, ErrNoHandler, path, addr)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: %s at %s: %s", ErrRefused, path, addr, bytes.TrimSpace(data))
	}
	c.arrived(addr, arrival)
	return data, nil
}

// Handle registers fn for messages under path on the router of the node-to-node listener. The text of an error
// from fn is sent to the caller, where Call returns it in an error that wraps ErrRefused.
func Handle[Req, Resp any](router chi.Router, path string, fn func(ctx context.Context, from Sender, req Req) (Resp, error)) {
	handle(router, path, func(context.Context, Req) func() { return func() {} }, fn)
}

// HandleLarge is like Handle for large answers, of which at most n are written at a time. The others wait, so that small answers to
// other messages do not queue behind all of them on the node's link. Answers to requests that first selects do not wait.
func HandleLarge[Req, Resp any](router chi.Router, path string, n int, first func(Req) bool, fn func(ctx context.Context, from Sender, req Req) (Resp, error)) {
	writing := make(chan struct{}, n)
	begin := func(ctx context.Context, req Req) func() {
		if first(req) {
			return func() {}
		}
		select {
		case writing <- struct{}{}:
			return func() { <-writing }
		case <-ctx.Done():
			return nil
		}
	}
	handle(router, path, begin, fn)
}

// handle registers fn. It writes an answer between begin and the call of what begin returns, and none if that is nil.
func handle[Req, Resp any](router chi.Router, path string, begin func(context.Context, Req) func(), fn func(ctx context.Context, from Sender, req Req) (Resp, error)) {
	router.Post(path, func(w http.ResponseWriter, r *http.Request) {
		epoch, err := strconv.ParseUint(r.Header.Get(headerEpoch), 10, 64)
		if err != nil {
			http.Error(w, "header "+headerEpoch+" is not a number", http.StatusBadRequest)
			return
		}
		var req Req
		err = json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxMessageBytes)).Decode(&req)
		switch {
		case errors.Is(err, budget.ErrShort):
			w.Header().Set("Retry-After", "1")
			http.Error(w, "message "+path+" was not processed: "+err.Error(), http.StatusServiceUnavailable)
			return
		case err != nil:
			http.Error(w, fmt.Sprintf("message %s: %v", path, err), http.StatusBadRequest)
			return
		}
		resp, err := fn(r.Context(), Sender{Name: r.Header.Get(headerNode), Epoch: epoch}, req)
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		end := begin(r.Context(), req)
		if end == nil {
			return // the sender has left
		}
		defer end()
		w.Header()["Date"] = nil
		_ = encodeAnswer(w, resp) // the sender sees a failed write as ErrUnreachable
	})
}

// Traffic counts the bytes of message bodies by path. The zero value is ready for use.
type Traffic struct {
	mu     sync.Mutex
	byPath map[string]Count // guarded by mu
}

// Count is the traffic under one path.
type Count struct {
	Calls    int `json:"calls"`
	Sent     int `json:"sent"`     // bytes
	Received int `json:"received"` // bytes
}

func (t *Traffic) add(path string, sent, received int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byPath == nil {
		t.byPath = make(map[string]Count)
	}
	n := t.byPath[path]
	n.Calls++
	n.Sent += sent
	n.Received += received
	t.byPath[path] = n
}

// Counts returns a copy of the traffic so far.
func (t *Traffic) Counts() map[string]Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.byPath)
}
