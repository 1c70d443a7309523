// Package resume signs and verifies the tokens with which a caller resumes a generation at any node.
//
// A resume token is a JSON Web Token that a key of the configuration signs with HMAC-SHA-256. The first valid key
// signs and all valid keys verify, so that keys can be rotated with an overlap. The token says where the generation
// runs and to which client account it belongs. It is of no use without the bearer key of that account.
package resume

import (
	"errors"
	"fmt"
	"time"

	"github.com/golang-jwt/jwt/v5"

	"ebonyferry/internal/core/bundle"
)

// Errors of Sign and Verify, to be tested with errors.Is.
var (
	ErrInvalid = errors.New("resume token is not valid")
	ErrExpired = errors.New("resume token has expired")
	ErrAccount = errors.New("resume token belongs to another client account")
	ErrNoKey   = errors.New("configuration has no usable resume token key")
)

// Claims identifies the generation that a token resumes.
type Claims struct {
	Generation    string
	Server        string // ID of the backend server that runs it
	Node          string // node that started it
	Account       string
	Model         string
	Version       string
	RequestDigest string // hexadecimal digest of the request
	Chat          bool   // the answer has the form of chat completions
	Expires       time.Time
}

// tokenClaims holds the claims as they are in a token.
type tokenClaims struct {
	Generation    string `json:"generation"`
	Server        string `json:"server"`
	Node          string `json:"node"`
	Model         string `json:"model"`
	Version       string `json:"version"`
	RequestDigest string `json:"requestDigest"`
	Chat          bool   `json:"chat,omitempty"`
	jwt.RegisteredClaims
}

// Sign returns a token for c, signed by the first key that is valid at now. It returns ErrNoKey if there is none.
func Sign(keys []bundle.TokenKey, c Claims, now time.Time) (string, error) {
	for _, key := range keys {
		if now.Before(key.NotAfter) {
			return sign(key, c)
		}
	}
	return "", ErrNoKey
}

func sign(key bundle.TokenKey, c Claims) (string, error) {
	tok := jwt.NewWithClaims(jwt.SigningMethodHS256, tokenClaims{
		Generation:    c.Generation,
		Server:        c.Server,
		Node:          c.Node,
		Model:         c.Model,
		Version:       c.Version,
		RequestDigest: c.RequestDigest,
		Chat:          c.Chat,
		RegisteredClaims: jwt.RegisteredClaims{
			Subject:   c.Account,
			ExpiresAt: jwt.NewNumericDate(c.Expires),
		},
	})
	tok.Header["kid"] = key.ID
	signed, err := tok.SignedString(key.Secret)
	if err != nil {
		return "", fmt.Errorf("signing resume token with key %q: %w", key.ID, err)
	}
	return signed, nil
}

// Verify checks a token that account presents at now. Errors wrap ErrInvalid, ErrExpired or ErrAccount.
func Verify(keys []bundle.TokenKey, token, account string, now time.Time) (Claims, error) {
	var wire tokenClaims
	find := func(tok *jwt.Token) (any, error) { return findKey(keys, tok, now) }
	_, err := jwt.ParseWithClaims(token, &wire, find,
		jwt.WithValidMethods([]string{jwt.SigningMethodHS256.Alg()}),
		jwt.WithExpirationRequired(),
		jwt.WithTimeFunc(func() time.Time { return now }))
	switch {
	case errors.Is(err, jwt.ErrTokenExpired):
		return Claims{}, ErrExpired
	case err != nil:
		return Claims{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	case wire.Subject != account:
		return Claims{}, ErrAccount
	}
	return Claims{
		Generation:    wire.Generation,
		Server:        wire.Server,
		Node:          wire.Node,
		Account:       wire.Subject,
		Model:         wire.Model,
		Version:       wire.Version,
		RequestDigest: wire.RequestDigest,
		Chat:          wire.Chat,
		Expires:       wire.ExpiresAt.Time,
	}, nil
}

// findKey returns the secret of the key that a token names, if the key is valid at now.
func findKey(keys []bundle.TokenKey, tok *jwt.Token, now time.Time) ([]byte, error) {
	id, _ := tok.Header["kid"].(string)
	for _, key := range keys {
		if key.ID == id && now.Before(key.NotAfter) {
			return key.Secret, nil
		}
	}
	return nil, fmt.Errorf("key %q is not in force", id)
}
