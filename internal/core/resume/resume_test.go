package resume

import (
	"errors"
	"testing"
	"time"

	"ebonyferry/internal/core/bundle"
)

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func key(id string, valid time.Duration) bundle.TokenKey {
	return bundle.TokenKey{ID: id, Secret: []byte("secret of " + id + ", 32 bytes or more"), NotAfter: now.Add(valid)}
}

func TestVerify(t *testing.T) {
	claims := Claims{
		Generation: "g1", Server: "s1", Node: "n1", Account: "shop", Model: "m", Version: "v",
		RequestDigest: "d", Chat: true, Expires: now.Add(time.Minute),
	}
	old, next := key("old", time.Hour), key("next", 2*time.Hour)
	signed, err := Sign([]bundle.TokenKey{old}, claims, now)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name    string
		keys    []bundle.TokenKey
		token   string
		account string
		at      time.Time
		want    error
	}{
		{"valid", []bundle.TokenKey{old}, signed, "shop", now, nil},
		{"rotated with overlap", []bundle.TokenKey{next, old}, signed, "shop", now, nil},
		{"key revoked", []bundle.TokenKey{next}, signed, "shop", now, ErrInvalid},
		{"expired", []bundle.TokenKey{old}, signed, "shop", now.Add(2 * time.Minute), ErrExpired},
		{"other account", []bundle.TokenKey{old}, signed, "depot", now, ErrAccount},
		{"altered", []bundle.TokenKey{old}, signed[:len(signed)-4] + "AAAA", "shop", now, ErrInvalid},
		{"empty", []bundle.TokenKey{old}, "", "shop", now, ErrInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := Verify(tt.keys, tt.token, tt.account, tt.at)
			if !errors.Is(err, tt.want) {
				t.Fatalf("error: got %v, want %v", err, tt.want)
			}
			if tt.want == nil && !got.Expires.Equal(claims.Expires) {
				t.Errorf("expires: got %v, want %v", got.Expires, claims.Expires)
			}
			got.Expires = claims.Expires
			if tt.want == nil && got != claims {
				t.Errorf("claims: got %+v, want %+v", got, claims)
			}
		})
	}
}

func TestSignWithoutKey(t *testing.T) {
	_, err := Sign([]bundle.TokenKey{key("old", -time.Second)}, Claims{}, now)
	if !errors.Is(err, ErrNoKey) {
		t.Errorf("got %v, want %v", err, ErrNoKey)
	}
}

func FuzzVerify(f *testing.F) {
	f.Add("eyJhbGciOiJub25lIn0.e30.")
	keys := []bundle.TokenKey{key("k", time.Hour)}
	f.Fuzz(func(t *testing.T, token string) {
		if _, err := Verify(keys, token, "shop", now); err == nil {
			t.Errorf("got a token accepted that none of the keys signed: %q", token)
		}
	})
}
