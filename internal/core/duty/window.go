package duty

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Windows are the windows of usage: window k begins k times the length after the start of 1970.
type Windows struct{ Length time.Duration }

// At returns the window of a time.
func (w Windows) At(t time.Time) uint64 { return uint64(max(0, t.UnixNano()) / int64(w.Length)) }

// Start returns the beginning of a window.
func (w Windows) Start(k uint64) time.Time { return time.Unix(0, int64(k)*int64(w.Length)) }

// End returns the end of a window.
func (w Windows) End(k uint64) time.Time { return w.Start(k + 1) }

// Counts are numbers of requests by client account.
type Counts map[string]int

const (
	// MaxAge is the age from which the counts of a window are neither kept nor accepted, from the start of the window.
	MaxAge = time.Minute
	// maxAhead is how far ahead of this node's clock a window may begin: clocks of nodes agree within about 100 ms.
	maxAhead = 2 * time.Second
	// maxAccounts bounds the accounts in the counts of one window: about twice those of the largest deployment.
	maxAccounts = 10_000
)

// ErrMalformed means that counts are not valid.
var ErrMalformed = errors.New("malformed counts")

// Counter counts the requests of one node that began to run. It is not safe for concurrent use.
type Counter struct {
	windows map[uint64]*countedWindow
	changes uint64 // number of changes so far
}

type countedWindow struct {
	counts    Counts
	changedAt uint64 // value of Counter.changes after the last change
}

// NewCounter returns an empty counter.
func NewCounter() *Counter { return &Counter{windows: make(map[uint64]*countedWindow)} }

// Add counts a request of an account.
func (c *Counter) Add(window uint64, account string) {
	w := c.windows[window]
	if w == nil {
		w = &countedWindow{counts: make(Counts)}
		c.windows[window] = w
	}
	c.changes++
	w.counts[account]++
	w.changedAt = c.changes
}

// Since returns copies of the windows that changed after a number of changes, and the present number.
func (c *Counter) Since(changes uint64) (map[uint64]Counts, uint64) {
	var list map[uint64]Counts
	for k, w := range c.windows {
		if w.changedAt > changes {
			if list == nil {
				list = make(map[uint64]Counts)
			}
			list[k] = maps.Clone(w.counts)
		}
	}
	return list, c.changes
}

// Forget drops the windows before one.
func (c *Counter) Forget(before uint64) {
	maps.DeleteFunc(c.windows, func(k uint64, _ *countedWindow) bool { return k < before })
}

// Source is one process of a node. A node that starts again is another source, so nothing that it counted before is lost or counted twice.
type Source struct {
	Node  string `json:"node"`
	Nonce string `json:"nonce"`
}

// Row is what one source counted.
type Row struct {
	Source
	Through time.Time         `json:"through"` // the counts are complete up to it
	Windows map[uint64]Counts `json:"windows,omitempty"`
}

// check returns an error that wraps ErrMalformed if a row is not valid.
func (r Row) check() error {
	if r.Node == "" || r.Nonce == "" {
		return fmt.Errorf("%w: node %q and nonce %q must not be empty", ErrMalformed, r.Node, r.Nonce)
	}
	for k, counts := range r.Windows {
		if len(counts) > maxAccounts {
			return fmt.Errorf("%w: window %d has %d accounts, and at most %d are allowed", ErrMalformed, k, len(counts), maxAccounts)
		}
		for account, n := range counts {
			if account == "" || n < 0 {
				return fmt.Errorf("%w: window %d: %d requests of account %q", ErrMalformed, k, n, account)
			}
		}
	}
	return nil
}

// Table holds the counts of all nodes. Counts of a source only grow, so a message that is repeated or overtaken changes nothing. It is not
// safe for concurrent use.
type Table struct {
	windows Windows
	since   time.Time // when the table was empty
	first   uint64    // the first window that a source named or reported about
	sources map[Source]*Row
}

// NewTable returns an empty table.
func NewTable(w Windows, now time.Time) *Table {
	return &Table{windows: w, since: now, sources: make(map[Source]*Row)}
}

// Merge adds what a source counted. Windows that are too old or in the future are not added, and returned. The error wraps ErrMalformed; then
// nothing was added.
func (t *Table) Merge(row Row, now time.Time) (rejected []uint64, err error) {
	if err := row.check(); err != nil {
		return nil, err
	}
	if row.Through.After(now.Add(maxAhead)) {
		return nil, fmt.Errorf("%w: complete up to %v, which is in the future", ErrMalformed, row.Through)
	}
	held := t.sources[row.Source]
	if held == nil {
		held = &Row{Source: row.Source, Windows: make(map[uint64]Counts)}
		t.sources[row.Source] = held
	}
	if row.Through.After(held.Through) {
		held.Through = row.Through
	}
	t.note(t.windows.At(row.Through))
	for k, counts := range row.Windows {
		if start := t.windows.Start(k); now.Sub(start) > MaxAge || start.Sub(now) > maxAhead {
			rejected = append(rejected, k)
			continue
		}
		t.note(k)
		if held.Windows[k] == nil {
			held.Windows[k] = make(Counts, len(counts))
		}
		for account, n := range counts {
			held.Windows[k][account] = max(n, held.Windows[k][account])
		}
	}
	slices.Sort(rejected)
	return rejected, nil
}

// note records that a source named a window.
func (t *Table) note(window uint64) {
	if t.first == 0 || window < t.first {
		t.first = window
	}
}

// First returns the first window that a source reported about, or 0 if there was none.
func (t *Table) First() uint64 { return t.first }

// Sum returns the counts of a window over all sources.
func (t *Table) Sum(window uint64) Counts {
	sum := make(Counts)
	for _, row := range t.sources {
		for account, n := range row.Windows[window] {
			sum[account] += n
		}
	}
	return sum
}

// Rows returns copies of what the sources counted in the windows from one on.
func (t *Table) Rows(from uint64) []Row {
	list := make([]Row, 0, len(t.sources))
	for _, row := range t.sources {
		out := Row{Source: row.Source, Through: row.Through, Windows: make(map[uint64]Counts)}
		for k, counts := range row.Windows {
			if k >= from {
				out.Windows[k] = maps.Clone(counts)
			}
		}
		list = append(list, out)
	}
	return list
}

// Forget drops what is older than MaxAge.
func (t *Table) Forget(now time.Time) {
	before := t.windows.At(now.Add(-MaxAge))
	for src, row := range t.sources {
		maps.DeleteFunc(row.Windows, func(k uint64, _ Counts) bool { return k < before })
		if now.Sub(row.Through) > MaxAge {
			delete(t.sources, src)
		}
	}
}

// Coverage says how complete the counts of a window are.
type Coverage struct {
	Reported []string // nodes whose counts are complete, sorted
	Missing  []string // the other ones of the expected nodes, sorted
	Share    float64  // estimated share of the window's requests that is missing, from 0 to 1
}

// silentNodesAge is the age of a table from which a node that never sent anything counts as one that does not count usage. All nodes that
// count send at least once in a window, and send everything to a node that has started again.
const silentNodesAge = 15 * time.Second

// Coverage returns how complete the counts of a window are if requests of some nodes are expected. Each node is taken to go on as it did
// in the last minute after the time up to which its counts are complete; a node without a count as the mean of the others.
func (t *Table) Coverage(window uint64, nodes []string, now time.Time) Coverage {
	end := t.windows.End(window)
	through := make(map[string]time.Time)
	counted := make(map[string]int) // requests in the last minute
	total := 0
	for src, row := range t.sources {
		if row.Through.After(through[src.Node]) {
			through[src.Node] = row.Through
		}
		for _, counts := range row.Windows {
			for _, n := range counts {
				counted[src.Node] += n
				total += n
			}
		}
	}
	var c Coverage
	missing := 0.0
	span := min(MaxAge, max(t.windows.Length, now.Sub(t.windows.Start(t.first))))
	for _, name := range nodes {
		at, known := through[name]
		if known && !at.Before(end) {
			c.Reported = append(c.Reported, name)
			continue
		}
		c.Missing = append(c.Missing, name)
		switch {
		case known:
			uncovered := min(t.windows.Length, end.Sub(at))
			missing += float64(counted[name]) * float64(uncovered) / float64(span)
		case now.Sub(t.since) < silentNodesAge && len(counted) == 0:
			missing++
		case now.Sub(t.since) < silentNodesAge:
			missing += float64(total) / float64(len(counted)) * float64(t.windows.Length) / float64(span)
		}
	}
	sum := 0
	for _, n := range t.Sum(window) {
		sum += n
	}
	if missing > 0 {
		c.Share = missing / (missing + float64(sum))
	}
	slices.Sort(c.Reported)
	slices.Sort(c.Missing)
	return c
}
