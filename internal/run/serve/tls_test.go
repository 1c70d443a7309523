package serve_test

import (
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"ebonyferry/internal/run/settings"
)

func operatorKeys(t *testing.T) []ed25519.PublicKey {
	t.Helper()
	public, _, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return []ed25519.PublicKey{public}
}

// Writes an authority and a certificate of it for loopback, and returns the files and the pool.
func writeCertificate(t *testing.T) (settings.Certificate, *x509.CertPool) {
	t.Helper()
	dir := t.TempDir()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	cert := settings.Certificate{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"), CAFile: filepath.Join(dir, "cert.pem")}
	for path, block := range map[string]*pem.Block{cert.CertFile: {Type: "CERTIFICATE", Bytes: der}, cert.KeyFile: {Type: "EC PRIVATE KEY", Bytes: keyDER}} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	return cert, pool
}

func TestNodesOverTLS(t *testing.T) {
	w := newWorld(t)
	cert, pool := writeCertificate(t)
	withTLS := func(cfg *settings.Settings) { cfg.TLS = settings.TLS{Callers: cert, Nodes: cert} }
	n1, n2 := w.node("n1", withTLS), w.node("n2", withTLS)
	waitFor(t, "both nodes see each other", func() bool { return n1.FleetSize() == 2 && n2.FleetSize() == 2 })

	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	sc, closeBody := stream(t, client, "https://"+n1.CallerAddr().String(), "hello #tokens=3")
	defer closeBody()
	if got, last := readAll(sc); got != 3 || last != "data: [DONE]" {
		t.Errorf("got %d tokens and last line %q, want 3 and [DONE]", got, last)
	}
	if _, err := client.Get("https://" + n2.Addr().String() + "/"); err == nil {
		t.Error("a client without a certificate reached the node-to-node listener")
	}
}
