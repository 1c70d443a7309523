package operator

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// This file defines the client of the operators' API.

// ErrNoNode means that no node answered.
var ErrNoNode = errors.New("no node answered")

// maxAnswerBytes bounds an answer: a bundle with its description.
const maxAnswerBytes = 2 * maxBodyBytes

// defaultClientTimeout bounds one request to one node beyond its own waiting.
const defaultClientTimeout = 10 * time.Second

// Client sends signed requests to the first node that answers.
type Client struct {
	addrs    []netip.AddrPort
	scheme   string
	operator string
	key      ed25519.PrivateKey
	http     *http.Client
	timeout  time.Duration
	now      func() time.Time
}

// ClientOption changes a Client.
type ClientOption func(*Client)

// WithHTTPClient sets the HTTP client and the scheme that it is used with.
func WithHTTPClient(c *http.Client, scheme string) ClientOption {
	return func(cl *Client) { cl.http, cl.scheme = c, scheme }
}

// WithTimeout bounds one request to one node.
func WithTimeout(d time.Duration) ClientOption {
	return func(cl *Client) { cl.timeout = d }
}

// NewClient returns a client that signs as operator.
func NewClient(addrs []netip.AddrPort, operator string, key ed25519.PrivateKey, opts ...ClientOption) *Client {
	c := &Client{
		addrs: addrs, scheme: "http", operator: operator, key: key,
		http: &http.Client{}, timeout: defaultClientTimeout, now: time.Now,
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Operator returns the name that the client signs as.
func (c *Client) Operator() string { return c.operator }

// Key returns the key that the client signs with.
func (c *Client) Key() ed25519.PrivateKey { return c.key }

// Get reads path and returns its answer.
func Get[Resp any](ctx context.Context, c *Client, path string) (Resp, error) {
	return decode[Resp](c.send(ctx, http.MethodGet, path, func(bool) ([]byte, error) { return nil, nil }))
}

// Delete deletes path and returns the answer.
func Delete[Resp any](ctx context.Context, c *Client, path string) (Resp, error) {
	return decode[Resp](c.send(ctx, http.MethodDelete, path, func(bool) ([]byte, error) { return nil, nil }))
}

// PostText sends text to path and returns the answer.
func PostText[Resp any](ctx context.Context, c *Client, path string, text []byte) (Resp, error) {
	return decode[Resp](c.send(ctx, http.MethodPost, path, func(bool) ([]byte, error) { return text, nil }))
}

// Post sends v to path and returns the answer.
func Post[Resp any](ctx context.Context, c *Client, path string, v any) (Resp, error) {
	return decode[Resp](c.send(ctx, http.MethodPost, path, func(bool) ([]byte, error) { return json.Marshal(v) }))
}

// ChangeMessage is a request that embeds ChangeOptions.
type ChangeMessage interface{ change() *ChangeOptions }

func (c *ChangeOptions) change() *ChangeOptions { return c }

// PostChange sends a change to path. When the answer is lost it asks the next node, which recognises the
// nonce, so that the change is made once. msg's nonce is filled in when it is empty.
func PostChange[Resp any](ctx context.Context, c *Client, path string, msg ChangeMessage) (Resp, error) {
	if msg.change().Nonce == "" {
		msg.change().Nonce = NewNonce()
	}
	return decode[Resp](c.send(ctx, http.MethodPost, path, func(again bool) ([]byte, error) {
		msg.change().Retry = msg.change().Retry || again
		return json.Marshal(msg)
	}))
}

func decode[Resp any](data []byte, err error) (Resp, error) {
	var resp Resp
	if err != nil {
		return resp, err
	}
	if err := json.Unmarshal(data, &resp); err != nil {
		return resp, fmt.Errorf("reading the answer: %w", err)
	}
	return resp, nil
}

// Sends a request to each node in turn until one answers for good. body is told whether an earlier request
// may have taken effect.
func (c *Client) send(ctx context.Context, method, path string, body func(again bool) ([]byte, error)) ([]byte, error) {
	var errs []error
	again := false
	for _, addr := range c.addrs {
		data, err := body(again)
		if err != nil {
			return nil, fmt.Errorf("encoding the request: %w", err)
		}
		answer, err := c.try(ctx, addr, method, path, data)
		var failure *Failure
		switch {
		case err == nil:
			return answer, nil
		case errors.As(err, &failure) && !failure.elsewhere():
			return nil, err
		case failure == nil || failure.Code == CodeOutcomeUnknown:
			again = true
		}
		errs = append(errs, err)
		if ctx.Err() != nil {
			break
		}
	}
	var failure *Failure
	if errors.As(errors.Join(errs...), &failure) {
		return nil, failure
	}
	return nil, fmt.Errorf("%w: %w", ErrNoNode, errors.Join(errs...))
}

// Reports whether another node may answer better.
func (f *Failure) elsewhere() bool {
	switch f.Code {
	case CodeNotReady, CodeStoreUnavailable, CodeOutcomeUnknown, CodeInternal:
		return true
	}
	return false
}

// Sends one request to one node. The error is a *Failure when the node answered with one.
func (c *Client) try(ctx context.Context, addr netip.AddrPort, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+addr.String()+Prefix+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("node %s: %w", addr, err)
	}
	SignRequest(r, body, c.operator, c.key, c.now())
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, fmt.Errorf("node %s: %w", addr, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, fmt.Errorf("node %s: %w", addr, err)
	}
	if resp.StatusCode == http.StatusOK {
		return data, nil
	}
	failure := new(Failure)
	if err := json.Unmarshal(data, failure); err != nil || failure.Code == "" {
		return nil, fmt.Errorf("node %s answered %s", addr, resp.Status)
	}
	return nil, failure
}
