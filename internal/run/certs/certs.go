// Package certs provides TLS configurations that reload their certificates when the files change.
//
// Nodes reach each other by IP address, so a peer's certificate is checked against the CA that signs node certificates,
// and not against a host name. Any peer that holds a certificate of that CA is accepted as a node.
//
// New reads the files into a Source, whose Server and Client methods return the configurations.
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

// checkInterval is the minimum time between checks of the files for changes.
const checkInterval = time.Second

// ErrNoPeerCertificate means that the peer presented no certificate.
var ErrNoPeerCertificate = errors.New("peer presented no certificate")

// Source holds a certificate and the CA against which the peer's certificate is checked. It is safe for concurrent use.
type Source struct {
	certFile, keyFile, caFile string

	mu         sync.Mutex
	checkedAt  time.Time        // when the files were last checked for changes; guarded by mu
	modifiedAt time.Time        // newest modification time of the files that were read; guarded by mu
	cert       *tls.Certificate // guarded by mu
	pool       *x509.CertPool   // nil without a CA; guarded by mu
}

// New returns a Source with the contents of the files. caFile may be empty.
func New(certFile, keyFile, caFile string) (*Source, error) {
	s := &Source{certFile: certFile, keyFile: keyFile, caFile: caFile}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s, s.load(time.Now())
}

// load reads the files if one has changed. The caller holds mu.
func (s *Source) load(now time.Time) error {
	s.checkedAt = now
	modifiedAt, err := s.newestModTime()
	if err != nil || modifiedAt.Equal(s.modifiedAt) {
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
	s.cert, s.pool, s.modifiedAt = &cert, pool, modifiedAt
	return nil
}

// newestModTime returns the newest modification time of the files.
func (s *Source) newestModTime() (time.Time, error) {
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

// LoadPool reads the CA certificates of a file in PEM.
func LoadPool(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("CA file: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("CA file %s contains no certificate in PEM", path)
	}
	return pool, nil
}

// current returns the current certificate and CA. If the files cannot be read, it returns the previous ones, since a
// half-written renewal must not stop service.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.checkedAt) >= checkInterval {
		_ = s.load(now)
	}
	return s.cert, s.pool
}

// Server returns the configuration of a listener. With a CA, clients must present a certificate of that CA.
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

// verifier returns a function that checks the peer's chain against the current CA.
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
