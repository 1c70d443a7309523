// Package transfer moves large values between nodes.
//
// A value never changes under its ID. A [Cache] holds the latest values of a node and serves them: as the compressed difference to an
// older value that the receiver also holds or, without one, compressed whole, in parts. A [Download] receives a value. It
// keeps the parts that arrived when a node fails, and continues at another one that encodes the value in the same way.
//
// A part is small and has a time limit of its own, so a transfer lasts as long as the link needs and ends soon after its sender. A node
// sends few parts at a time. Receivers that serve others do not wait for their turn.
package transfer

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/base/bounded"
	"ebonyferry/internal/core/delta"
	"ebonyferry/internal/edge/node"
)

const pathPart = "/transfer/part"

const (
	// partBytes is the size of a part. On a link of 10 Mbit/s it takes 36 ms.
	partBytes = 32 << 10
	// maxWriting is how many parts a node sends at a time.
	maxWriting = 4
	// MaxValueBytes bounds a value.
	MaxValueBytes = 16 << 20
	// maxVersions is how many values of one name a cache holds, so that receivers that missed some still find their base.
	maxVersions = 4
	// maxOldBytes bounds the values that are not the latest of their name.
	maxOldBytes = 8 << 20
	// maxWait bounds how long a node that does not hold a value yet waits for it.
	maxWait = 800 * time.Millisecond
)

// ID identifies a value.
type ID string

// digestBytes is how much of a SHA-256 sum a digest holds. Peers are trusted, so it only has to be unique.
const digestBytes = 16

// Digest returns an ID that is made from the value itself.
func Digest(data []byte) ID {
	sum := sha256.Sum256(data)
	return ID(hex.EncodeToString(sum[:digestBytes]))
}

// ErrNotHeld means that a node does not hold the value, or no longer.
var ErrNotHeld = errors.New("value is not held here")

// Cache holds the latest values of a node. It is safe for concurrent use.
type Cache struct {
	mu      sync.Mutex
	values  []*value      // oldest first; IDs are unique
	changed chan struct{} // closed and replaced when a value is added
}

// value is a value with its compressed forms.
type value struct {
	name string
	id   ID
	data []byte

	mu    sync.Mutex
	packs map[ID]*pack // by the base, "" for the whole value; guarded by mu
}

// pack is the compressed form of a value.
type pack struct {
	digest ID // of data
	data   []byte
}

// NewCache returns an empty cache.
func NewCache() *Cache { return &Cache{changed: make(chan struct{})} }

// Put adds the latest value under a name. The caller must not modify data.
func (c *Cache) Put(name string, id ID, data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := c.index(id); i >= 0 {
		v := c.values[i]
		c.values = append(slices.Delete(c.values, i, i+1), v)
		return
	}
	c.values = append(c.values, &value{name: name, id: id, data: data, packs: make(map[ID]*pack)})
	c.evict(name)
	close(c.changed)
	c.changed = make(chan struct{})
}

// index returns the position of a value, or -1. The caller holds mu.
func (c *Cache) index(id ID) int {
	return slices.IndexFunc(c.values, func(v *value) bool { return v.id == id })
}

// evict removes the oldest values of a name beyond maxVersions, and of all names beyond maxOldBytes, but not the latest of a name. The
// caller holds mu.
func (c *Cache) evict(name string) {
	latest := make(map[string]*value)
	versions, old := 0, 0
	for _, v := range c.values {
		if v.name == name {
			versions++
		}
		latest[v.name] = v
		old += len(v.data)
	}
	for _, v := range latest {
		old -= len(v.data)
	}
	c.values = slices.DeleteFunc(c.values, func(v *value) bool {
		if latest[v.name] == v || (v.name != name || versions <= maxVersions) && old <= maxOldBytes {
			return false
		}
		old -= len(v.data)
		if v.name == name {
			versions--
		}
		return true
	})
}

// Remove removes the values of a name.
func (c *Cache) Remove(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.values = slices.DeleteFunc(c.values, func(v *value) bool { return v.name == name })
}

// Get returns the value with an ID and whether the cache holds it.
func (c *Cache) Get(id ID) ([]byte, bool) {
	if v := c.get(id); v != nil {
		return v.data, true
	}
	return nil, false
}

func (c *Cache) get(id ID) *value {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := c.index(id); i >= 0 {
		return c.values[i]
	}
	return nil
}

// versions returns the IDs of the values of a name, latest first.
func (c *Cache) versions(name string) []ID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []ID
	for _, v := range slices.Backward(c.values) {
		if v.name == name {
			list = append(list, v.id)
		}
	}
	return list
}

// await returns the value with an ID as soon as the cache holds it, or nil when ctx ends.
func (c *Cache) await(ctx context.Context, id ID) *value {
	for {
		c.mu.Lock()
		changed := c.changed
		c.mu.Unlock()
		if v := c.get(id); v != nil {
			return v
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// partRequest requests a part of a value.
type partRequest struct {
	ID     ID   `json:"id"`
	Bases  []ID `json:"bases,omitempty"`  // values that the sender holds, best first
	Pack   ID   `json:"pack,omitempty"`   // digest of the pack of which the sender already has parts
	Offset int  `json:"offset,omitempty"` // in that pack
	Serves bool `json:"serves,omitempty"` // other nodes wait for the value at the sender
	WaitMs int  `json:"waitMs,omitempty"` // for a value that the receiver does not hold yet
}

// partAnswer holds a part of the pack, which is the compressed value or its compressed difference to Base.
type partAnswer struct {
	Base   ID     `json:"base,omitempty"`
	Pack   ID     `json:"pack"`   // its digest
	Size   int    `json:"size"`   // of the pack
	Offset int    `json:"offset"` // 0 if the request named another pack
	Data   []byte `json:"-"`
}

// MarshalBinary returns the fields but Data as a line of JSON, and Data.
func (a partAnswer) MarshalBinary() ([]byte, error) {
	head, err := json.Marshal(a)
	if err != nil {
		return nil, err
	}
	return slices.Concat(head, []byte{'\n'}, a.Data), nil
}

// UnmarshalBinary decodes what MarshalBinary returned.
func (a *partAnswer) UnmarshalBinary(answer []byte) error {
	head, data, ok := bytes.Cut(answer, []byte{'\n'})
	if !ok {
		return fmt.Errorf("%w: answer of %d bytes has no head", errInvalid, len(answer))
	}
	a.Data = data
	return json.Unmarshal(head, a)
}

// Mount adds the handler of requests for values to the router of the node-to-node listener.
func (c *Cache) Mount(r chi.Router) {
	node.HandleLarge(r, pathPart, maxWriting, func(req partRequest) bool { return req.Serves }, c.handlePart)
}

func (c *Cache) handlePart(ctx context.Context, _ node.Sender, req partRequest) (partAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(req.WaitMs)*time.Millisecond, maxWait))
	defer cancel()
	v := c.await(ctx, req.ID)
	if v == nil {
		return partAnswer{}, fmt.Errorf("%w: %q", ErrNotHeld, req.ID)
	}
	var base *value
	for _, id := range req.Bases {
		if base = c.get(id); base != nil && base != v {
			break
		}
		base = nil
	}
	p, err := v.pack(base)
	if err != nil {
		return partAnswer{}, err
	}
	answer := partAnswer{Pack: p.digest, Size: len(p.data)}
	if base != nil {
		answer.Base = base.id
	}
	if req.Pack == p.digest && req.Offset >= 0 && req.Offset <= len(p.data) {
		answer.Offset = req.Offset
	}
	answer.Data = p.data[answer.Offset:min(answer.Offset+partBytes, len(p.data))]
	return answer, nil
}

// pack returns the compressed form of the value, as its difference to base unless that is nil. It keeps each form, since many
// receivers request the same one at the same time.
func (v *value) pack(base *value) (*pack, error) {
	var from ID
	if base != nil {
		from = base.id
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if p := v.packs[from]; p != nil {
		return p, nil
	}
	data := v.data
	if base != nil {
		data = delta.Encode(delta.Between(base.data, v.data))
	}
	packed, err := compress(data)
	if err != nil {
		return nil, err
	}
	p := &pack{Digest(packed), packed}
	v.packs[from] = p
	return p, nil
}

func compress(data []byte) ([]byte, error) {
	var buf bytes.Buffer
	zw, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := zw.Write(data); err != nil {
		return nil, err
	}
	if err := zw.Close(); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

func decompress(packed []byte) ([]byte, error) {
	zr, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	return bounded.ReadAll(zr, MaxValueBytes)
}
