package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// authority is a CA for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key := newKey(t)
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "nodes"}, NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{cert: cert, key: key}
}

// source writes a new certificate of a to dir and returns a Source with it.
func (a *authority) source(t *testing.T, dir string, serial int64) *Source {
	t.Helper()
	key := newKey(t)
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, dir, "cert.pem", "CERTIFICATE", der)
	writePEM(t, dir, "key.pem", "EC PRIVATE KEY", keyDER)
	writePEM(t, dir, "ca.pem", "CERTIFICATE", a.cert.Raw)
	src, err := New(filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem"))
	if err != nil {
		t.Fatal(err)
	}
	return src
}

func writePEM(t *testing.T, dir, name, kind string, der []byte) {
	t.Helper()
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// handshake connects client to server and returns the serial number of the certificate that the client received.
func handshake(t *testing.T, server, client *Source) (int64, error) {
	t.Helper()
	ln, err := tls.Listen("tcp", "127.0.0.1:0", server.Server())
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	accepted := make(chan error, 1)
	go func() { accepted <- acceptOne(ln) }()
	conn, err := tls.Dial("tcp", ln.Addr().String(), client.Client())
	if err != nil {
		return 0, errors.Join(err, <-accepted)
	}
	defer conn.Close()
	if err := <-accepted; err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// acceptOne accepts one connection and returns the error of its handshake.
func acceptOne(ln net.Listener) error {
	conn, err := ln.Accept()
	if err != nil {
		return err
	}
	defer conn.Close()
	return conn.(*tls.Conn).Handshake()
}

func TestPeersOfOneAuthorityConnect(t *testing.T) {
	ca := newAuthority(t)
	got, err := handshake(t, ca.source(t, t.TempDir(), 7), ca.source(t, t.TempDir(), 8))
	if err != nil {
		t.Fatal(err)
	}
	if want := int64(7); got != want {
		t.Errorf("serial: got %d, want %d", got, want)
	}
}

func TestPeerOfOtherAuthorityIsRejected(t *testing.T) {
	serverCA, clientCA := newAuthority(t), newAuthority(t)
	if _, err := handshake(t, serverCA.source(t, t.TempDir(), 1), clientCA.source(t, t.TempDir(), 2)); err == nil {
		t.Error("nodes with certificates of different CAs connected")
	}
}

func TestChangedFilesAreReloaded(t *testing.T) {
	ca, dir := newAuthority(t), t.TempDir()
	src := ca.source(t, dir, 1)
	ca.source(t, dir, 2)
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(filepath.Join(dir, "cert.pem"), later, later); err != nil {
		t.Fatal(err)
	}
	src.checkedAt = time.Time{}
	got, err := handshake(t, src, ca.source(t, t.TempDir(), 3))
	if err != nil {
		t.Fatal(err)
	}
	if want := int64(2); got != want {
		t.Errorf("serial: got %d, want %d", got, want)
	}
}
