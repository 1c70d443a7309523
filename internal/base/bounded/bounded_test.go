package bounded

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
)

// endless returns bytes without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

func TestReadAll(t *testing.T) {
	tests := []struct {
		name string
		r    io.Reader
		want error
		n    int
	}{
		{"empty", strings.NewReader(""), nil, 0},
		{"at the limit", strings.NewReader(strings.Repeat("x", 100)), nil, 100},
		{"beyond the limit", strings.NewReader(strings.Repeat("x", 101)), ErrTooLong, 0},
		{"without end", endless{}, ErrTooLong, 0},
		{"broken off", iotest.ErrReader(io.ErrUnexpectedEOF), io.ErrUnexpectedEOF, 0},
	}
	pool, acct := NewPool(1<<20), new(countedBytes)
	for _, tt := range tests {
		if data, err := ReadAll(tt.r, 100); !errors.Is(err, tt.want) || len(data) != tt.n {
			t.Errorf("%s: got %d bytes, %v; want %d, %v", tt.name, len(data), err, tt.n, tt.want)
		}
		if seeker, ok := tt.r.(io.Seeker); ok {
			_, _ = seeker.Seek(0, io.SeekStart)
		}
		if data, err := pool.ReadAll(acct, tt.r, 100); !errors.Is(err, tt.want) || len(data) != tt.n {
			t.Errorf("%s from a pool: got %d bytes, %v; want %d, %v", tt.name, len(data), err, tt.n, tt.want)
		}
	}
}

// Many messages without end must not take more memory than the pool, and must not prevent short ones from being read.
func TestPoolBoundsLongMessages(t *testing.T) {
	const size = 1 << 20
	pool, acct := NewPool(size), new(countedBytes)
	gate := make(chan struct{})
	held := io.MultiReader(io.LimitReader(endless{}, size/2), blockedReader{gate})
	done := make(chan error)
	go func() {
		_, err := pool.ReadAll(acct, held, 8<<20)
		done <- err
	}()
	for pool.free() > size/2 {
	}
	if _, err := pool.ReadAll(acct, endless{}, 8<<20); !errors.Is(err, ErrPoolUsed) {
		t.Errorf("second long message: got %v, want %v", err, ErrPoolUsed)
	}
	if data, err := pool.ReadAll(acct, bytes.NewReader(make([]byte, freeBytes-1)), 8<<20); err != nil || len(data) != freeBytes-1 {
		t.Errorf("short message beside it: got %d bytes, %v; want it whole", len(data), err)
	}
	close(gate)
	if err := <-done; err != nil {
		t.Errorf("first long message: got %v, want no error", err)
	}
	if got := pool.free(); got != size {
		t.Errorf("free bytes at the end: got %d, want %d", got, size)
	}
}

// The bytes of a message must stay taken while it is in use, those of one that failed must be given back, and a message must fail
// when its account has no bytes.
func TestPoolTakesFromAccount(t *testing.T) {
	tests := []struct {
		name string
		r    io.Reader
		most int64 // of the account
		want int64 // taken at the end
		ok   bool
	}{
		{"short", strings.NewReader("short"), 1 << 20, 5, true},
		{"long", bytes.NewReader(make([]byte, 200<<10)), 1 << 20, 200 << 10, true},
		{"broken off", io.MultiReader(bytes.NewReader(make([]byte, 200<<10)), iotest.ErrReader(io.ErrUnexpectedEOF)), 1 << 20, 0, false},
		{"account used up", endless{}, 300 << 10, 0, false},
		{"no room for the joined copy", bytes.NewReader(make([]byte, 200<<10)), 300 << 10, 0, false},
		{"no room at all", strings.NewReader("short"), 1, 0, false},
	}
	for _, tt := range tests {
		pool, acct := NewPool(1<<20), &countedBytes{most: tt.most}
		if _, err := pool.ReadAll(acct, tt.r, 8<<20); (err == nil) != tt.ok || acct.taken.Load() != tt.want {
			t.Errorf("%s: got %d bytes taken, error %v; want %d, success %v", tt.name, acct.taken.Load(), err, tt.want, tt.ok)
		}
		if got, want := pool.free(), int64(1<<20); got != want {
			t.Errorf("%s: free bytes of the pool: got %d, want %d", tt.name, got, want)
		}
	}
}

// countedBytes is an account of most bytes, or without limit if most is 0.
type countedBytes struct {
	most  int64
	taken atomic.Int64
}

func (c *countedBytes) Take(n int64) error {
	if c.most > 0 && c.taken.Load()+n > c.most {
		return errors.New("no bytes are left")
	}
	c.taken.Add(n)
	return nil
}

func (c *countedBytes) Release(n int64) { c.taken.Add(-n) }

func (p *Pool) free() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.left
}

// blockedReader ends when its gate is closed.
type blockedReader struct{ gate chan struct{} }

func (b blockedReader) Read([]byte) (int, error) {
	<-b.gate
	return 0, io.EOF
}

func TestReaderLimitsBytesBetweenResets(t *testing.T) {
	r := NewReader(endless{}, 10)
	buf := make([]byte, 8)
	for range 5 {
		if n, err := r.Read(buf); n != 8 || err != nil {
			t.Fatalf("got %d, %v; want 8 bytes", n, err)
		}
		r.Reset()
	}
	if _, err := io.ReadFull(r, make([]byte, 11)); !errors.Is(err, ErrTooLong) {
		t.Errorf("got %v, want %v", err, ErrTooLong)
	}
}
