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

// This file defines a caller: its entry addresses and single HTTP calls.

const (
	maxAnswerBytes  = 64 << 20
	minEntryTTL     = 100 * time.Millisecond
	entryTimeout    = 2 * time.Second
	headersTimeout  = 20 * time.Second // for a node to begin its answer
	avoidFor        = 2 * time.Second  // an address that failed
	regionHeader    = "Ferry-Region"
	idempotencyName = "Idempotency-Key"
)

// caller keeps an answer about entry addresses and makes calls for one account. It is safe for concurrent use.
type caller struct {
	g       *Generator
	account Account

	mu      sync.Mutex
	entries []netip.AddrPort             // best first; guarded by mu
	until   time.Time                    // how long entries may be kept; guarded by mu
	avoid   map[netip.AddrPort]time.Time // until when; guarded by mu
}

func (g *Generator) newCaller(account Account, offset int) *caller {
	n := offset % len(g.seeds)
	first := append(slices.Clone(g.seeds[n:]), g.seeds[:n]...)
	return &caller{g: g, account: account, entries: first, avoid: make(map[netip.AddrPort]time.Time)}
}

// entryAnswer is the answer of /v1/entries.
type entryAnswer struct {
	Entries []netip.AddrPort `json:"entries"`
	TTLMs   int64            `json:"ttlMs"`
}

// entry returns the address to use: the best one that did not fail lately.
func (c *caller) entry(ctx context.Context) netip.AddrPort {
	c.mu.Lock()
	stale := time.Now().After(c.until)
	c.mu.Unlock()
	if stale {
		c.refresh(ctx)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, addr := range c.entries {
		if now.After(c.avoid[addr]) {
			return addr
		}
	}
	c.until = time.Time{} // all failed; ask again next time
	return slices.MinFunc(c.entries, func(x, y netip.AddrPort) int { return c.avoid[x].Compare(c.avoid[y]) })
}

// failed notes that an address did not serve a request.
func (c *caller) failed(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoid[addr] = time.Now().Add(avoidFor)
}

// Asks the addresses known, old ones and first contacts, for newer ones, until one answers.
func (c *caller) refresh(ctx context.Context) {
	c.mu.Lock()
	known := append(slices.Clone(c.entries), c.g.seeds...)
	c.mu.Unlock()
	asked := make(map[netip.AddrPort]bool)
	for _, addr := range known {
		if asked[addr] || ctx.Err() != nil {
			continue
		}
		asked[addr] = true
		answer, err := c.askEntries(ctx, addr)
		if err != nil || len(answer.Entries) == 0 {
			continue
		}
		c.mu.Lock()
		c.entries = answer.Entries
		c.until = time.Now().Add(max(time.Duration(answer.TTLMs)*time.Millisecond, minEntryTTL))
		c.mu.Unlock()
		return
	}
}

func (c *caller) askEntries(ctx context.Context, addr netip.AddrPort) (entryAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	var answer entryAnswer
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

// send makes one call and returns when the answer has begun.
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
	return c.g.http.Do(req)
}

// apiError is an error answer of a node.
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

// parseError returns the node's error in an answer, or nil when the answer is none of the node's errors.
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

// codeQuarantined is the code of a refusal that asking again does not help.
const codeQuarantined = "quarantined"

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes.
const (
	Complete   Outcome = "complete"   // the whole answer came
	Refused    Outcome = "refused"    // the last answer was a refusal saying "not run"
	Failed     Outcome = "failed"     // the last answer was another typed error
	Unknown    Outcome = "unknown"    // the node said that the outcome of a booking is unknown
	Unanswered Outcome = "unanswered" // no answer came while the caller waited
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

// attempts keeps what a caller learned over the attempts of one request.
type attempts struct {
	refusals int
	others   int // attempts that ended otherwise than refused as not run
	last     *apiError
	lastErr  error
}

// note takes in the end of one attempt.
func (a *attempts) note(e *apiError, err error) {
	a.last, a.lastErr = e, err
	if e != nil && e.Ferry.NotRun {
		a.refusals++
		return
	}
	a.others++
}

// end returns the ending of a request that did not complete.
func (a *attempts) end() ending {
	switch {
	case a.last == nil:
		return ending{outcome: Unanswered, detail: fmt.Sprint(a.lastErr)}
	case a.last.Ferry.NotRun:
		return ending{outcome: Refused, detail: a.last.Code, neverRun: a.others == 0}
	case a.last.Code == "outcomeUnknown":
		return ending{outcome: Unknown, detail: a.last.Message}
	}
	return ending{outcome: Failed, detail: a.last.Code + ": " + a.last.Message}
}

// pause waits before the next attempt: as long as the node said, else a little longer each time. It returns
// false when the caller gives up.
func (a *attempts) pause(ctx context.Context, g *Generator) bool {
	const first, most = 50 * time.Millisecond, 2 * time.Second
	if a.refusals >= g.refusals || a.last != nil && a.last.Code == codeQuarantined {
		return false
	}
	d := min(first<<min(a.others+a.refusals, 10), most)
	if a.last != nil && a.last.retryAfter() > 0 {
		d = min(a.last.retryAfter(), most)
	}
	return pause.For(ctx, d)
}
