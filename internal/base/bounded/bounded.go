// Package bounded reads what peers send without trusting them to stop.
//
// A faulty peer may send bytes without end. [ReadAll] reads a whole message and fails if it is longer than its limit,
// instead of returning its beginning. A [Pool] bounds the bytes of all messages that are being read at a time. A
// [Reader] bounds the bytes between two points of a stream. [CheckStatus] tells final answers of HTTP from those whose
// bodies no context ends, and [WithoutRedirects] keeps a peer from naming another one.
package bounded

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
)

// Errors of this package, to be tested with errors.Is.
var (
	// ErrTooLong means that a message is longer than its limit.
	ErrTooLong = errors.New("message is too long")
	// ErrPoolUsed means that the messages being read take all bytes of their pool.
	ErrPoolUsed = errors.New("too many long messages at a time")
)

// ReadAll reads r to its end. It fails with ErrTooLong if that is after more than limit bytes.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("%w: over %d bytes", ErrTooLong, limit)
	}
	return data, nil
}

// freeBytes is the length below which a message takes no bytes of a pool, so that a few long messages do not prevent
// short ones from being read. Longer ones are read in blocks of this length.
const freeBytes = 64 << 10

// Pool is a number of bytes that all messages being read share. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	left int64
}

// NewPool returns a pool of size bytes.
func NewPool(size int64) *Pool { return &Pool{left: size} }

func (p *Pool) take(n int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n > p.left {
		return false
	}
	p.left -= n
	return true
}

func (p *Pool) put(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.left += n
}

// Account is where the bytes of a message are taken from beside the pool.
type Account interface {
	// Take takes n bytes, or fails.
	Take(n int64) error
	// Release gives n bytes back.
	Release(n int64)
}

// ReadAll reads r to its end, as the function ReadAll does. It fails with ErrPoolUsed if the pool has too few bytes left. The bytes of
// the message stay taken from acct unless reading fails.
func (p *Pool) ReadAll(acct Account, r io.Reader, limit int64) (data []byte, err error) {
	taken := int64(0)
	take := func(n int64) error {
		err := acct.Take(n)
		if err == nil {
			taken += n
		}
		return err
	}
	defer func() { acct.Release(taken - int64(len(data))) }()
	first, err := io.ReadAll(io.LimitReader(r, min(freeBytes, limit+1)))
	switch {
	case err != nil:
		return nil, err
	case int64(len(first)) > limit:
		return nil, fmt.Errorf("%w: over %d bytes", ErrTooLong, limit)
	}
	if err := take(int64(len(first))); err != nil {
		return nil, err
	}
	if len(first) < freeBytes {
		return first, nil
	}
	// Blocks are joined at the end: a growing buffer would leave copies of the message behind.
	blocks, length := [][]byte{first}, int64(len(first))
	defer func() { p.put((int64(len(blocks)) - 1) * freeBytes) }()
	for {
		if !p.take(freeBytes) {
			return nil, fmt.Errorf("%w: %d bytes read of this one", ErrPoolUsed, length)
		}
		blocks = append(blocks, nil) // counts what was taken from the pool
		if err := take(freeBytes); err != nil {
			return nil, err
		}
		block, err := readBlock(r)
		blocks[len(blocks)-1], length = block, length+int64(len(block))
		switch {
		case length > limit:
			return nil, fmt.Errorf("%w: over %d bytes", ErrTooLong, limit)
		case errors.Is(err, io.EOF):
			if err := take(length); err != nil {
				return nil, err
			}
			return slices.Concat(blocks...), nil
		case err != nil:
			return nil, err
		}
	}
}

// readBlock reads freeBytes, or fewer if r fails before. Unlike io.ReadFull it returns r's own error, since
// io.ErrUnexpectedEOF means that a message was cut.
func readBlock(r io.Reader) ([]byte, error) {
	block := make([]byte, freeBytes)
	for n := 0; n < len(block); {
		m, err := r.Read(block[n:])
		n += m
		if err != nil {
			return block[:n], err
		}
	}
	return block, nil
}

// Reader limits the bytes that are read between two calls of Reset. It is not safe for concurrent use.
type Reader struct {
	r     io.Reader
	limit int64
	left  int64
}

// NewReader returns a reader of r that fails with ErrTooLong after limit bytes without a call of Reset.
func NewReader(r io.Reader, limit int64) *Reader { return &Reader{r: r, limit: limit, left: limit} }

// Reset allows the full limit again.
func (r *Reader) Reset() { r.left = r.limit }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, fmt.Errorf("%w: over %d bytes", ErrTooLong, r.limit)
	}
	n, err := r.r.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}
