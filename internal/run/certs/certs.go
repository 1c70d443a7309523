// Package certs gives TLS configurations whose certificates are read again when their files change.
//
// Nodes reach each other by IP address, so a peer's certificate is checked against the authority that signs
// node certificates and not against a host name: whoever holds a certificate of that authority is a node.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// Files are looked at again at most this often.
const checkInterval = time.Second

// ErrNoPeerCertificate means that the other side showed no certificate.
var ErrNoPeerCertificate = errors.New("peer showed no certificate")

// Source holds one certificate and the authority that the other side's is checked against. It is safe for
// concurrent use.
type Source struct {
	certFile, keyFile, caFile string

	mu      sync.Mutex
	checked time.Time // when the files were last looked at; guarded by mu
	stamp   time.Time // newest modification time of the files that were read; guarded by mu
	cert    *tls.Certificate
	pool    *x509.CertPool // nil without an authority
}

// New reads the files. caFile may be empty.
func New(certFile, keyFile, caFile string) (*Source, error) {
	s := &Source{certFile: certFile, keyFile: keyFile, caFile: caFile}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s, s.load(time.Now())
}

// Reads the files anew if one has changed. The caller holds mu.
func (s *Source) load(now time.Time) error {
	s.checked = now
	stamp, err := s.newest()
	if err != nil || stamp.Equal(s.stamp) {
		return err
	}
	cert, err := tls.LoadX509KeyPair(s.certFile, s.keyFile)
	if err != nil {
		return fmt.Errorf("certificate %s with key %s: %w", s.certFile, s.keyFile, err)
	}
	pool, err := s.readPool()
	if err != nil {
		return err
	}
	s.cert, s.pool, s.stamp = &cert, pool, stamp
	return nil
}

// Returns the newest modification time of the files.
func (s *Source) newest() (time.Time, error) {
	var newest time.Time
	for _, path := range []string{s.certFile, s.keyFile, s.caFile} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return newest, fmt.Errorf("certificate file: %w", err)
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

func (s *Source) readPool() (*x509.CertPool, error) {
	if s.caFile == "" {
		return nil, nil
	}
	return LoadPool(s.caFile)
}

// LoadPool reads the certificates of a file in PEM.
func LoadPool(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("authority file: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("authority file %s holds no certificate in PEM", path)
	}
	return pool, nil
}

// Returns the present certificate and authority. Files that cannot be read leave the last ones in use, since a
// half-written renewal must not stop service.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.checked) >= checkInterval {
		_ = s.load(now)
	}
	return s.cert, s.pool
}

// Server returns the configuration of a listener. With an authority, clients must show a certificate of it.
func (s *Source) Server() *tls.Config {
	cfg := &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := s.current()
			return cert, nil
		},
	}
	if s.caFile != "" {
		cfg.ClientAuth = tls.RequireAnyClientCert
		cfg.VerifyConnection = s.verifier(x509.ExtKeyUsageClientAuth)
	}
	return cfg
}

// Client returns the configuration for connections to other nodes.
func (s *Source) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := s.current()
			return cert, nil
		},
		InsecureSkipVerify: true, // VerifyConnection checks the chain; addresses are not host names
		VerifyConnection:   s.verifier(x509.ExtKeyUsageServerAuth),
	}
}

// Returns a check of the peer's chain against the present authority.
func (s *Source) verifier(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return ErrNoPeerCertificate
		}
		_, pool := s.current()
		opts := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{usage}}
		for _, cert := range state.PeerCertificates[1:] {
			opts.Intermediates.AddCert(cert)
		}
		_, err := state.PeerCertificates[0].Verify(opts)
		return err
	}
}
