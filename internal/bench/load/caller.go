// This file defines a caller: its entry addresses, single HTTP calls, and retries.

package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"ebonyferry/internal/base/pause"
)

const (
	maxAnswerBytes    = 64 << 20
	minEntryTTL       = 100 * time.Millisecond
	entryTimeout      = 2 * time.Second
	headersTimeout    = 20 * time.Second // until a node sends the headers of a stream
	avoidFor          = 2 * time.Second  // how long a failed address is avoided
	regionHeader      = "Ferry-Region"
	idempotencyHeader = "Idempotency-Key"
)

// caller makes calls for one account and caches its entry addresses. It is safe for concurrent use.
type caller struct {
	g       *Generator
	account Account

	mu         sync.Mutex
	entries    []netip.AddrPort             // best first; guarded by mu
	expires    time.Time                    // when entries expire; guarded by mu
	avoidUntil map[netip.AddrPort]time.Time // addresses that failed; guarded by mu
}

func (g *Generator) newCaller(account Account, offset int) *caller {
	n := offset % len(g.initialEntries)
	first := append(slices.Clone(g.initialEntries[n:]), g.initialEntries[:n]...)
	return &caller{g: g, account: account, entries: first, avoidUntil: make(map[netip.AddrPort]time.Time)}
}

// entriesResponse is the response of /v1/entries.
type entriesResponse struct {
	Entries []netip.AddrPort `json:"entries"`
	TTLMs   int64            `json:"ttlMs"`
}

// entry returns the best address that did not fail within avoidFor. If all did, it returns the one that failed
// first.
func (c *caller) entry(ctx context.Context) netip.AddrPort {
	c.mu.Lock()
	stale := time.Now().After(c.expires)
	c.mu.Unlock()
	if stale {
		c.refresh(ctx)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, addr := range c.entries {
		if now.After(c.avoidUntil[addr]) {
			return addr
		}
	}
	c.expires = time.Time{} // all failed: the next call refreshes them
	return slices.MinFunc(c.entries, func(x, y netip.AddrPort) int { return c.avoidUntil[x].Compare(c.avoidUntil[y]) })
}

// markFailed records that an address did not serve a request.
func (c *caller) markFailed(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[addr] = time.Now().Add(avoidFor)
}

// refresh fetches new entry addresses. It tries the current ones and then the initial ones until one answers.
func (c *caller) refresh(ctx context.Context) {
	c.mu.Lock()
	known := append(slices.Clone(c.entries), c.g.initialEntries...)
	c.mu.Unlock()
	tried := make(map[netip.AddrPort]bool)
	for _, addr := range known {
		if tried[addr] || ctx.Err() != nil {
			continue
		}
		tried[addr] = true
		answer, err := c.fetchEntries(ctx, addr)
		if err != nil || len(answer.Entries) == 0 {
			continue
		}
		c.mu.Lock()
		c.entries = answer.Entries
		c.expires = time.Now().Add(max(time.Duration(answer.TTLMs)*time.Millisecond, minEntryTTL))
		c.mu.Unlock()
		return
	}
}

func (c *caller) fetchEntries(ctx context.Context, addr netip.AddrPort) (entriesResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	var answer entriesResponse
	resp, err := c.send(ctx, addr, http.MethodGet, "/v1/entries", nil, nil)
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("entries: %s", resp.Status)
	}
	return answer, json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&answer)
}

// send makes one call and returns when it has received the headers of the answer.
func (c *caller) send(ctx context.Context, addr netip.AddrPort, method, path string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.account.Key)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.g.region != "" {
		req.Header.Set(regionHeader, c.g.region)
	}
	return c.g.httpClient.Do(req)
}

// apiError is the error in an error answer of a node.
type apiError struct {
	Message string `json:"message"`
	Code    string `json:"code"`
	Ferry   *struct {
		NotRun       bool  `json:"notRun"`
		RetryAfterMs int64 `json:"retryAfterMs"`
		Delivered    int   `json:"delivered"`
		Resumable    bool  `json:"resumable"`
	} `json:"ferry"`
}

// errorBody is the wire form of an error answer.
type errorBody struct {
	Error *apiError `json:"error"`
}

// parseError returns the node's error in an answer, or nil if the answer contains no error of the node.
func parseError(data []byte) *apiError {
	var body errorBody
	if json.Unmarshal(data, &body) != nil || body.Error == nil || body.Error.Ferry == nil {
		return nil
	}
	return body.Error
}

func (e *apiError) retryAfter() time.Duration {
	return time.Duration(e.Ferry.RetryAfterMs) * time.Millisecond
}

// codeQuarantined is the code of a refusal that callers do not retry.
const codeQuarantined = "quarantined"

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes.
const (
	Complete   Outcome = "complete"   // the caller received the whole answer
	Refused    Outcome = "refused"    // the last answer was a refusal saying "not run"
	Failed     Outcome = "failed"     // the last answer was another typed error
	Unknown    Outcome = "unknown"    // the node answered that the outcome of a booking is unknown
	Unanswered Outcome = "unanswered" // the caller received no answer in time
)

// ending is how a request ended.
type ending struct {
	outcome Outcome
	detail  string
	// neverRun is true when every attempt was refused as not run.
	neverRun bool
	// receipt is true when a booking was confirmed.
	receipt bool
}

// attempts records how the attempts of one request ended.
type attempts struct {
	refusals   int
	failures   int // attempts that ended in any other way than refused as not run
	lastAPIErr *apiError
	lastErr    error
}

// add records the end of one attempt.
func (a *attempts) add(e *apiError, err error) {
	a.lastAPIErr, a.lastErr = e, err
	if e != nil && e.Ferry.NotRun {
		a.refusals++
		return
	}
	a.failures++
}

// ending returns the ending of a request that did not complete.
func (a *attempts) ending() ending {
	switch {
	case a.lastAPIErr == nil:
		return ending{outcome: Unanswered, detail: fmt.Sprint(a.lastErr)}
	case a.lastAPIErr.Ferry.NotRun:
		return ending{outcome: Refused, detail: a.lastAPIErr.Code, neverRun: a.failures == 0}
	case a.lastAPIErr.Code == "outcomeUnknown":
		return ending{outcome: Unknown, detail: a.lastAPIErr.Message}
	}
	return ending{outcome: Failed, detail: a.lastAPIErr.Code + ": " + a.lastAPIErr.Message}
}

// pause waits before the next attempt: for the node's retry-after time, or else with exponential backoff. It
// returns false when the caller stops retrying.
func (a *attempts) pause(ctx context.Context, g *Generator) bool {
	const first, most = 50 * time.Millisecond, 2 * time.Second
	if a.refusals >= g.maxRefusals || a.lastAPIErr != nil && a.lastAPIErr.Code == codeQuarantined {
		return false
	}
	d := min(first<<min(a.failures+a.refusals, 10), most)
	if a.lastAPIErr != nil && a.lastAPIErr.retryAfter() > 0 {
		d = min(a.lastAPIErr.retryAfter(), most)
	}
	return pause.For(ctx, d)
}
