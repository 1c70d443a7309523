package intent

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/delta"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/edge/node"
)

// This file defines how the documents that a head names reach a node. One relay of the fleet, chosen by the
// document, reads it from the store; the other relays get it from there, and their followers from them, as
// the difference to the document they hold.

const pathDocument = "/intent/document"

const (
	nodeAttempts     = 12 // rounds of asking nodes for a document before the store is read
	nodeRetry        = 100 * time.Millisecond
	maxKeptDocuments = 4 // bundles and keys that a node keeps for others
)

// documentRequest asks for the document under a store prefix.
type documentRequest struct {
	Prefix string `json:"prefix"`
	Base   string `json:"base,omitempty"` // prefix of the older one that the sender holds
}

// documentAnswer holds a document, or its difference to the base, compressed.
type documentAnswer struct {
	Digest string `json:"digest"`
	Base   string `json:"base,omitempty"` // Packed holds []delta.Op to this one; else the document
	Packed []byte `json:"packed"`
}

// document is a document's content as its parts carry it.
type document struct {
	prefix string
	digest string
	data   []byte

	mu      sync.Mutex
	answers map[string]documentAnswer // made at the first request, by prefix of the base, "" for the whole; guarded by mu
}

// documents is a short list of the last documents loaded, oldest first.
type documents struct{ kept []*document }

// Returns the document under prefix, or nil.
func (d *documents) get(prefix string) *document {
	for _, doc := range d.kept {
		if doc.prefix == prefix {
			return doc
		}
	}
	return nil
}

// Returns the prefix of the latest document of the same sort as prefix, or "".
func (d *documents) base(prefix string) string {
	sort := prefix[:strings.Index(prefix[len("intent/"):], "/")+len("intent/")]
	base := ""
	for _, doc := range d.kept {
		if strings.HasPrefix(doc.prefix, sort) {
			base = doc.prefix
		}
	}
	return base
}

func (d *documents) put(doc *document) {
	if d.get(doc.prefix) != nil {
		return
	}
	if len(d.kept) == maxKeptDocuments {
		d.kept = d.kept[1:]
	}
	d.kept = append(d.kept, doc)
}

// Joins the parts of a document. Its digest is checked when it is assembled.
func joinParts(prefix string, values [][]byte) (*document, error) {
	doc := &document{prefix: prefix}
	parts := make([][]byte, len(values))
	for _, value := range values {
		p, err := bundle.DecodePart(value)
		if err != nil {
			return nil, err
		}
		if p.Index >= len(parts) {
			return nil, fmt.Errorf("%w: part %d of %d", bundle.ErrIncomplete, p.Index, len(parts))
		}
		parts[p.Index] = p.Data
		doc.digest = p.Digest
	}
	doc.data = bytes.Join(parts, nil)
	return doc, nil
}

// Cuts a document into parts as they stand in the store.
func (doc *document) parts() ([][]byte, error) {
	var parts [][]byte
	count := (len(doc.data) + bundle.PartBytes - 1) / bundle.PartBytes
	for i := range count {
		chunk := doc.data[i*bundle.PartBytes : min((i+1)*bundle.PartBytes, len(doc.data))]
		value, err := json.Marshal(bundle.Part{Index: i, Count: count, Digest: doc.digest, Data: chunk})
		if err != nil {
			return nil, fmt.Errorf("document %s: %w", doc.prefix, err)
		}
		parts = append(parts, value)
	}
	return parts, nil
}

func pack(data []byte) ([]byte, error) {
	var buf bytes.Buffer
	zw := gzip.NewWriter(&buf)
	if _, err := zw.Write(data); err != nil {
		return nil, err
	}
	if err := zw.Close(); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

func unpack(packed []byte) ([]byte, error) {
	zr, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(zr, bundle.MaxDocumentBytes))
}

func (in *Intent) handleDocument(_ context.Context, _ node.Sender, req documentRequest) (documentAnswer, error) {
	in.mu.Lock()
	doc, base := in.docs.get(req.Prefix), in.docs.get(req.Base)
	in.mu.Unlock()
	if doc == nil {
		return documentAnswer{}, fmt.Errorf("document %q is not kept here", req.Prefix)
	}
	if base == doc {
		base = nil
	}
	return doc.answer(base)
}

// Returns the document as its difference to base, or whole without one. Followers ask for the same at the
// same time, so each answer is made once.
func (doc *document) answer(base *document) (documentAnswer, error) {
	doc.mu.Lock()
	defer doc.mu.Unlock()
	answer := documentAnswer{Digest: doc.digest}
	if base != nil {
		answer.Base = base.prefix
	}
	if made, ok := doc.answers[answer.Base]; ok {
		return made, nil
	}
	data := doc.data
	var err error
	if base != nil {
		if data, err = json.Marshal(delta.Between(base.data, doc.data)); err != nil {
			return documentAnswer{}, err
		}
	}
	if answer.Packed, err = pack(data); err != nil {
		return documentAnswer{}, err
	}
	if doc.answers == nil {
		doc.answers = make(map[string]documentAnswer)
	}
	doc.answers[answer.Base] = answer
	return answer, nil
}

// Loads the documents of the wanted head and puts it into force.
func (in *Intent) loadWanted(ctx context.Context) {
	in.mu.Lock()
	wanted, higher := in.state.Latest()
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

// Finds a document and hands its parts to assemble, which checks them. The nodes asked may need a moment to
// load the document themselves; the store is read when none of them has it.
func (in *Intent) document(ctx context.Context, prefix string, assemble func([][]byte) error) error {
	holders, reader := in.holders(prefix)
	if reader {
		return in.documentFromStore(ctx, prefix, assemble)
	}
	for range nodeAttempts {
		for _, n := range holders {
			doc, err := in.fetchDocument(ctx, n, prefix)
			if err == nil && in.accept(doc, assemble) == nil {
				return nil
			}
		}
		if len(holders) > 0 {
			pause.For(ctx, nodeRetry)
		}
	}
	return in.documentFromStore(ctx, prefix, assemble)
}

// Returns the nodes to ask for a document, or true when this node is the one that reads it from the store.
func (in *Intent) holders(prefix string) (nodes []membership.Node, reader bool) {
	relays, self := in.fleet.Relays()
	own := membership.Sources(relays, in.fleet.Self().Name)
	in.mu.Lock()
	teller := in.teller
	in.mu.Unlock()
	if teller.Name != "" {
		return append([]membership.Node{teller}, own...), false
	}
	if !self {
		return own, false
	}
	var all []membership.Node
	for domain, nodes := range byDomain(in.fleet.View(), in.fleet.Self()) {
		all = append(all, membership.Relays(nodes, domain)...)
	}
	readers := membership.Sources(all, prefix)
	if readers[0].Name == in.fleet.Self().Name {
		return nil, true
	}
	return append(readers[:1], own...), false
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
	doc, err := joinParts(prefix, parts)
	if err != nil {
		return err
	}
	in.keep(doc)
	return nil
}

// Gets a document from a node, as the difference to the latest one of its sort that this node holds.
func (in *Intent) fetchDocument(ctx context.Context, n membership.Node, prefix string) (*document, error) {
	in.mu.Lock()
	req := documentRequest{Prefix: prefix, Base: in.docs.base(prefix)}
	base := in.docs.get(req.Base)
	in.mu.Unlock()
	answer, err := node.Call[documentRequest, documentAnswer](ctx, in.fetch, n.Addr, pathDocument, req)
	if err != nil {
		return nil, err
	}
	data, err := unpack(answer.Packed)
	if err != nil {
		return nil, fmt.Errorf("document %s: %w", prefix, err)
	}
	doc := &document{prefix: prefix, digest: answer.Digest, data: data}
	if answer.Base == "" {
		return doc, nil
	}
	if base == nil || answer.Base != req.Base {
		return nil, fmt.Errorf("document %s: answer is based on %q, which is not held", prefix, answer.Base)
	}
	var ops []delta.Op
	if err := json.Unmarshal(data, &ops); err != nil {
		return nil, fmt.Errorf("document %s: %w", prefix, err)
	}
	doc.data, err = delta.Apply(base.data, ops, bundle.MaxDocumentBytes)
	return doc, err
}

// Checks a document by assembling it, and keeps it.
func (in *Intent) accept(doc *document, assemble func([][]byte) error) error {
	parts, err := doc.parts()
	if err != nil {
		return err
	}
	if err := assemble(parts); err != nil {
		return err
	}
	in.keep(doc)
	return nil
}

// Keeps a document for other nodes, and as the base of the next one.
func (in *Intent) keep(doc *document) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.docs.put(doc)
}
