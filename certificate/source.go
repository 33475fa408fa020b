package certificate

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
)

type (
	// Files names the PEM files of a certificate, its private key and an
	// authority.
	Files struct {
		Certificate string
		Key         string
		// Authority is the certificate authority that must have signed the
		// certificate of the remote side. If it is empty, a listener requests
		// no client certificate and a client trusts no server.
		Authority string
	}

	// Source holds the current certificate and authority. Its TLS
	// configurations are safe for concurrent use; Reload must not be called
	// concurrently.
	Source struct {
		files   Files
		record  func(event.Record)
		current atomic.Pointer[material]
		// rejected is the last content that could not be used. It is kept so
		// that the same content is reported only once. It needs no lock, since
		// only one goroutine calls Reload.
		rejected *contents
	}

	// contents are the raw bytes of the files.
	contents struct {
		certificate, key, authority []byte
	}

	// material is the parsed and verified content of the files. It is
	// immutable.
	material struct {
		contents contents
		pair     tls.Certificate
		pool     *x509.CertPool
	}
)

var errNoCertificate = errors.New("the remote side presented no certificate; use one signed by the authority")

// Load reads and checks the files. It calls record, which may be nil, with the
// events of later reloads.
func Load(files Files, now time.Time, record func(event.Record)) (*Source, error) {
	if record == nil {
		record = func(event.Record) {}
	}
	s := &Source{files: files, record: record}
	read, err := s.read()
	if err != nil {
		return nil, err
	}
	m, err := s.check(read, now)
	if err != nil {
		return nil, err
	}
	s.current.Store(m)
	return s, nil
}

// Watch calls Reload at each interval until the context ends.
func (s *Source) Watch(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.Reload(now)
		}
	}
}

// Reload reads the files again. If they changed and are valid, new connections
// use them. If they are not valid, the previous ones stay in use. Each outcome
// is recorded once. Only one goroutine may call Reload at a time.
func (s *Source) Reload(now time.Time) {
	read, err := s.read()
	if err != nil {
		s.reject(&contents{}, err)
		return
	}
	if read.equal(&s.current.Load().contents) {
		s.rejected = nil
		return
	}
	m, err := s.check(read, now)
	if err != nil {
		s.reject(read, err)
		return
	}
	s.rejected = nil
	s.current.Store(m)
	s.record(event.Record{Kind: event.CertificateReloaded, Subject: s.files.Certificate, Detail: "valid until " + m.pair.Leaf.NotAfter.UTC().Format(time.RFC3339)})
}

// reject records that the content cannot be used, once for the same content.
func (s *Source) reject(read *contents, err error) {
	if s.rejected != nil && s.rejected.equal(read) {
		return
	}
	s.rejected = read
	s.record(event.Record{Kind: event.CertificateRejected, Subject: s.files.Certificate, Detail: err.Error()})
}

// read reads the files without checking them.
func (s *Source) read() (*contents, error) {
	var (
		c   contents
		err error
	)
	if c.certificate, err = os.ReadFile(s.files.Certificate); err != nil {
		return nil, fmt.Errorf("cannot read the certificate; check the path and its permissions: %w", err)
	}
	if c.key, err = os.ReadFile(s.files.Key); err != nil {
		return nil, fmt.Errorf("cannot read the private key; check the path and its permissions: %w", err)
	}
	if s.files.Authority == "" {
		return &c, nil
	}
	if c.authority, err = os.ReadFile(s.files.Authority); err != nil {
		return nil, fmt.Errorf("cannot read the authority; check the path and its permissions: %w", err)
	}
	return &c, nil
}

// check parses the contents and returns an error if they are invalid or the
// certificate has expired.
func (s *Source) check(c *contents, now time.Time) (*material, error) {
	pair, err := tls.X509KeyPair(c.certificate, c.key)
	if err != nil {
		return nil, fmt.Errorf("cannot use certificate %s and key %s; provide a matching pair in PEM format: %w", s.files.Certificate, s.files.Key, err)
	}
	if now.After(pair.Leaf.NotAfter) {
		return nil, fmt.Errorf("certificate %s expired at %s; renew it", s.files.Certificate, pair.Leaf.NotAfter.UTC().Format(time.RFC3339))
	}
	m := &material{contents: *c, pair: pair}
	if s.files.Authority == "" {
		return m, nil
	}
	m.pool = x509.NewCertPool()
	if !m.pool.AppendCertsFromPEM(c.authority) {
		return nil, fmt.Errorf("authority %s contains no PEM certificate; provide one", s.files.Authority)
	}
	return m, nil
}

func (c *contents) equal(other *contents) bool {
	return bytes.Equal(c.certificate, other.certificate) &&
		bytes.Equal(c.key, other.key) &&
		bytes.Equal(c.authority, other.authority)
}
