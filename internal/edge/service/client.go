// Package service speaks to plain services.
//
// A service is an ordinary HTTP server. Some of its calls may not be repeated; those carry an idempotency key,
// which the service may or may not honour. This package tells calls that surely were not sent from calls whose
// outcome is unknown, and asks for the outcome of a key where the service supports it.
package service

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"
)

// HeaderIdempotencyKey carries the key of a call that may not be repeated.
const HeaderIdempotencyKey = "Idempotency-Key"

// PathOutcomes is where a service that can be asked by key answers: GET PathOutcomes+key gives an Outcome, or
// 404 when no call with this key has arrived.
const PathOutcomes = "/outcomes/"

// MaxAnswerBytes bounds the body of an answer.
const MaxAnswerBytes = 8 << 20

// Errors of calls, tested with errors.Is.
var (
	// ErrNotSent means that no byte of the call was sent.
	ErrNotSent = errors.New("call was not sent")
	// ErrOutcomeUnknown means that the call may have run and no whole answer came.
	ErrOutcomeUnknown = errors.New("outcome of the call is unknown")
	// ErrNoSuchKey means that no call with the key had arrived when the service was asked. A call still under
	// way may arrive later.
	ErrNoSuchKey = errors.New("service knows no call with this key")
	// ErrOutcomeUnavailable means that the service does not answer by key, or did not answer at all.
	ErrOutcomeUnavailable = errors.New("service cannot be asked by key")
)

// Answer is what a service answered, whatever the status.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Outcome is the wire form of a stored answer.
type Outcome struct {
	Running     bool   `json:"running,omitempty"` // the call has arrived and has not ended
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Call is one call of a service.
type Call struct {
	Method         string
	Path           string // with the query, beginning with "/"
	ContentType    string
	Body           []byte
	IdempotencyKey string // empty for a call that may be repeated
}

// Statuses of a final answer.
const (
	minStatus = 200
	maxStatus = 999
)

const (
	defaultDialTimeout = 500 * time.Millisecond
	maxIdleConns       = 32
	idleConnTimeout    = 30 * time.Second
)

// Client calls services. It is safe for concurrent use.
//
// Invariant: a call with an idempotency key is written to at most one connection, which is made for it. A
// pooled connection is not used, since net/http repeats some requests whose pooled connection was closed, and
// since a connection found closed would make an outcome unknown that need not be.
type Client struct {
	pooled      http.RoundTripper
	single      http.RoundTripper
	dialTimeout time.Duration
}

// Option changes a Client.
type Option func(*Client)

// WithDialTimeout bounds the time to connect.
func WithDialTimeout(d time.Duration) Option {
	return func(c *Client) { c.dialTimeout = d }
}

// New returns a client.
func New(opts ...Option) *Client {
	c := &Client{dialTimeout: defaultDialTimeout}
	for _, opt := range opts {
		opt(c)
	}
	dialer := &net.Dialer{Timeout: c.dialTimeout}
	c.pooled = &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	c.single = &http.Transport{
		DialContext:        dialer.DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	return c
}

// Call makes one call of the service at addr. An answer of any status is an Answer. The error wraps ErrNotSent
// or ErrOutcomeUnknown.
func (c *Client) Call(ctx context.Context, addr netip.AddrPort, call Call) (Answer, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), addr, call)
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	transport := c.pooled
	if call.IdempotencyKey != "" {
		transport = c.single
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		if !connected.Load() {
			return Answer{}, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return Answer{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return readAnswer(resp)
}

func newRequest(ctx context.Context, addr netip.AddrPort, call Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+addr.String()+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	if call.IdempotencyKey != "" {
		req.Header.Set(HeaderIdempotencyKey, call.IdempotencyKey)
		req.GetBody = nil // without it the transport cannot send the body a second time
	}
	return req, nil
}

// Reads a whole answer. One that breaks off or is too large leaves the outcome unknown.
func readAnswer(resp *http.Response) (Answer, error) {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err != nil {
		return Answer{}, fmt.Errorf("%w: reading the answer: %w", ErrOutcomeUnknown, err)
	}
	if len(body) > MaxAnswerBytes {
		return Answer{}, fmt.Errorf("%w: answer is longer than %d bytes", ErrOutcomeUnknown, MaxAnswerBytes)
	}
	return Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// FetchOutcome returns the stored answer to the call with the given key. Its error wraps ErrNoSuchKey,
// ErrOutcomeUnknown while the call runs, or ErrOutcomeUnavailable.
func (c *Client) FetchOutcome(ctx context.Context, addr netip.AddrPort, key string) (Answer, error) {
	reply, err := c.Call(ctx, addr, Call{Method: http.MethodGet, Path: PathOutcomes + url.PathEscape(key)})
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrOutcomeUnavailable, err)
	}
	switch reply.Status {
	case http.StatusOK:
	case http.StatusNotFound:
		return Answer{}, fmt.Errorf("%w: %q", ErrNoSuchKey, key)
	default:
		return Answer{}, fmt.Errorf("%w: it answered with status %d", ErrOutcomeUnavailable, reply.Status)
	}
	var out Outcome
	if err := json.Unmarshal(reply.Body, &out); err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrOutcomeUnavailable, err)
	}
	if out.Running {
		return Answer{}, fmt.Errorf("%w: the call with key %q is running", ErrOutcomeUnknown, key)
	}
	if out.Status < minStatus || out.Status > maxStatus {
		return Answer{}, fmt.Errorf("%w: its answer is no outcome: status %d", ErrOutcomeUnavailable, out.Status)
	}
	return Answer{Status: out.Status, ContentType: out.ContentType, Body: out.Body}, nil
}
