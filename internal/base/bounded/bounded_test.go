package bounded

import (
	"bytes"
	"errors"
	"io"
	"strings"
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
	pool := NewPool(1 << 20)
	for _, tt := range tests {
		if data, err := ReadAll(tt.r, 100); !errors.Is(err, tt.want) || len(data) != tt.n {
			t.Errorf("%s: got %d bytes, %v; want %d, %v", tt.name, len(data), err, tt.n, tt.want)
		}
		if seeker, ok := tt.r.(io.Seeker); ok {
			_, _ = seeker.Seek(0, io.SeekStart)
		}
		if data, err := pool.ReadAll(tt.r, 100); !errors.Is(err, tt.want) || len(data) != tt.n {
			t.Errorf("%s from a pool: got %d bytes, %v; want %d, %v", tt.name, len(data), err, tt.n, tt.want)
		}
	}
}

// Many messages without end must not take more memory than the pool, and must not prevent short ones from being read.
func TestPoolBoundsLongMessages(t *testing.T) {
	const size = 1 << 20
	pool := NewPool(size)
	gate := make(chan struct{})
	held := io.MultiReader(io.LimitReader(endless{}, size/2), blockedReader{gate})
	done := make(chan error)
	go func() {
		_, err := pool.ReadAll(held, 8<<20)
		done <- err
	}()
	for pool.free() > size/2 {
	}
	if _, err := pool.ReadAll(endless{}, 8<<20); !errors.Is(err, ErrPoolUsed) {
		t.Errorf("second long message: got %v, want %v", err, ErrPoolUsed)
	}
	if data, err := pool.ReadAll(bytes.NewReader(make([]byte, freeBytes-1)), 8<<20); err != nil || len(data) != freeBytes-1 {
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
