// This file reads and writes operators' key files: PKCS #8 in PEM.

package ferryctl

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"os"

	"ebonyferry/internal/run/command"
)

const pemType = "PRIVATE KEY"

type keygenCmd struct {
	Out string `required:"" type:"path" placeholder:"FILE" help:"New file to write the private key to; it must not exist."`
}

// Help shows examples.
func (keygenCmd) Help() string {
	return `Examples:

  ferryctl keygen --out ~/.ferry/ana.key

Send the printed public key to another operator, who adds it:

  ferryctl keys operator add ana --public-key BASE64`
}

// keygenReport is the output of keygen.
type keygenReport struct {
	File      string            `json:"file"`
	PublicKey ed25519.PublicKey `json:"publicKey"`
}

// Run creates a key pair.
func (c *keygenCmd) Run(_ context.Context, out *command.Output) error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return err
	}
	if err := WriteKey(c.Out, private); err != nil {
		return err
	}
	return out.Report(keygenReport{File: c.Out, PublicKey: public}, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "private key: %s\npublic key:  %s\n", c.Out, base64.StdEncoding.EncodeToString(public))
		return err
	})
}

// WriteKey writes an operator's private key to a new file that only its owner can read.
func WriteKey(path string, key ed25519.PrivateKey) error {
	text, err := encodePrivateKey(key)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return usagef("writing the key: %w", err)
	}
	_, err = f.Write(text)
	if err := errors.Join(err, f.Close()); err != nil {
		return fmt.Errorf("writing the key: %w", err)
	}
	return nil
}

func encodePrivateKey(key ed25519.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, fmt.Errorf("encoding the key: %w", err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: pemType, Bytes: der}), nil
}

func decodePrivateKey(text []byte) (ed25519.PrivateKey, error) {
	block, _ := pem.Decode(text)
	if block == nil || block.Type != pemType {
		return nil, fmt.Errorf("no PEM block %q", pemType)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, err
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("key is a %T, not an Ed25519 key", parsed)
	}
	return key, nil
}

// decodePublicKey decodes a public key as keygen prints it.
func decodePublicKey(text string) (ed25519.PublicKey, error) {
	key, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return nil, usagef("%q is not a public key as keygen prints it", text)
	}
	return key, nil
}
