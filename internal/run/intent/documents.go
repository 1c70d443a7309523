// This file defines how the documents that a head names reach a node. One relay of the fleet, chosen by the document's
// prefix, reads the document from the store. The other relays fetch it from that relay, and their followers from them,
// by package transfer. Nodes of builds up to 6404eb4 exchange a document in one message, as its difference to the document that the
// receiver holds; that message is still served, and sent to them.

package intent

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"ebonyferry/internal/base/bounded"
	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/delta"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/edge/node"
	"ebonyferry/internal/run/transfer"
)

const pathDocument = "/intent/document"

const (
	fetchRounds        = 12 // rounds of asking nodes for a document before reading the store
	fetchRetryDelay    = 100 * time.Millisecond
	maxCachedDocuments = 4 // bundles and keys that a node keeps for other nodes
)

// documentRequest requests the document under a store prefix.
type documentRequest struct {
	Prefix string `json:"prefix"`
	Base   string `json:"base,omitempty"` // prefix of an older document that the sender holds
}

// documentAnswer holds a compressed document, or its compressed difference to the base.
type documentAnswer struct {
	Digest string `json:"digest"`
	Base   string `json:"base,omitempty"` // if set, Packed holds the []delta.Op from this document
	Packed []byte `json:"packed"`
}

// document is the content of a document, joined from its parts in the store.
type document struct {
	prefix string
	digest string
	data   []byte

	mu      sync.Mutex
	answers map[string]documentAnswer // cached, by prefix of the base, "" for the whole document; guarded by mu
}

// documentCache holds the documents that were loaded last, oldest first.
type documentCache struct{ entries []*document }

// get returns the document under prefix, or nil.
func (d *documentCache) get(prefix string) *document {
	for _, doc := range d.entries {
		if doc.prefix == prefix {
			return doc
		}
	}
	return nil
}

// kindOf returns the beginning of a prefix that all documents of its kind share.
func kindOf(prefix string) string {
	return prefix[:strings.Index(prefix[len("intent/"):], "/")+len("intent/")]
}

// latestOfKind returns the prefix of the latest document of the same kind as prefix, or "".
func (d *documentCache) latestOfKind(prefix string) string {
	kind := kindOf(prefix)
	latest := ""
	for _, doc := range d.entries {
		if strings.HasPrefix(doc.prefix, kind) {
			latest = doc.prefix
		}
	}
	return latest
}

func (d *documentCache) put(doc *document) {
	if d.get(doc.prefix) != nil {
		return
	}
	if len(d.entries) == maxCachedDocuments {
		d.entries = d.entries[1:]
	}
	d.entries = append(d.entries, doc)
}

// joinParts joins the parts of a document. It does not check the digest, which the assembly of the parts does.
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

// parts divides the document into parts, encoded as in the store.
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

func compress(data []byte) ([]byte, error) {
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

func decompress(packed []byte) ([]byte, error) {
	zr, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	return bounded.ReadAll(zr, bundle.MaxDocumentBytes)
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

// answer returns the document as its difference to base, or whole if base is nil. It caches each answer, since many
// followers request the same one at the same time.
func (doc *document) answer(base *document) (documentAnswer, error) {
	doc.mu.Lock()
	defer doc.mu.Unlock()
	answer := documentAnswer{Digest: doc.digest}
	if base != nil {
		answer.Base = base.prefix
	}
	if cached, ok := doc.answers[answer.Base]; ok {
		return cached, nil
	}
	data := doc.data
	var err error
	if base != nil {
		if data, err = json.Marshal(delta.Between(base.data, doc.data)); err != nil {
			return documentAnswer{}, err
		}
	}
	if answer.Packed, err = compress(data); err != nil {
		return documentAnswer{}, err
	}
	if doc.answers == nil {
		doc.answers = make(map[string]documentAnswer)
	}
	doc.answers[answer.Base] = answer
	return answer, nil
}

// loadLatest loads the documents of the latest head and applies it.
func (in *Intent) loadLatest(ctx context.Context) {
	in.mu.Lock()
	latest, higher := in.state.Latest()
	current := in.inForce
	in.mu.Unlock()
	if !higher {
		return
	}
	next, err := in.load(ctx, latest, current)
	in.mu.Lock()
	defer in.mu.Unlock()
	if err != nil {
		in.problem = err.Error()
		event.Log(in.log, event.HeadNotLoaded, event.Fields{"revision": latest.Revision, "error": err.Error()})
		return
	}
	in.apply(next)
}

// load assembles what head names. It reuses the documents of current that have not changed.
func (in *Intent) load(ctx context.Context, head bundle.Head, current *bundle.InForce) (*bundle.InForce, error) {
	var b bundle.Bundle
	var k bundle.Keys
	if current != nil {
		b, k = current.Bundle, current.Keys
	}
	if current == nil || current.Head.BundleID != head.BundleID {
		err := in.loadDocument(ctx, bundle.BundlePrefix(head.BundleID), func(parts [][]byte) (err error) {
			b, err = bundle.AssembleBundle(head.BundleID, parts)
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	if head.KeysRevision != k.Revision {
		err := in.loadDocument(ctx, bundle.KeysPrefix(head.KeysRevision), func(parts [][]byte) (err error) {
			k, err = bundle.AssembleKeys(head.KeysDigest, parts)
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	return bundle.NewInForce(head, b, k), nil
}

// loadDocument finds a document and passes its parts to assemble, which checks them. The nodes asked may still be
// loading the document, so it retries them before it reads the store.
func (in *Intent) loadDocument(ctx context.Context, prefix string, assemble func([][]byte) error) error {
	sources, fromStore := in.documentSources(prefix)
	if fromStore {
		return in.readDocument(ctx, prefix, assemble)
	}
	download := in.values.Download(in.documentClient, kindOf(prefix), transfer.ID(prefix), func(data []byte) error {
		return in.accept(&document{prefix: prefix, digest: bundle.DocumentDigest(data), data: data}, assemble)
	}, transfer.WithLimit(documentLimit), transfer.WithServes(func() bool { _, relay := in.fleet.Relays(); return relay }))
	for range fetchRounds {
		for _, n := range sources {
			_, err := download.From(ctx, n.Addr, func() bool { return ctx.Err() == nil })
			if errors.Is(err, node.ErrNoHandler) {
				err = in.fetchWhole(ctx, n, prefix, assemble)
			}
			if err == nil {
				return nil
			}
		}
		if len(sources) > 0 {
			pause.For(ctx, fetchRetryDelay)
		}
	}
	return in.readDocument(ctx, prefix, assemble)
}

// documentSources returns the nodes to ask for a document, or true if this node must read it from the store. The node
// that sent the latest head comes first. If the store sent it, a relay first asks the relay that the prefix selects as
// the reader, unless it is the reader itself. The relays of this node's failure domain come last.
func (in *Intent) documentSources(prefix string) (nodes []membership.Node, fromStore bool) {
	relays, selfIsRelay := in.fleet.Relays()
	ownRelays := membership.Sources(relays, in.fleet.Self().Name)
	in.mu.Lock()
	sender := in.latestFrom
	in.mu.Unlock()
	if sender.Name != "" {
		return append([]membership.Node{sender}, ownRelays...), false
	}
	if !selfIsRelay {
		return ownRelays, false
	}
	var allRelays []membership.Node
	for domain, nodes := range nodesByDomain(in.fleet.View(), in.fleet.Self()) {
		allRelays = append(allRelays, membership.Relays(nodes, domain)...)
	}
	readers := membership.Sources(allRelays, prefix)
	if readers[0].Name == in.fleet.Self().Name {
		return nil, true
	}
	return append(readers[:1], ownRelays...), false
}

func (in *Intent) readDocument(ctx context.Context, prefix string, assemble func([][]byte) error) error {
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
	in.cacheDocument(doc)
	return nil
}

// fetchWhole fetches a document from a node of an older build and accepts it.
func (in *Intent) fetchWhole(ctx context.Context, n membership.Node, prefix string, assemble func([][]byte) error) error {
	doc, err := in.requestDocument(ctx, n, prefix)
	if err != nil {
		return err
	}
	return in.accept(doc, assemble)
}

// requestDocument requests a document in one message, as the difference to the latest document of its kind that this node holds.
func (in *Intent) requestDocument(ctx context.Context, n membership.Node, prefix string) (*document, error) {
	in.mu.Lock()
	req := documentRequest{Prefix: prefix, Base: in.docs.latestOfKind(prefix)}
	base := in.docs.get(req.Base)
	in.mu.Unlock()
	answer, err := node.Call[documentRequest, documentAnswer](ctx, in.documentClient, n.Addr, pathDocument, req)
	if err != nil {
		return nil, err
	}
	data, err := decompress(answer.Packed)
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

// accept checks a document by assembling it, and caches it.
func (in *Intent) accept(doc *document, assemble func([][]byte) error) error {
	parts, err := doc.parts()
	if err != nil {
		return err
	}
	if err := assemble(parts); err != nil {
		return err
	}
	in.cacheDocument(doc)
	return nil
}

// cacheDocument caches a document for other nodes, and as the base of the next document.
func (in *Intent) cacheDocument(doc *document) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.docs.put(doc)
	in.values.Put(kindOf(doc.prefix), transfer.ID(doc.prefix), doc.data)
}
