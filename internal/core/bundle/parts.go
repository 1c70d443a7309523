// This file splits a document that is larger than one store value into parts and reassembles it.

package bundle

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// PartBytes is the maximum size of a document's data in one part. An encoded part stays well below the store's
// value limit of one megabyte.
const PartBytes = 256 << 10

// maxParts bounds the number of parts of a document.
const maxParts = MaxDocumentBytes/PartBytes + 1

// ErrIncomplete means that parts are missing, malformed or of different documents.
var ErrIncomplete = errors.New("document is incomplete")

// The store keys of the operators' documents.
const (
	HeadKey       = "intent/head"
	bundlesPrefix = "intent/bundles/"
	keysPrefix    = "intent/keys/"
	historyPrefix = "intent/history/"
	signOffPrefix = "intent/signOffs/"
	// InfoPrefix is the prefix of the keys of bundle descriptions. The bundle ID follows it.
	InfoPrefix = "intent/bundleInfo/"
)

// InfoKey returns the store key of a bundle's description.
func InfoKey(id string) string { return InfoPrefix + id }

// SignOffPrefix returns the store prefix of a bundle's sign-offs.
func SignOffPrefix(id string) string { return signOffPrefix + id + "/" }

// BundlePrefix returns the store prefix of a bundle's parts.
func BundlePrefix(id string) string { return bundlesPrefix + id + "/" }

// KeysPrefix returns the store prefix of the parts of one revision of the keys. The revision is zero-padded so that
// store keys sort by revision.
func KeysPrefix(rev Revision) string { return fmt.Sprintf("%s%012d/", keysPrefix, rev) }

// HistoryKey returns the store key of a replaced head.
func HistoryKey(rev Revision) string { return fmt.Sprintf("%s%012d", historyPrefix, rev) }

// PartKey returns the store key of the part with this index.
func PartKey(prefix string, index int) string { return prefix + fmt.Sprintf("%03d", index) }

// Part is one store value of a document.
type Part struct {
	Index  int    `json:"index"`  // from 0
	Count  int    `json:"count"`  // number of parts of the document, the same in each part
	Digest string `json:"digest"` // of the whole document, the same in each part
	Data   []byte `json:"data"`
}

// EncodeBundle returns the store values of b by part index. b must be canonical.
func EncodeBundle(b Bundle) ([][]byte, error) {
	if want := Canonical(b).ID; b.ID != want {
		return nil, fmt.Errorf("bundle %q is not canonical: its digest is %q", b.ID, want)
	}
	id := b.ID
	b.ID = ""
	return split(mustMarshal(b), id), nil
}

// EncodeKeys returns the store values of k by part index.
func EncodeKeys(k Keys) [][]byte {
	data := mustMarshal(CanonicalKeys(k))
	return split(data, digest(data))
}

func split(data []byte, sum string) [][]byte {
	count := (len(data) + PartBytes - 1) / PartBytes
	parts := make([][]byte, 0, count)
	for i := range count {
		chunk := data[i*PartBytes : min((i+1)*PartBytes, len(data))]
		parts = append(parts, mustMarshal(Part{Index: i, Count: count, Digest: sum, Data: chunk}))
	}
	return parts
}

// DecodePart decodes one store value and checks that its index, count and size are in range.
func DecodePart(value []byte) (Part, error) {
	var p Part
	if err := json.Unmarshal(value, &p); err != nil {
		return Part{}, fmt.Errorf("%w: part: %w", ErrIncomplete, err)
	}
	if p.Count < 1 || p.Count > maxParts || p.Index < 0 || p.Index >= p.Count || len(p.Data) > PartBytes {
		return Part{}, fmt.Errorf("%w: part %s has an index, count or size out of range", ErrIncomplete, strconv.Itoa(p.Index))
	}
	return p, nil
}

// AssembleBundle assembles a bundle from its store values, in any order, and checks that its digest is id.
func AssembleBundle(id string, values [][]byte) (Bundle, error) {
	data, err := join(id, values)
	if err != nil {
		return Bundle{}, fmt.Errorf("bundle %s: %w", id, err)
	}
	var b Bundle
	if err := json.Unmarshal(data, &b); err != nil {
		return Bundle{}, fmt.Errorf("bundle %s: %w: %w", id, ErrIncomplete, err)
	}
	b.ID = id
	return b, nil
}

// AssembleKeys assembles keys from their store values, in any order, and checks their digest. With an empty digest
// it checks against the digest that the parts contain.
func AssembleKeys(digest string, values [][]byte) (Keys, error) {
	data, err := join(digest, values)
	if err != nil {
		return Keys{}, fmt.Errorf("keys: %w", err)
	}
	var k Keys
	if err := json.Unmarshal(data, &k); err != nil {
		return Keys{}, fmt.Errorf("keys: %w: %w", ErrIncomplete, err)
	}
	return k, nil
}

// DocumentDigest returns the digest that the parts of a document name.
func DocumentDigest(doc []byte) string { return digest(doc) }

// join concatenates the data of parts and checks its digest. An empty want means the digest in the parts.
func join(want string, values [][]byte) ([]byte, error) {
	if len(values) == 0 {
		return nil, fmt.Errorf("%w: it has no parts", ErrIncomplete)
	}
	chunks := make([][]byte, len(values))
	for _, value := range values {
		p, err := DecodePart(value)
		if err != nil {
			return nil, err
		}
		if want == "" {
			want = p.Digest
		}
		if p.Count != len(values) || p.Digest != want || chunks[p.Index] != nil || len(p.Data) == 0 {
			return nil, fmt.Errorf("%w: part %d of %d with digest %s does not belong to the %d parts found", ErrIncomplete, p.Index, p.Count, p.Digest, len(values))
		}
		chunks[p.Index] = p.Data
	}
	data := bytes.Join(chunks, nil)
	if got := digest(data); got != want {
		return nil, fmt.Errorf("%w: its digest is %s, not %s", ErrIncomplete, got, want)
	}
	return data, nil
}
