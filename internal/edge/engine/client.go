// This file defines the client of one engine.

package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"ebonyferry/internal/base/bounded"
	"ebonyferry/internal/base/orderly"
)

const (
	defaultDialTimeout = 500 * time.Millisecond
	maxIdleConns       = 64
	idleConnTimeout    = 30 * time.Second
	maxAnswerBytes     = 4 << 20
	maxHeadBytes       = 32 << 10 // status line and headers of an answer
)

// Client calls one engine. It is safe for concurrent use.
type Client struct {
	addr        netip.AddrPort
	base        string
	http        *http.Client
	dialTimeout time.Duration
}

// Option configures a Client.
type Option func(*Client)

// WithHTTPClient sets the HTTP client, whose redirects are not followed. It must not limit the time of a complete answer,
// because streams take long.
func WithHTTPClient(h *http.Client) Option {
	return func(c *Client) { c.http = h }
}

// WithDialTimeout bounds the time to connect. It has no effect if WithHTTPClient is used.
func WithDialTimeout(d time.Duration) Option {
	return func(c *Client) { c.dialTimeout = d }
}

// New returns a client of the engine at addr.
func New(addr netip.AddrPort, opts ...Option) *Client {
	c := &Client{addr: addr, base: "http://" + addr.String(), dialTimeout: defaultDialTimeout}
	for _, opt := range opts {
		opt(c)
	}
	if c.http == nil {
		dialer := &net.Dialer{Timeout: c.dialTimeout}
		c.http = &http.Client{Transport: &http.Transport{
			DialContext:         orderly.Dial(dialer.DialContext),
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
			// The status line and the headers of a faulty engine may have no end.
			MaxResponseHeaderBytes: maxHeadBytes,
		}}
	}
	c.http = bounded.WithoutRedirects(c.http)
	return c
}

// Addr returns the address of the engine.
func (c *Client) Addr() netip.AddrPort { return c.addr }

// Close closes idle connections. Calls in progress continue.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Generate starts a generation and returns its stream from index 0. The error wraps ErrNotRun if the generation did not
// start. After any other error it may be running.
func (c *Client) Generate(ctx context.Context, req GenerateRequest) (*Stream, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("%w: encoding the request: %w", ErrNotRun, err)
	}
	return c.stream(ctx, http.MethodPost, PathGenerate, body, req.Generation, 0)
}

// Resume returns the stream of a generation from index on. The error wraps ErrUnknownGeneration if the engine does not
// hold the generation.
func (c *Client) Resume(ctx context.Context, generation string, index int) (*Stream, error) {
	path := PathGenerations + url.PathEscape(generation) + "?index=" + strconv.Itoa(index)
	return c.stream(ctx, http.MethodGet, path, nil, generation, index)
}

// Cancel ends a generation. It is not an error if the engine does not hold it.
func (c *Client) Cancel(ctx context.Context, generation string) error {
	err := c.call(ctx, http.MethodDelete, PathGenerations+url.PathEscape(generation), nil, nil)
	if errors.Is(err, ErrUnknownGeneration) {
		return nil
	}
	return err
}

// Load returns the engine's latest load report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	err := c.call(ctx, http.MethodGet, PathLoad, nil, &load)
	return load, err
}

// CacheEvents returns the cache events whose Seq is greater than after, in order. It waits until there are any, and
// returns none if the engine ends the wait.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	var events CacheEvents
	err := c.call(ctx, http.MethodGet, PathCacheEvents+"?after="+strconv.FormatUint(after, 10), nil, &events)
	return events.Events, err
}

// Order sends an order. The error wraps ErrStaleFence if the engine has seen a newer fencing number.
func (c *Client) Order(ctx context.Context, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("encoding the order: %w", err)
	}
	return c.call(ctx, http.MethodPost, PathOrders, body, nil)
}

// stream starts a stream whose first token must have the given index.
func (c *Client) stream(ctx context.Context, method, path string, body []byte, generation string, index int) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	resp, err := c.send(ctx, method, path, body)
	if err != nil {
		cancel()
		return nil, err
	}
	return newStream(resp, cancel, generation, index), nil
}

// call makes one call and decodes its answer into answer, unless that is nil.
func (c *Client) call(ctx context.Context, method, path string, body []byte, answer any) error {
	resp, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := bounded.ReadAll(resp.Body, maxAnswerBytes)
	if err != nil {
		return fmt.Errorf("reading the answer to %s %s: %w", method, path, err)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return fmt.Errorf("answer to %s %s: %w", method, path, err)
	}
	return nil
}

// reportPaths are the paths of reports, which are read often and on kept connections. Every other request uses its own
// connection: an engine that sends a second copy of an answer late, on a connection in use again, would otherwise answer
// the next request with it, and a copy of a refusal would say that a generation that runs has not run.
var reportPaths = map[string]bool{PathLoad: true}

// send sends a request and returns a successful answer. The error wraps ErrNotRun if no connection was made, because
// then no byte was sent, or if the engine said that it did not run the request.
func (c *Client) send(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	// net/http retries a POST only if no byte of it was written to a pooled connection. The last attempt therefore
	// shows whether the engine may have received it.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GetConn: func(string) { connected.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	req.Close = !reportPaths[path]
	resp, err := c.http.Do(req)
	if err != nil {
		if !connected.Load() {
			return nil, fmt.Errorf("%w: %w", ErrNotRun, err)
		}
		return nil, fmt.Errorf("engine did not answer: %w", err)
	}
	if err := bounded.CheckStatus(resp); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFailed, err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, answerError(resp)
}

// answerError returns the error of an unsuccessful answer.
func answerError(resp *http.Response) error {
	var body ErrorBody
	data, err := bounded.ReadAll(resp.Body, maxAnswerBytes)
	if err == nil {
		err = json.Unmarshal(data, &body)
	}
	if err != nil {
		return fmt.Errorf("%w: it answered %s", ErrFailed, resp.Status)
	}
	answer := fmt.Errorf("engine answered %s: %s", resp.Status, body.Message)
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return fmt.Errorf("%w: %w", ErrUnknownGeneration, answer)
	case body.StaleFence:
		return fmt.Errorf("%w: %w", ErrStaleFence, answer)
	case body.NotRun && body.Overloaded:
		return fmt.Errorf("%w: %w: %w", ErrNotRun, ErrOverloaded, answer)
	case body.NotRun:
		return fmt.Errorf("%w: %w", ErrNotRun, answer)
	}
	return fmt.Errorf("%w: %w", ErrFailed, answer)
}
