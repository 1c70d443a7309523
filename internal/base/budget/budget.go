// Package budget bounds the memory and the connections that the clients of a node take together.
//
// A [Budget] is a number of bytes. Each connection has an [Account], which takes bytes for its buffers, for the parsed head
// of its request, for the body as it arrives, and for an answer that is read whole. When bytes are short, the request that
// arrives at the lowest rate is dropped. Requests that have arrived whole are never dropped. [Listener] opens the accounts, and
// [Budget.Handler] charges bodies to them.
package budget

import (
	"errors"
	"sync"
	"time"
)

// ErrShort means that the memory of the node does not suffice for a request. The request was not run unless it had arrived whole.
var ErrShort = errors.New("memory for requests is short")

const (
	// smallBytes is what an account may hold and still use the reserve: a connection and a request without a large head
	// or body.
	smallBytes = 128 << 10
	// reservePart is the divisor of the budget that yields the part that only small accounts may use.
	reservePart = 4
	// rateCredit counts as received in each rate, so that a request that has just begun is not the slowest.
	rateCredit = 4 << 10
	// releaseWait bounds the wait for memory of dropped requests. Their handlers return within milliseconds.
	releaseWait = 2 * time.Second
)

// Cause is why a request or connection was dropped.
type Cause int

// Causes.
const (
	NoMemory      Cause = iota // bytes were short
	NoConnections              // the connections of a listener were at their limit
	causes
)

// String returns the name used in logs.
func (c Cause) String() string { return [causes]string{"memory", "connections"}[c] }

// Budget is a number of bytes that all accounts share. It is safe for concurrent use.
type Budget struct {
	size    int64
	mu      sync.Mutex
	changed *sync.Cond // signaled when used falls or an account is dropped

	// Guarded by mu.
	used     int64
	leaving  int64 // part of used that dropped accounts hold
	accounts map[*Account]struct{}
	drops    [causes]int64
}

// New returns a budget of size bytes.
func New(size int64) *Budget {
	b := &Budget{size: size, accounts: make(map[*Account]struct{})}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// Size returns the size in bytes.
func (b *Budget) Size() int64 { return b.size }

// Used returns the bytes that accounts hold.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Accounts returns the number of open accounts.
func (b *Budget) Accounts() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.accounts)
}

// Drops returns how many requests and connections were dropped for a cause.
func (b *Budget) Drops(c Cause) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.drops[c]
}

// limitFor returns how much may be used after an account has taken n bytes more. It is called with mu held.
func (b *Budget) limitFor(a *Account, n int64) int64 {
	if a.held()+n <= smallBytes {
		return b.size
	}
	return b.size - b.size/reservePart
}

// slowest returns the account with the lowest rate among those that can be dropped. A small request is not dropped for a
// large one. It is called with mu held.
func (b *Budget) slowest(small bool) *Account {
	var found *Account
	var lowest float64
	now := time.Now()
	for a := range b.accounts {
		if a.dropped || a.state != arriving || (!small && a.held() <= smallBytes) {
			continue
		}
		if rate := a.rate(now); found == nil || rate < lowest {
			found, lowest = a, rate
		}
	}
	return found
}

// drop marks an account as dropped. It is called with mu held.
func (b *Budget) drop(a *Account, c Cause) {
	a.dropped = true
	b.leaving += a.held()
	b.drops[c]++
	a.onDrop(c)
	b.changed.Broadcast()
}

// state is the state of an account's request.
type state int

const (
	arriving state = iota // not all of it has arrived, or the connection is new
	whole                 // it has arrived, and its answer is being made
	idle                  // the connection waits for the next request
)

// Account is the part of a budget that one connection holds. Its methods are safe for concurrent use. A nil account
// takes any number of bytes.
type Account struct {
	b      *Budget
	onDrop func(Cause) // ends what the connection is doing; called with b.mu held

	// Guarded by b.mu.
	conn     int64 // bytes for the connection itself
	head     int64 // bytes for the head of the request
	body     int64 // bytes for the rest
	state    state
	received int64     // bytes since began
	began    time.Time // of the request, the connection or the idle time
	dropped  bool
	closed   bool
}

// Open returns a new account that holds n bytes until it is closed, or ErrShort. It does not wait.
func (b *Budget) Open(n int64, onDrop func(Cause)) (*Account, error) {
	a := &Account{b: b, onDrop: onDrop, began: time.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := a.take(&a.conn, n, 0); err != nil {
		return nil, err
	}
	b.accounts[a] = struct{}{}
	return a, nil
}

func (a *Account) held() int64 { return a.conn + a.head + a.body }

// rate returns the bytes received a second. It is called with b.mu held.
func (a *Account) rate(now time.Time) float64 {
	return float64(a.received+rateCredit) / (now.Sub(a.began) + time.Millisecond).Seconds()
}

// Take takes n bytes until the request ends. It may drop slower requests and waits until their memory is free. If the
// account's own request is the slowest, or if none can be dropped, it returns ErrShort.
func (a *Account) Take(n int64) error {
	if a == nil {
		return nil
	}
	a.b.mu.Lock()
	defer a.b.mu.Unlock()
	return a.take(&a.body, n, releaseWait)
}

// take adds n bytes to part. It is called with b.mu held.
func (a *Account) take(part *int64, n int64, wait time.Duration) error {
	b := a.b
	var end time.Time
	for {
		over := b.used + n - b.limitFor(a, n)
		switch {
		case a.dropped || a.closed:
			return ErrShort
		case over <= 0:
			*part += n
			b.used += n
			return nil
		case over > b.leaving:
			slow := b.slowest(a.held()+n <= smallBytes)
			if slow == nil {
				b.drops[NoMemory]++
				return ErrShort
			}
			b.drop(slow, NoMemory)
			continue
		case wait == 0 || (!end.IsZero() && !time.Now().Before(end)):
			return ErrShort
		case end.IsZero():
			end = time.Now().Add(wait)
			timer := time.AfterFunc(wait, b.changed.Broadcast)
			defer timer.Stop()
		}
		b.changed.Wait()
	}
}

// Release returns n of the bytes that Take took.
func (a *Account) Release(n int64) {
	if a == nil {
		return
	}
	a.b.mu.Lock()
	defer a.b.mu.Unlock()
	a.release(&a.body, min(n, a.body))
}

// release is called with b.mu held.
func (a *Account) release(part *int64, n int64) {
	*part -= n
	a.b.used -= n
	if a.dropped {
		a.b.leaving -= n
	}
	a.b.changed.Broadcast()
}

// Dropped reports whether the request was dropped.
func (a *Account) Dropped() bool {
	if a == nil {
		return false
	}
	a.b.mu.Lock()
	defer a.b.mu.Unlock()
	return a.dropped
}

// Keep records that the request has arrived whole, so that it is not dropped any more. It reports false if it was dropped before.
func (a *Account) Keep() bool {
	if a == nil {
		return true
	}
	a.b.mu.Lock()
	defer a.b.mu.Unlock()
	if a.dropped {
		return false
	}
	a.state = whole
	return true
}

// receive records n bytes that arrived and takes cost bytes for them as a part of the head.
func (a *Account) receive(n int, cost int64) error {
	a.b.mu.Lock()
	defer a.b.mu.Unlock()
	if a.state == idle {
		a.state, a.began = arriving, time.Now()
	}
	a.received += int64(n)
	if cost == 0 {
		return nil
	}
	return a.take(&a.head, cost, releaseWait)
}

// endBody returns what the request took by Take.
func (a *Account) endBody() {
	a.b.mu.Lock()
	defer a.b.mu.Unlock()
	a.release(&a.body, a.body)
}

// wait begins the idle time after a request, and returns what the request took.
func (a *Account) wait() {
	a.b.mu.Lock()
	defer a.b.mu.Unlock()
	a.release(&a.body, a.body)
	a.release(&a.head, a.head)
	a.state, a.received, a.began = idle, 0, time.Now()
}

// close returns everything.
func (a *Account) close() {
	b := a.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	a.release(&a.conn, a.conn)
	a.release(&a.head, a.head)
	a.release(&a.body, a.body)
	a.closed = true
	delete(b.accounts, a)
}
