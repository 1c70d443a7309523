package intent

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/edge/node"
	"ebonyferry/internal/run/event"
)

// This file defines how the documents that a head names reach a node.

const pathDocument = "/intent/document"

const (
	nodeAttempts     = 4       // rounds of asking relays for a document before the store is read
	maxKeptDocuments = 4       // bundles and keys that a node keeps for its followers
	maxUnpackedBytes = 8 << 20 // of one document's parts
)

// documentRequest asks for the parts under a store prefix.
type documentRequest struct {
	Prefix string `json:"prefix"`
}

// documentAnswer holds the parts as packParts made them.
type documentAnswer struct {
	Packed []byte `json:"packed"`
}

// document is a document's parts in packed form.
type document struct {
	prefix string
	packed []byte
}

// documents is a short list of the last documents loaded, oldest first.
type documents struct{ kept []document }

func (d *documents) get(prefix string) ([]byte, bool) {
	for _, doc := range d.kept {
		if doc.prefix == prefix {
			return doc.packed, true
		}
	}
	return nil, false
}

func (d *documents) put(prefix string, packed []byte) {
	if _, ok := d.get(prefix); ok {
		return
	}
	if len(d.kept) == maxKeptDocuments {
		d.kept = d.kept[1:]
	}
	d.kept = append(d.kept, document{prefix: prefix, packed: packed})
}

// Compresses the parts of a document.
func packParts(parts [][]byte) ([]byte, error) {
	var buf bytes.Buffer
	zw := gzip.NewWriter(&buf)
	if err := json.NewEncoder(zw).Encode(rawParts(parts)); err != nil {
		return nil, fmt.Errorf("packing a document: %w", err)
	}
	if err := zw.Close(); err != nil {
		return nil, fmt.Errorf("packing a document: %w", err)
	}
	return buf.Bytes(), nil
}

func rawParts(parts [][]byte) []json.RawMessage {
	raw := make([]json.RawMessage, len(parts))
	for i, p := range parts {
		raw[i] = p
	}
	return raw
}

// Restores the parts of a document. Its content is checked against a digest later.
func unpackParts(packed []byte) ([][]byte, error) {
	zr, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("unpacking a document: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(zr, maxUnpackedBytes))
	if err != nil {
		return nil, fmt.Errorf("unpacking a document: %w", err)
	}
	var raw []json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, fmt.Errorf("unpacking a document: %w", err)
	}
	parts := make([][]byte, len(raw))
	for i, p := range raw {
		parts[i] = p
	}
	return parts, nil
}

func (in *Intent) handleDocument(_ context.Context, _ node.Sender, req documentRequest) (documentAnswer, error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	packed, ok := in.docs.get(req.Prefix)
	if !ok {
		return documentAnswer{}, fmt.Errorf("document %q is not kept here", req.Prefix)
	}
	return documentAnswer{Packed: packed}, nil
}

// Loads the documents of the wanted head and puts it into force.
func (in *Intent) loadWanted(ctx context.Context) {
	in.mu.Lock()
	wanted, higher := in.state.Wanted()
	held := in.inForce
	in.mu.Unlock()
	if !higher {
		return
	}
	next, err := in.load(ctx, wanted, held)
	in.mu.Lock()
	defer in.mu.Unlock()
	if err != nil {
		in.problem = err.Error()
		event.Log(in.log, event.HeadNotLoaded, event.Fields{"revision": wanted.Revision, "error": err.Error()})
		return
	}
	in.apply(next)
}

// Assembles what a head names, taking over from held what has not changed.
func (in *Intent) load(ctx context.Context, head bundle.Head, held *bundle.InForce) (*bundle.InForce, error) {
	var b bundle.Bundle
	var k bundle.Keys
	if held != nil {
		b, k = held.Bundle, held.Keys
	}
	if held == nil || held.Head.BundleID != head.BundleID {
		err := in.document(ctx, bundle.BundlePrefix(head.BundleID), func(parts [][]byte) (err error) {
			b, err = bundle.AssembleBundle(head.BundleID, parts)
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	if head.KeysRevision != k.Revision {
		err := in.document(ctx, bundle.KeysPrefix(head.KeysRevision), func(parts [][]byte) (err error) {
			k, err = bundle.AssembleKeys(head.KeysDigest, parts)
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	return bundle.NewInForce(head, b, k), nil
}

// Finds a document and hands its parts to assemble, which checks them. A relay that heard of the head from
// the store reads the store. The other nodes ask the one that told them and the relays, which may need a
// moment to load the document themselves, before they read the store.
func (in *Intent) document(ctx context.Context, prefix string, assemble func([][]byte) error) error {
	relays, self := in.fleet.Relays()
	sources := membership.Sources(relays, in.fleet.Self().Name)
	in.mu.Lock()
	if in.teller.Name != "" {
		sources = append([]membership.Node{in.teller}, sources...)
		self = false
	}
	in.mu.Unlock()
	if self {
		return in.documentFromStore(ctx, prefix, assemble)
	}
	for range nodeAttempts {
		if in.documentFromNodes(ctx, sources, prefix, assemble) {
			return nil
		}
		if len(sources) > 0 {
			sleep(ctx, retryMin)
		}
	}
	return in.documentFromStore(ctx, prefix, assemble)
}

func (in *Intent) documentFromStore(ctx context.Context, prefix string, assemble func([][]byte) error) error {
	entries, _, err := in.store.List(ctx, prefix)
	if err != nil {
		return fmt.Errorf("document %s: %w", prefix, err)
	}
	parts := make([][]byte, 0, len(entries))
	for _, entry := range entries {
		parts = append(parts, entry.Value)
	}
	if err := assemble(parts); err != nil {
		return err
	}
	return in.keep(prefix, parts)
}

// Reports whether one of the nodes had the document.
func (in *Intent) documentFromNodes(ctx context.Context, nodes []membership.Node, prefix string, assemble func([][]byte) error) bool {
	for _, n := range nodes {
		parts, err := in.fetchParts(ctx, n.Addr, prefix)
		if err == nil && assemble(parts) == nil && in.keep(prefix, parts) == nil {
			return true
		}
	}
	return false
}

func (in *Intent) fetchParts(ctx context.Context, addr netip.AddrPort, prefix string) ([][]byte, error) {
	answer, err := node.Call[documentRequest, documentAnswer](ctx, in.fetch, addr, pathDocument, documentRequest{Prefix: prefix})
	if err != nil {
		return nil, err
	}
	return unpackParts(answer.Packed)
}

// Keeps a document for followers.
func (in *Intent) keep(prefix string, parts [][]byte) error {
	packed, err := packParts(parts)
	if err != nil {
		return err
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.docs.put(prefix, packed)
	return nil
}
