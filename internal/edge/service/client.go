// Package service provides a client for plain services.
//
// A service is an ordinary HTTP server. Calls that may not be repeated carry an idempotency key, which the service may
// or may not honor. The errors of [Client.Call] distinguish calls that were not sent from calls whose outcome is
// unknown. [Client.FetchOutcome] asks for the outcome of the call with a key, if the service supports that.
package service

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
	"sync/atomic"
	"time"

	"ebonyferry/internal/base/bounded"
	"ebonyferry/internal/base/orderly"
)

// HeaderIdempotencyKey carries the key of a call that may not be repeated.
const HeaderIdempotencyKey = "Idempotency-Key"

// PathOutcomes is the path at which services report outcomes, if they support it. GET PathOutcomes+key returns an
// Outcome, or status 404 if no call with this key has arrived.
const PathOutcomes = "/outcomes/"

// MaxAnswerBytes bounds the body of an answer.
const MaxAnswerBytes = 8 << 20

// Errors of calls, to be tested with errors.Is.
var (
	// ErrNotSent means that no byte of the call was sent.
	ErrNotSent = errors.New("call was not sent")
	// ErrOutcomeUnknown means that the call may have run, and that no complete answer arrived.
	ErrOutcomeUnknown = errors.New("outcome of the call is unknown")
	// ErrNoSuchKey means that no call with the key had arrived at the service yet. A call in transit may arrive
	// later.
	ErrNoSuchKey = errors.New("service knows no call with this key")
	// ErrOutcomeUnavailable means that the service does not report outcomes or did not answer.
	ErrOutcomeUnavailable = errors.New("service cannot be asked by key")
)

// Answer is the answer of a service, with any final status.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Outcome is the wire form of the stored answer to a call.
type Outcome struct {
	Running     bool   `json:"running,omitempty"` // the call has arrived and is still running
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Call is one call to a service.
type Call struct {
	Method         string
	Path           string // includes the query; begins with "/"
	ContentType    string
	Body           []byte
	IdempotencyKey string // empty for a call that may be repeated
}

const (
	defaultDialTimeout = 500 * time.Millisecond
	// maxHeadBytes bounds the status line and the headers of an answer.
	maxHeadBytes = 32 << 10
)

// Client calls services. It is safe for concurrent use.
//
// Each call uses a new connection and is written only to that one, for three reasons. Answers of services do not name
// their call, so a second copy of an answer that arrives late on a connection in use again would be taken for the answer
// to the next call. net/http retries some requests when their pooled connection was closed. A call on a connection that
// the peer has already closed would needlessly end with an unknown outcome.
type Client struct {
	transport   http.RoundTripper
	dialTimeout time.Duration
}

// Option configures a Client.
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
	c.transport = &http.Transport{
		DialContext:            orderly.Dial(dialer.DialContext),
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return c
}

// Call makes one call to the service at addr. Answers with any final status are returned as an Answer. The error wraps
// ErrNotSent or ErrOutcomeUnknown.
func (c *Client) Call(ctx context.Context, addr netip.AddrPort, call Call) (Answer, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), addr, call)
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		if !connected.Load() {
			return Answer{}, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return Answer{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if err := bounded.CheckStatus(resp); err != nil {
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
		req.GetBody = nil // prevents the transport from sending the body again
	}
	return req, nil
}

// readAnswer reads a complete answer. If it breaks off or is too large, the outcome is unknown.
func readAnswer(resp *http.Response) (Answer, error) {
	defer resp.Body.Close()
	body, err := bounded.ReadAll(resp.Body, MaxAnswerBytes)
	if err != nil {
		return Answer{}, fmt.Errorf("%w: reading the answer: %w", ErrOutcomeUnknown, err)
	}
	return Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// FetchOutcome returns the stored answer to the call with the given key. The error wraps ErrNoSuchKey,
// ErrOutcomeUnknown while the call is running, or ErrOutcomeUnavailable.
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
	if !bounded.IsFinal(out.Status) {
		return Answer{}, fmt.Errorf("%w: its answer is no outcome: status %d", ErrOutcomeUnavailable, out.Status)
	}
	return Answer{Status: out.Status, ContentType: out.ContentType, Body: out.Body}, nil
}
