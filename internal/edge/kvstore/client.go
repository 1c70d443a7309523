package kvstore

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
	"sync"
	"sync/atomic"
	"time"
)

// This file defines the client of the platform's service.

const (
	defaultTimeout   = 2 * time.Second
	defaultWatchWait = 5 * time.Second
	// watchSlack is what a watch's answer may take beyond its wait.
	watchSlack = 2 * time.Second
	// maxAnswerBytes bounds an answer: a list of many values of the largest size.
	maxAnswerBytes = 64 << 20
	idleConns      = 16
)

// Client calls the platform's service. It is safe for concurrent use.
type Client struct {
	addrs     []netip.AddrPort
	next      atomic.Uint32 // index of the address in use, modulo len(addrs)
	http      *http.Client
	timeout   time.Duration
	watchWait time.Duration

	mu     sync.Mutex
	counts map[Kind]int // calls sent by kind; guarded by mu
}

// Option changes a Client.
type Option func(*Client)

// WithHTTPClient sets the transport.
func WithHTTPClient(c *http.Client) Option {
	return func(cl *Client) { cl.http = c }
}

// WithTimeout bounds each call but watches.
func WithTimeout(d time.Duration) Option {
	return func(cl *Client) { cl.timeout = d }
}

// WithWatchWait sets how long one watch waits for a change.
func WithWatchWait(d time.Duration) Option {
	return func(cl *Client) { cl.watchWait = d }
}

// New returns a client of the service at addrs. It stays with one address until that does not answer.
func New(addrs []netip.AddrPort, opts ...Option) *Client {
	c := &Client{
		addrs:     addrs,
		http:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns, DisableCompression: true}},
		timeout:   defaultTimeout,
		watchWait: defaultWatchWait,
		counts:    make(map[Kind]int),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Counts returns the calls sent so far by kind. A watch counts once for each poll.
func (c *Client) Counts() map[Kind]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[Kind]int, len(c.counts))
	for kind, n := range c.counts {
		counts[kind] = n
	}
	return counts
}

// Get returns the entry under key. Errors wrap ErrNotFound, ErrRateLimited or ErrUnavailable.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	resp, err := c.call(ctx, KindGet, c.timeout, Request{Key: key})
	if err != nil {
		return Entry{}, err
	}
	return *resp.Entry, nil
}

// List returns the entries whose keys begin with prefix, in order of key, and the store's revision at which
// the list was taken. A watch after that revision misses nothing.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, Revision, error) {
	resp, err := c.call(ctx, KindList, c.timeout, Request{Prefix: prefix})
	return resp.Entries, resp.Revision, err
}

// CompareAndSwap writes value under key if the key's revision is expected, where zero means that the key must
// not exist. The key goes when lease lapses; lease zero means that it stays. It returns the key's new
// revision. Errors wrap ErrConflict, ErrLeaseExpired, ErrTooLarge, ErrRateLimited or ErrUnavailable, after all
// of which the write surely did not take effect, or ErrOutcomeUnknown.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (Revision, error) {
	if len(value) > MaxValueBytes {
		return 0, fmt.Errorf("%w: key %q, %d bytes", ErrTooLarge, key, len(value))
	}
	resp, err := c.call(ctx, KindCAS, c.timeout, Request{Key: key, Expected: expected, Value: value, Lease: lease})
	return resp.Revision, err
}

// Delete removes key if its revision is expected. Errors are those of CompareAndSwap, and ErrNotFound.
func (c *Client) Delete(ctx context.Context, key string, expected Revision) error {
	_, err := c.call(ctx, KindDelete, c.timeout, Request{Key: key, Expected: expected})
	return err
}

// Watch waits until keys that begin with prefix change after revision after, and returns the changes in order
// and the revision up to which they are complete. After a wait without a change it returns none. Errors wrap
// ErrCompacted, after which the caller lists anew, ErrRateLimited or ErrUnavailable.
func (c *Client) Watch(ctx context.Context, prefix string, after Revision) ([]Change, Revision, error) {
	req := Request{Prefix: prefix, After: after, WaitMs: c.watchWait.Milliseconds()}
	resp, err := c.call(ctx, KindWatch, c.watchWait+watchSlack, req)
	return resp.Changes, resp.Revision, err
}

// GrantLease returns a new lease that lapses ttl after the store granted it. The holder counts from the time
// before the call.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	resp, err := c.call(ctx, KindGrantLease, c.timeout, Request{TTLMs: ttl.Milliseconds()})
	return resp.Lease, err
}

// KeepAlive renews a lease and returns its time to live, which the holder counts from the time before the
// call. Errors wrap ErrLeaseExpired, ErrRateLimited, ErrUnavailable or ErrOutcomeUnknown.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	resp, err := c.call(ctx, KindKeepAlive, c.timeout, Request{Lease: id})
	return time.Duration(resp.TTLMs) * time.Millisecond, err
}

// RevokeLease ends a lease and removes its keys. Errors are those of KeepAlive.
func (c *Client) RevokeLease(ctx context.Context, id LeaseID) error {
	_, err := c.call(ctx, KindRevokeLease, c.timeout, Request{Lease: id})
	return err
}

// VMs returns the platform's list of VMs, which lags behind the truth.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	resp, err := c.call(ctx, KindVMs, c.timeout, Request{})
	return resp.VMs, err
}

// Sends one call. An address that surely did not get the call is left for the next one.
func (c *Client) call(ctx context.Context, kind Kind, timeout time.Duration, req Request) (Response, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return Response{}, fmt.Errorf("encoding %s: %w", kind, err)
	}
	if len(c.addrs) == 0 {
		return Response{}, fmt.Errorf("%s: %w: no address is configured", kind, ErrUnavailable)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for range c.addrs {
		at := c.next.Load()
		var sent bool
		var resp Response
		resp, sent, err = c.post(ctx, kind, c.addrs[int(at)%len(c.addrs)], body)
		if err == nil || sent || ctx.Err() != nil {
			return resp, err
		}
		c.next.CompareAndSwap(at, at+1)
	}
	return Response{}, err
}

// Posts one call to one address and reports whether any byte of it may have been sent.
func (c *Client) post(ctx context.Context, kind Kind, addr netip.AddrPort, body []byte) (Response, bool, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+kind.Path(), bytes.NewReader(body))
	if err != nil {
		return Response{}, false, fmt.Errorf("%s: %w", kind, err)
	}
	r.Header.Set("Content-Type", "application/json")
	c.count(kind)
	httpResp, err := c.http.Do(r)
	if err != nil {
		if !connected.Load() && isDialError(err) {
			return Response{}, false, fmt.Errorf("%s: %w: %w", kind, ErrUnavailable, err)
		}
		return Response{}, true, unsettled(kind, err)
	}
	defer httpResp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(httpResp.Body, maxAnswerBytes))
	if err != nil {
		return Response{}, true, unsettled(kind, err)
	}
	if httpResp.StatusCode != http.StatusOK {
		return Response{}, true, decodeFailure(kind, httpResp.StatusCode, data)
	}
	resp, err := decodeResponse(kind, data)
	return resp, true, err
}

// Reports whether err says that no connection could be made.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) count(kind Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[kind]++
}
