package serve

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/settings"
	"github.com/lovagecrank/lovagecrank/standin"
)

// writeSelfSigned writes a certificate that is its own authority.
func writeSelfSigned(t *testing.T) settings.Files {
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	dir := t.TempDir()
	f := settings.Files{Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	f.Authority = f.Certificate
	is.NoErr(os.WriteFile(f.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	is.NoErr(os.WriteFile(f.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), 0o600))
	return f
}

// newTLSClient returns a client that trusts the files' authority. If
// withCertificate is set, it presents their certificate.
func newTLSClient(t *testing.T, f settings.Files, withCertificate bool) *http.Client {
	is := is.New(t)
	authority, err := os.ReadFile(f.Authority)
	is.NoErr(err)
	cfg := &tls.Config{RootCAs: x509.NewCertPool()}
	is.True(cfg.RootCAs.AppendCertsFromPEM(authority))
	if withCertificate {
		pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
		is.NoErr(err)
		cfg.Certificates = []tls.Certificate{pair}
	}
	transport := &http.Transport{TLSClientConfig: cfg}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// The callers' listener accepts TLS without client certificates, the operators'
// listener only clients with a certificate of its authority.
func TestListenersOverTLS(t *testing.T) {
	is := is.New(t)
	c := &cluster{t: t, platform: standin.NewPlatform(standin.PlatformOptions{})}
	server := httptest.NewServer(c.platform)
	defer server.Close()
	c.configure(addressOfServer(server))
	files := writeSelfSigned(t)
	n := c.addInstance("entry-0", addressOfServer(server), func(cfg *settings.Settings) {
		cfg.TLS.Caller = settings.Files{Certificate: files.Certificate, Key: files.Key}
		cfg.TLS.Operator = files
		cfg.TLS.Peer = files
	})
	operators := "https://" + n.addresses.Operator.String() + "/v1/configuration"
	tests := []struct {
		name, url string
		client    *http.Client
		want      bool
	}{
		{"caller", "https://" + n.addresses.Caller.String() + "/healthz", newTLSClient(t, files, false), true},
		{"caller without TLS", "http://" + n.addresses.Caller.String() + "/healthz", &http.Client{}, false},
		{"caller that trusts another", "https://" + n.addresses.Caller.String() + "/healthz", newTLSClient(t, writeSelfSigned(t), false), false},
		{"operator", operators, newTLSClient(t, files, true), true},
		{"operator without a certificate", operators, newTLSClient(t, files, false), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			res, err := tt.client.Get(tt.url)
			if err != nil {
				is.True(!tt.want) // refused
				return
			}
			defer res.Body.Close()
			body, err := io.ReadAll(res.Body)
			is.NoErr(err)
			is.Equal(res.StatusCode == http.StatusOK && strings.HasPrefix(string(body), "{"), tt.want)
		})
	}
	is.NoErr(os.WriteFile(files.Key, []byte("half a key"), 0o600))
	_, err := loadCertificates(settings.TLS{Operator: files}, nil)
	is.True(err != nil && strings.Contains(err.Error(), "tls.operator")) // an instance can't start with a broken key
}
