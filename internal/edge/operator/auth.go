// Package operator serves operators: HTTP with JSON under /operator/v1 on every node.
//
// A request is signed with the Ed25519 key of a named operator over its method, path, body, time and a nonce.
// Reading answers from the store or from the node's own state; a change of what is in force is a
// compare-and-swap of the head, so of two operators who race one wins and the other is told by whom and what.
package operator

import (
	"bytes"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"ebonyferry/internal/core/bundle"
)

// This file defines how requests are signed and checked.

// The headers of a signed request.
const (
	headerOperator  = "Ferry-Operator"
	headerTime      = "Ferry-Time"
	headerNonce     = "Ferry-Nonce"
	headerSignature = "Ferry-Signature"
)

const (
	// signatureWindow is how far the clocks of operator and node may differ.
	signatureWindow = 30 * time.Second
	// maxNonces bounds the nonces that a node remembers.
	maxNonces = 1 << 16
	// maxBodyBytes bounds a request.
	maxBodyBytes = bundle.MaxDocumentBytes
	// requestContext separates signed requests from everything else that an operator's key signs.
	requestContext = "ebonyferry operator request 1"
	nonceBytes     = 16
)

// ErrUnauthenticated means that a request is not signed by a known operator, is too old, or was seen before.
var ErrUnauthenticated = errors.New("request is not authenticated")

// NewNonce returns a random nonce.
func NewNonce() string {
	b := make([]byte, nonceBytes)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// Returns what is signed for a request.
func signedMessage(method, uri, at, nonce string, body []byte) []byte {
	sum := sha256.Sum256(body)
	lines := []string{requestContext, method, uri, at, nonce, hex.EncodeToString(sum[:])}
	return []byte(strings.Join(lines, "\n"))
}

// SignRequest signs r, whose body is body, as operator at a time.
func SignRequest(r *http.Request, body []byte, operator string, key ed25519.PrivateKey, at time.Time) {
	stamp, nonce := at.UTC().Format(time.RFC3339Nano), NewNonce()
	sig := ed25519.Sign(key, signedMessage(r.Method, r.URL.RequestURI(), stamp, nonce, body))
	r.Header.Set(headerOperator, operator)
	r.Header.Set(headerTime, stamp)
	r.Header.Set(headerNonce, nonce)
	r.Header.Set(headerSignature, base64.StdEncoding.EncodeToString(sig))
}

// verifier checks signed requests.
type verifier struct {
	now func() time.Time

	mu    sync.Mutex
	seen  map[string]time.Time // nonces by when they may be forgotten; guarded by mu
	swept time.Time            // when seen was last swept; guarded by mu
}

func newVerifier(now func() time.Time) *verifier {
	return &verifier{now: now, seen: make(map[string]time.Time)}
}

// signed is what an operator signed.
type signed struct {
	operator string
	message  []byte
	sig      []byte
}

// Fails when the signature is not by a key that the operator has in keys.
func (s signed) check(keys bundle.Keys) error {
	op, ok := keys.Operator(s.operator)
	if !ok {
		return fmt.Errorf("%w: operator %q does not exist", ErrUnauthenticated, s.operator)
	}
	if !op.Verifies(s.message, s.sig) {
		return fmt.Errorf("%w: the signature of operator %q is wrong", ErrUnauthenticated, s.operator)
	}
	return nil
}

// Checks r against the operators in keys. It returns what was signed and leaves the body readable.
func (v *verifier) check(r *http.Request, keys bundle.Keys) (signed, error) {
	name, nonce := r.Header.Get(headerOperator), r.Header.Get(headerNonce)
	at, err := time.Parse(time.RFC3339Nano, r.Header.Get(headerTime))
	if err != nil {
		return signed{}, fmt.Errorf("%w: header %s: %w", ErrUnauthenticated, headerTime, err)
	}
	if off := v.now().Sub(at).Abs(); off > signatureWindow {
		return signed{}, fmt.Errorf("%w: its time differs from this node's by %s, more than %s", ErrUnauthenticated, off.Round(time.Second), signatureWindow)
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	if err != nil {
		return signed{}, fmt.Errorf("reading the request: %w", err)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	sig, err := base64.StdEncoding.DecodeString(r.Header.Get(headerSignature))
	if err != nil {
		return signed{}, fmt.Errorf("%w: header %s: %w", ErrUnauthenticated, headerSignature, err)
	}
	s := signed{operator: name, message: signedMessage(r.Method, r.URL.RequestURI(), r.Header.Get(headerTime), nonce, body), sig: sig}
	if err := s.check(keys); err != nil {
		return signed{}, err
	}
	return s, v.remember(name+" "+nonce, at.Add(2*signatureWindow))
}

// Fails when the nonce was seen before, and remembers it until a time after which its request is too old.
func (v *verifier) remember(nonce string, until time.Time) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	if now.Sub(v.swept) > signatureWindow || len(v.seen) >= maxNonces {
		for n, until := range v.seen {
			if now.After(until) {
				delete(v.seen, n)
			}
		}
		v.swept = now
	}
	if _, ok := v.seen[nonce]; ok {
		return fmt.Errorf("%w: it was received before", ErrUnauthenticated)
	}
	if len(v.seen) >= maxNonces {
		return fmt.Errorf("%w: this node has too many recent requests to remember", ErrUnauthenticated)
	}
	v.seen[nonce] = until
	return nil
}
