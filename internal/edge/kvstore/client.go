// This file defines the client of the platform's service.

package kvstore

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
	"sync"
	"sync/atomic"
	"time"

	"ebonyferry/internal/base/bounded"
	"ebonyferry/internal/base/progress"
)

const (
	defaultTimeout   = 2 * time.Second
	maxStall         = 2 * time.Second // without progress of an answer, whose size grows with the documents
	defaultWatchWait = 5 * time.Second
	// watchSlack is how long the answer to a watch may take beyond its wait.
	watchSlack = 2 * time.Second
	// maxAnswerBytes bounds an answer. It allows a list of many values of the maximum size.
	maxAnswerBytes = 64 << 20
	idleConns      = 16
)

// Client calls the platform's service. It is safe for concurrent use.
type Client struct {
	addrs     []netip.AddrPort
	next      atomic.Uint32 // index of the current address, modulo len(addrs)
	http      *http.Client
	timeout   time.Duration
	watchWait time.Duration
	eras      EraTracker

	mu     sync.Mutex
	counts map[Kind]int // calls sent, by kind; guarded by mu
}

// Option configures a Client.
type Option func(*Client)

// WithHTTPClient sets the HTTP client.
func WithHTTPClient(c *http.Client) Option {
	return func(cl *Client) { cl.http = c }
}

// WithTimeout sets the time within which the answers to calls other than watches must begin.
func WithTimeout(d time.Duration) Option {
	return func(cl *Client) { cl.timeout = d }
}

// WithWatchWait sets how long a watch waits for a change.
func WithWatchWait(d time.Duration) Option {
	return func(cl *Client) { cl.watchWait = d }
}

// New returns a client of the service at addrs. It uses one address until it cannot connect to it.
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
	c.http = bounded.WithoutRedirects(c.http)
	return c
}

// Counts returns the number of calls sent, by kind. A watch counts once per poll.
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

// List returns the entries whose keys begin with prefix, ordered by key, and the store's revision as of the list. A
// watch after that revision misses no change.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, Revision, error) {
	resp, err := c.call(ctx, KindList, c.timeout, Request{Prefix: prefix})
	return resp.Entries, resp.Revision, err
}

// CompareAndSwap writes value under key if the key's revision is expected, where zero means that the key must not
// exist. The key is removed when lease expires, unless lease is zero. CompareAndSwap returns the key's new revision.
// Errors wrap ErrConflict, ErrLeaseExpired, ErrTooLarge, ErrRateLimited or ErrUnavailable, which mean that the write
// did not take effect, or ErrOutcomeUnknown.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (Revision, error) {
	if len(value) > MaxValueBytes {
		return 0, fmt.Errorf("%w: key %q, %d bytes", ErrTooLarge, key, len(value))
	}
	resp, err := c.swap(ctx, KindCAS, Request{Key: key, Expected: expected, Value: value, Lease: lease})
	return resp.Revision, err
}

// Delete removes key if its revision is expected. Errors are those of CompareAndSwap, and ErrNotFound.
func (c *Client) Delete(ctx context.Context, key string, expected Revision) error {
	_, err := c.swap(ctx, KindDelete, Request{Key: key, Expected: expected})
	return err
}

// swap sends a call with an expected revision, of whose era the store must be.
func (c *Client) swap(ctx context.Context, kind Kind, req Request) (Response, error) {
	expected := req.Expected
	if err := c.eras.CheckSwap(expected); err != nil {
		return Response{}, err
	}
	req.Expected = Revision(expected.Number())
	resp, err := c.call(ctx, kind, c.timeout, req)
	if err == nil {
		err = CheckSwapped(expected, resp.Era)
	}
	return resp, err
}

// Watch waits for changes after revision after of keys that begin with prefix. It returns them in order, and the
// revision up to which they are complete. If there is no change during the wait, it returns none. Errors wrap
// ErrCompacted, after which the caller must list again, ErrRateLimited or ErrUnavailable.
func (c *Client) Watch(ctx context.Context, prefix string, after Revision) ([]Change, Revision, error) {
	if err := c.eras.CheckWatch(after); err != nil {
		return nil, 0, err
	}
	req := Request{Prefix: prefix, After: Revision(after.Number()), WaitMs: c.watchWait.Milliseconds()}
	resp, err := c.call(ctx, KindWatch, c.watchWait+watchSlack, req)
	if err == nil {
		err = c.eras.CheckWatch(after)
	}
	if err != nil {
		return nil, 0, err
	}
	return resp.Changes, resp.Revision, nil
}

// Era returns the latest era of the store that an answer named.
func (c *Client) Era() Era { return c.eras.Latest() }

// GrantLease returns a new lease that expires ttl after the store granted it. The holder must count ttl from the time
// before the call.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	resp, err := c.call(ctx, KindGrantLease, c.timeout, Request{TTLMs: ttl.Milliseconds()})
	return resp.Lease, err
}

// KeepAlive renews a lease and returns its time to live, which the holder must count from the time before the call.
// Errors wrap ErrLeaseExpired, ErrRateLimited, ErrUnavailable or ErrOutcomeUnknown.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	resp, err := c.call(ctx, KindKeepAlive, c.timeout, Request{Lease: id})
	return time.Duration(resp.TTLMs) * time.Millisecond, err
}

// RevokeLease ends a lease and removes its keys. Errors are those of KeepAlive.
func (c *Client) RevokeLease(ctx context.Context, id LeaseID) error {
	_, err := c.call(ctx, KindRevokeLease, c.timeout, Request{Lease: id})
	return err
}

// VMs returns the platform's list of VMs, which may be out of date.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	resp, err := c.call(ctx, KindVMs, c.timeout, Request{})
	return resp.VMs, err
}

// call sends one call. If no byte of it was sent to an address, it tries the next one.
func (c *Client) call(ctx context.Context, kind Kind, timeout time.Duration, req Request) (Response, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return Response{}, fmt.Errorf("encoding %s: %w", kind, err)
	}
	if len(c.addrs) == 0 {
		return Response{}, fmt.Errorf("%s: %w: no address is configured", kind, ErrUnavailable)
	}
	ctx, meter := progress.Limit{Start: timeout, Stall: maxStall}.Begin(ctx)
	defer meter.End()
	for range c.addrs {
		index := c.next.Load()
		var sent bool
		var resp Response
		resp, sent, err = c.post(ctx, meter, kind, c.addrs[int(index)%len(c.addrs)], body)
		if err == nil || sent || ctx.Err() != nil {
			return resp, err
		}
		c.next.CompareAndSwap(index, index+1)
	}
	return Response{}, err
}

// post sends one call to one address and reports whether any byte of it may have been sent.
func (c *Client) post(ctx context.Context, meter *progress.Meter, kind Kind, addr netip.AddrPort, body []byte) (Response, bool, error) {
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
		return Response{}, true, noAnswerError(kind, meter.Incomplete(err))
	}
	if err := bounded.CheckStatus(httpResp); err != nil {
		return Response{}, true, noAnswerError(kind, err)
	}
	defer httpResp.Body.Close()
	data, err := bounded.ReadAll(meter.Body(httpResp.Body), maxAnswerBytes)
	if err != nil {
		return Response{}, true, noAnswerError(kind, meter.Incomplete(err))
	}
	if httpResp.StatusCode != http.StatusOK {
		return Response{}, true, decodeFailure(kind, httpResp.StatusCode, data, &c.eras)
	}
	resp, err := decodeResponse(kind, data, &c.eras)
	return resp, true, err
}

// isDialError reports whether err means that no connection could be made.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) count(kind Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[kind]++
}
