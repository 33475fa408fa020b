package certificate

import (
	"crypto/tls"
	"crypto/x509"
)

// ServerConfig returns the TLS configuration of a listener. With an authority,
// clients must present a certificate that the authority has signed for client
// authentication.
func (s *Source) ServerConfig() *tls.Config {
	cfg := &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.current.Load().pair, nil
		},
	}
	if s.files.Authority != "" {
		// The verification in crypto/tls uses a fixed set of authorities.
		// VerifyConnection uses the current one, which a reload may replace.
		cfg.ClientAuth = tls.RequireAnyClientCert
		cfg.VerifyConnection = func(c tls.ConnectionState) error {
			return s.verify(c, x509.ExtKeyUsageClientAuth)
		}
	}
	return cfg
}

// ClientConfig returns the TLS configuration for connections to servers whose
// certificate the authority has signed. The host names and addresses in the
// certificates are not verified: any certificate of the authority is accepted.
func (s *Source) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().pair, nil
		},
		// The verification in crypto/tls uses a fixed set of authorities and
		// compares host names. VerifyConnection replaces it.
		InsecureSkipVerify: true,
		VerifyConnection: func(c tls.ConnectionState) error {
			return s.verify(c, x509.ExtKeyUsageServerAuth)
		},
	}
}

// verify checks the certificate chain of the remote side against the current
// authority. Without an authority, no certificate is trusted.
func (s *Source) verify(c tls.ConnectionState, usage x509.ExtKeyUsage) error {
	if len(c.PeerCertificates) == 0 {
		return errNoCertificate
	}
	roots := s.current.Load().pool
	if roots == nil {
		roots = x509.NewCertPool()
	}
	intermediates := x509.NewCertPool()
	for _, cert := range c.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := c.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	return err
}
