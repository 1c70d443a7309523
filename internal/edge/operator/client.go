// This file implements the client of the operators' API.

package operator

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"ebonyferry/internal/base/bounded"
)

// ErrNoNode means that no node answered.
var ErrNoNode = errors.New("no node answered")

// maxAnswerBytes limits an answer. The largest is a bundle with its description.
const maxAnswerBytes = 2 * maxBodyBytes

// defaultClientTimeout limits one request to one node, including the time that the node waits before it answers.
const defaultClientTimeout = 10 * time.Second

// minUploadRate is the rate of an operator's line, in bytes per second, at which the body of a request does not use up the timeout.
const minUploadRate = 16 << 10

// Client sends signed requests to nodes, trying them in order until one answers.
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

// WithHTTPClient sets the HTTP client and the URL scheme to use with it.
func WithHTTPClient(c *http.Client, scheme string) ClientOption {
	return func(cl *Client) { cl.http, cl.scheme = c, scheme }
}

// WithTimeout limits one request to one node, including the time that the node waits before it answers. The time that its body needs at
// minUploadRate is added.
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
	c.http = bounded.WithoutRedirects(c.http)
	return c
}

// Operator returns the name that the client signs as.
func (c *Client) Operator() string { return c.operator }

// Key returns the key that the client signs with.
func (c *Client) Key() ed25519.PrivateKey { return c.key }

// Get reads path and returns the answer.
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
type ChangeMessage interface{ options() *ChangeOptions }

func (c *ChangeOptions) options() *ChangeOptions { return c }

// PostChange sends a change to path. If the answer is lost, it sends the change to the next node, which recognises
// the nonce, so the change is made only once. An empty nonce in msg is filled in.
func PostChange[Resp any](ctx context.Context, c *Client, path string, msg ChangeMessage) (Resp, error) {
	if msg.options().Nonce == "" {
		msg.options().Nonce = NewNonce()
	}
	return decode[Resp](c.send(ctx, http.MethodPost, path, func(retry bool) ([]byte, error) {
		msg.options().Retry = msg.options().Retry || retry
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

// send sends a request to each node in turn until one answers with success or with a failure that is not retryable.
// The argument of body says whether an earlier request may have taken effect.
func (c *Client) send(ctx context.Context, method, path string, body func(retry bool) ([]byte, error)) ([]byte, error) {
	var errs []error
	retry := false
	for _, addr := range c.addrs {
		data, err := body(retry)
		if err != nil {
			return nil, fmt.Errorf("encoding the request: %w", err)
		}
		answer, err := c.sendTo(ctx, addr, method, path, data)
		var failure *Failure
		switch {
		case err == nil:
			return answer, nil
		case errors.As(err, &failure) && !failure.retryable():
			return nil, err
		case failure == nil || failure.Code == CodeOutcomeUnknown:
			retry = true
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

// retryable reports whether another node may answer the request differently.
func (f *Failure) retryable() bool {
	switch f.Code {
	case CodeNotReady, CodeStoreUnavailable, CodeOutcomeUnknown, CodeInternal:
		return true
	}
	return false
}

// sendTo sends one request to one node. The error is a *Failure if the node answered with one.
func (c *Client) sendTo(ctx context.Context, addr netip.AddrPort, method, path string, body []byte) ([]byte, error) {
	upload := time.Duration(len(body)) * time.Second / minUploadRate
	ctx, cancel := context.WithTimeout(ctx, c.timeout+upload)
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
	if err := bounded.CheckStatus(resp); err != nil {
		return nil, fmt.Errorf("node %s: %w", addr, err)
	}
	defer resp.Body.Close()
	data, err := bounded.ReadAll(resp.Body, maxAnswerBytes)
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
