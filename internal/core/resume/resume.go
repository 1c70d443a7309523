// Package resume signs and checks the tokens with which a caller takes a generation up again at any node.
//
// A resume token is a JSON Web Token signed with HMAC-SHA-256 by a key of the configuration. The first key
// signs and all keys verify, so that keys rotate with overlap. The token says where the generation runs and
// whose it is; holding it without the bearer key of the same client account is of no use.
package resume

import (
	"errors"
	"fmt"
	"time"

	"github.com/golang-jwt/jwt/v5"

	"ebonyferry/internal/core/bundle"
)

// Errors of resume tokens, tested with errors.Is.
var (
	ErrInvalid = errors.New("resume token is not valid")
	ErrExpired = errors.New("resume token has expired")
	ErrAccount = errors.New("resume token belongs to another client account")
	ErrNoKey   = errors.New("configuration has no usable resume token key")
)

// Claims says which generation a token resumes.
type Claims struct {
	Generation    string
	Server        string // ID of the backend server that runs it
	Node          string // node that started it
	Account       string
	Model         string
	Version       string
	RequestDigest string // hexadecimal digest of the request
	Chat          bool   // answer in the shape of chat completions
	Expires       time.Time
}

// Names of the private claims on the wire.
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

// Sign returns a token for c. It returns ErrNoKey when no key signs at now.
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
		return "", fmt.Errorf("signing a resume token with key %q: %w", key.ID, err)
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

// Returns the secret that a token names, if it still verifies at now.
func findKey(keys []bundle.TokenKey, tok *jwt.Token, now time.Time) ([]byte, error) {
	id, _ := tok.Header["kid"].(string)
	for _, key := range keys {
		if key.ID == id && now.Before(key.NotAfter) {
			return key.Secret, nil
		}
	}
	return nil, fmt.Errorf("key %q is not in force", id)
}
