package serve_test

import (
	"bufio"
	"bytes"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"ebonyferry/internal/cmd/ferryctl"
	"ebonyferry/internal/run/exit"
	"ebonyferry/internal/run/settings"
)

// makeOperatorKey creates an operator's key, writes the private key to a file and returns the public key.
func (f *fixture) makeOperatorKey() []ed25519.PublicKey {
	f.t.Helper()
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		f.t.Fatal(err)
	}
	f.operatorKey = filepath.Join(f.t.TempDir(), "op.key")
	if err := ferryctl.WriteKey(f.operatorKey, private); err != nil {
		f.t.Fatal(err)
	}
	return []ed25519.PublicKey{public}
}

// writeCertificate writes a self-signed certificate for loopback, which is its own authority. It returns the files and
// a pool that trusts it.
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
	f := newFixture(t)
	cert, pool := writeCertificate(t)
	withTLS := func(cfg *settings.Settings) { cfg.TLS = settings.TLS{Callers: cert, Nodes: cert} }
	n1, n2 := f.startNode("n1", withTLS), f.startNode("n2", withTLS)
	waitFor(t, "the nodes list each other", func() bool { return n1.FleetSize() == 2 && n2.FleetSize() == 2 })

	var out, errOut bytes.Buffer
	code := ferryctl.Main(t.Context(), []string{"status", "--ca-file", cert.CertFile, "--nodes", n1.OperatorAddr().String(),
		"--operator", "op", "--key", f.operatorKey}, &out, &errOut)
	if got, want := code, exit.Done; got != want {
		t.Errorf("ferryctl status: got code %d with %q, want %d", got, errOut.String(), want)
	}

	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	sc, closeBody := stream(t, client, "https://"+n1.CallerAddr().String(), "hello #tokens=3")
	defer closeBody()
	if got, last := readStream(sc); got != 3 || last != "data: [DONE]" {
		t.Errorf("got %d tokens and last line %q, want 3 and [DONE]", got, last)
	}
	if _, err := client.Get("https://" + n2.Addr().String() + "/"); err == nil {
		t.Error("a client without a certificate reached the node-to-node listener")
	}
}

// A node that ends notified callers over TLS that their connections end in order. An HTTP/1.0 caller took that for the end of its stream.
func TestPartOfStreamOverTLSIsBrokenOffWhenNodeEnds(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		t.Run(version, func(t *testing.T) {
			f := newFixture(t)
			cert, pool := writeCertificate(t)
			n := f.startNode("n1", func(cfg *settings.Settings) { cfg.TLS = settings.TLS{Callers: cert, Nodes: cert} })
			conn, err := tls.Dial("tcp", n.CallerAddr().String(), &tls.Config{RootCAs: pool})
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
			body := `{"model":"m","stream":true,"prompt":"hello #tokens=100000"}`
			if _, err := fmt.Fprintf(conn, "POST /v1/completions %s\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", version, key, len(body), body); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			n.Stop()
			if rest, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("got %d bytes and the end of a complete answer, want one that is broken off", len(rest))
			}
		})
	}
}
