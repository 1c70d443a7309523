// This file signs requests and verifies their signatures.

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

// The headers of a signed request.
const (
	headerOperator  = "Ferry-Operator"
	headerTime      = "Ferry-Time"
	headerNonce     = "Ferry-Nonce"
	headerSignature = "Ferry-Signature"
)

const (
	// signatureWindow is the maximum difference between the clocks of operator and node.
	signatureWindow = 30 * time.Second
	// maxNonces limits the nonces that a node remembers.
	maxNonces = 1 << 16
	// maxBodyBytes limits the body of a request.
	maxBodyBytes = bundle.MaxDocumentBytes
	// requestContext starts each signed message, so that no other text signed with an operator's key is valid
	// as a request.
	requestContext = "ebonyferry operator request 1"
	nonceBytes     = 16
)

// ErrUnauthenticated means that a request is not signed by a known operator, has a wrong time, or is a replay.
var ErrUnauthenticated = errors.New("request is not authenticated")

// NewNonce returns a random nonce.
func NewNonce() string {
	b := make([]byte, nonceBytes)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// signedMessage returns the message that the signature of a request covers.
func signedMessage(method, uri, at, nonce string, body []byte) []byte {
	sum := sha256.Sum256(body)
	lines := []string{requestContext, method, uri, at, nonce, hex.EncodeToString(sum[:])}
	return []byte(strings.Join(lines, "\n"))
}

// SignRequest signs r, whose body is body, as operator at time at.
func SignRequest(r *http.Request, body []byte, operator string, key ed25519.PrivateKey, at time.Time) {
	stamp, nonce := at.UTC().Format(time.RFC3339Nano), NewNonce()
	sig := ed25519.Sign(key, signedMessage(r.Method, r.URL.RequestURI(), stamp, nonce, body))
	r.Header.Set(headerOperator, operator)
	r.Header.Set(headerTime, stamp)
	r.Header.Set(headerNonce, nonce)
	r.Header.Set(headerSignature, base64.StdEncoding.EncodeToString(sig))
}

// verifier verifies signed requests and rejects replays.
type verifier struct {
	now func() time.Time

	mu    sync.Mutex
	seen  map[string]time.Time // received nonces and the time after which each is dropped; guarded by mu
	swept time.Time            // when old nonces were last dropped from seen; guarded by mu
}

func newVerifier(now func() time.Time) *verifier {
	return &verifier{now: now, seen: make(map[string]time.Time)}
}

// signature is an operator's signature with the message that it covers.
type signature struct {
	operator string
	message  []byte
	sig      []byte
}

// verify returns an error unless one of the operator's keys in keys made the signature.
func (s signature) verify(keys bundle.Keys) error {
	op, ok := keys.Operator(s.operator)
	if !ok {
		return fmt.Errorf("%w: operator %q does not exist", ErrUnauthenticated, s.operator)
	}
	if !op.Verifies(s.message, s.sig) {
		return fmt.Errorf("%w: the signature of operator %q is wrong", ErrUnauthenticated, s.operator)
	}
	return nil
}

// check verifies r against the operators in keys. It returns the signature and leaves the body readable.
func (v *verifier) check(r *http.Request, keys bundle.Keys) (signature, error) {
	name, nonce := r.Header.Get(headerOperator), r.Header.Get(headerNonce)
	at, err := time.Parse(time.RFC3339Nano, r.Header.Get(headerTime))
	if err != nil {
		return signature{}, fmt.Errorf("%w: header %s: %w", ErrUnauthenticated, headerTime, err)
	}
	if skew := v.now().Sub(at).Abs(); skew > signatureWindow {
		return signature{}, fmt.Errorf("%w: its time differs from this node's by %s, more than %s", ErrUnauthenticated, skew.Round(time.Second), signatureWindow)
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	if err != nil {
		return signature{}, fmt.Errorf("reading the request: %w", err)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	sig, err := base64.StdEncoding.DecodeString(r.Header.Get(headerSignature))
	if err != nil {
		return signature{}, fmt.Errorf("%w: header %s: %w", ErrUnauthenticated, headerSignature, err)
	}
	s := signature{operator: name, message: signedMessage(r.Method, r.URL.RequestURI(), r.Header.Get(headerTime), nonce, body), sig: sig}
	if err := s.verify(keys); err != nil {
		return signature{}, err
	}
	return s, v.recordNonce(name+" "+nonce, at.Add(2*signatureWindow))
}

// recordNonce returns an error if the nonce was received before. Otherwise it keeps the nonce until the given
// time, when the request has become too old to be accepted again.
func (v *verifier) recordNonce(nonce string, until time.Time) error {
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
