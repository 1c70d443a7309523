package transfer

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"ebonyferry/internal/base/progress"
	"ebonyferry/internal/core/delta"
	"ebonyferry/internal/edge/node"
)

// DefaultLimit bounds the time of one part. The time until it begins includes maxWait, and the wait while the node sends parts to others.
var DefaultLimit = progress.Limit{Start: 1200 * time.Millisecond, Stall: time.Second}

// errInvalid means that the parts of a value do not make the value with its digest.
var errInvalid = errors.New("parts do not make the value")

// Download receives one value. It is not safe for concurrent use.
type Download struct {
	cache  *Cache
	client *node.Client
	name   string
	id     ID
	verify func(data []byte) error
	serves func() bool
	wait   time.Duration

	base  []byte // of which pack is the difference; nil if it is the whole value
	pack  ID     // "" before the first part
	size  int    // of the pack
	parts []byte // the beginning of the pack
	calls int
}

// Option changes a Download.
type Option func(*Download)

// WithServes sets a function that reports whether other nodes wait for the value at this one.
func WithServes(fn func() bool) Option { return func(d *Download) { d.serves = fn } }

// WithLimit replaces DefaultLimit.
func WithLimit(l progress.Limit) Option {
	return func(d *Download) { d.client = d.client.Derive(node.WithLimit(l)) }
}

// WithWait lets nodes that do not hold the value yet wait for it, instead of refusing.
func WithWait(wait time.Duration) Option { return func(d *Download) { d.wait = wait } }

// Download returns a download of a value, which will be the latest under a name. The values of that name in the cache may be the base of
// a difference. The function verify returns an error if data is not the value with that ID.
func (c *Cache) Download(client *node.Client, name string, id ID, verify func(data []byte) error, opts ...Option) *Download {
	d := &Download{
		cache: c, client: client.Derive(node.WithLimit(DefaultLimit)), name: name, id: id, verify: verify, serves: func() bool { return false },
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// VerifyDigest returns a function that verifies a value whose ID is its digest.
func VerifyDigest(id ID) func(data []byte) error {
	return func(data []byte) error {
		if got := Digest(data); got != id {
			return fmt.Errorf("their digest is %q, not %q", got, id)
		}
		return nil
	}
}

// Stats says how much of a value has arrived.
type Stats struct {
	PackedBytes int // that arrived
	Size        int // in packed bytes; 0 before the first part
	Difference  bool
	Calls       int
}

// Stats returns how much has arrived.
func (d *Download) Stats() Stats {
	return Stats{PackedBytes: len(d.parts), Size: d.size, Difference: d.base != nil, Calls: d.calls}
}

// From receives the value, or what is missing of it, from the node at addr, while wanted reports true. It adds the value to the
// cache and returns it. After an error the download can go on at another node.
func (d *Download) From(ctx context.Context, addr netip.AddrPort, wanted func() bool) ([]byte, error) {
	for d.pack == "" || len(d.parts) < d.size {
		if !wanted() {
			return nil, context.Canceled
		}
		if err := d.nextPart(ctx, addr); err != nil {
			return nil, err
		}
	}
	data, err := d.assemble()
	if err != nil {
		d.pack, d.parts = "", nil // no part of it can be trusted
		return nil, err
	}
	d.cache.Put(d.name, d.id, data)
	return data, nil
}

func (d *Download) nextPart(ctx context.Context, addr netip.AddrPort) error {
	d.calls++
	req := partRequest{
		ID: d.id, Bases: d.cache.versions(d.name), Pack: d.pack, Offset: len(d.parts), Serves: d.serves(), WaitMs: int(d.wait.Milliseconds()),
	}
	answer, err := node.Call[partRequest, partAnswer](ctx, d.client, addr, pathPart, req)
	if err != nil {
		return err
	}
	if answer.Pack != d.pack {
		base, ok := d.cache.Get(answer.Base)
		if !ok && answer.Base != "" {
			return fmt.Errorf("%w: base %q is not held any more", errInvalid, answer.Base)
		}
		d.base, d.pack, d.size, d.parts = base, answer.Pack, answer.Size, nil
	}
	if answer.Offset != len(d.parts) || len(answer.Data) == 0 || d.size > MaxValueBytes || len(d.parts)+len(answer.Data) > d.size {
		d.pack, d.parts = "", nil
		return fmt.Errorf("%w: %s sent %d bytes at %d of %d", errInvalid, addr, len(answer.Data), answer.Offset, answer.Size)
	}
	d.parts = append(d.parts, answer.Data...)
	return nil
}

// assemble returns the value that the parts make.
func (d *Download) assemble() ([]byte, error) {
	data, err := decompress(d.parts)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalid, err)
	}
	if d.base != nil {
		ops, err := delta.Decode(data)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errInvalid, err)
		}
		if data, err = delta.Apply(d.base, ops, MaxValueBytes); err != nil {
			return nil, fmt.Errorf("%w: %w", errInvalid, err)
		}
	}
	if err := d.verify(data); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalid, err)
	}
	return data, nil
}
