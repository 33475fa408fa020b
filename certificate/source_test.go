package certificate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/lovagecrank/lovagecrank/event"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// authority is a certificate authority for tests.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "authority"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	cert, err := x509.ParseCertificate(der)
	is.NoErr(err)
	return authority{t, cert, key}
}

// write signs a new certificate and writes it with its key and the authority
// to files.
func (a authority) write(files Files, name string, lifetime time.Duration, usages ...x509.ExtKeyUsage) {
	is := is.New(a.t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotAfter:     time.Now().Add(lifetime),
		ExtKeyUsage:  usages,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	is.NoErr(err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	writePEM(a.t, files.Certificate, "CERTIFICATE", der)
	writePEM(a.t, files.Key, "PRIVATE KEY", keyDER)
	writePEM(a.t, files.Authority, "CERTIFICATE", a.cert.Raw)
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	is.New(t).NoErr(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// tempFiles returns paths in a temporary directory.
func tempFiles(t *testing.T) Files {
	dir := t.TempDir()
	return Files{
		Certificate: filepath.Join(dir, "cert.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		Authority:   filepath.Join(dir, "authority.pem"),
	}
}

var bothUsages = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}

// handshake connects a client to a server and returns the common name that each
// side sees of the other, or the error of the side that refused the connection.
func handshake(t *testing.T, server, client *tls.Config) (seenByServer, seenByClient string, err error) {
	a, b := newConnection(t)
	defer a.Close()
	defer b.Close()
	s, c := tls.Server(a, server), tls.Client(b, client)
	done := make(chan error, 1)
	go func() {
		_, err := s.Write([]byte{1})
		a.Close()
		done <- err
	}()
	// The client sees a refusal by the server only when it reads.
	_, clientErr := c.Read(make([]byte, 1))
	b.Close()
	if err := <-done; err != nil {
		return "", "", err
	}
	if clientErr != nil {
		return "", "", clientErr
	}
	return name(s), name(c), nil
}

// newConnection returns both ends of a TCP connection with deadlines.
func newConnection(t *testing.T) (a, b net.Conn) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	b, err = net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	a, err = l.Accept()
	is.NoErr(err)
	deadline := time.Now().Add(5 * time.Second)
	is.NoErr(a.SetDeadline(deadline))
	is.NoErr(b.SetDeadline(deadline))
	return a, b
}

// name returns the common name of the remote certificate, or "" without one.
func name(c *tls.Conn) string {
	certs := c.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		return ""
	}
	return certs[0].Subject.CommonName
}

func load(t *testing.T, files Files, record func(event.Record)) *Source {
	s, err := Load(files, time.Now(), record)
	is.New(t).NoErr(err)
	return s
}

func TestMutualTLS(t *testing.T) {
	is := is.New(t)
	ca, other := newAuthority(t), newAuthority(t)
	sides := map[string]Files{}
	for _, side := range []string{"server", "client", "stranger", "server-only"} {
		sides[side] = tempFiles(t)
	}
	ca.write(sides["server"], "server", time.Hour, bothUsages...)
	ca.write(sides["client"], "client", time.Hour, bothUsages...)
	ca.write(sides["server-only"], "server-only", time.Hour, x509.ExtKeyUsageServerAuth)
	other.write(sides["stranger"], "stranger", time.Hour, bothUsages...)
	server := load(t, sides["server"], nil).ServerConfig()

	seenByServer, seenByClient, err := handshake(t, server, load(t, sides["client"], nil).ClientConfig())
	is.NoErr(err)
	is.Equal(seenByServer, "client")
	is.Equal(seenByClient, "server")

	refused := []*tls.Config{
		load(t, sides["stranger"], nil).ClientConfig(),
		load(t, sides["server-only"], nil).ClientConfig(),
		{InsecureSkipVerify: true}, // presents no certificate
	}
	for _, client := range refused {
		_, _, err := handshake(t, server, client)
		is.True(err != nil)
	}
	_, _, err = handshake(t, load(t, sides["stranger"], nil).ServerConfig(), load(t, sides["client"], nil).ClientConfig())
	is.True(err != nil) // the client refuses a server of another authority
}

func TestReload(t *testing.T) {
	is := is.New(t)
	ca := newAuthority(t)
	files, client := tempFiles(t), tempFiles(t)
	ca.write(files, "first", time.Hour, bothUsages...)
	ca.write(client, "client", time.Hour, bothUsages...)
	var events []event.Record
	source := load(t, files, func(r event.Record) { events = append(events, r) })
	server, clientConfig := source.ServerConfig(), load(t, client, nil).ClientConfig()
	serverName := func() string {
		_, seenByClient, err := handshake(t, server, clientConfig)
		is.NoErr(err)
		return seenByClient
	}
	is.Equal(serverName(), "first")
	source.Reload(time.Now())
	is.Equal(len(events), 0) // nothing has changed

	ca.write(files, "second", time.Hour, bothUsages...)
	source.Reload(time.Now())
	is.Equal(serverName(), "second")
	is.Equal(events[0].Kind, event.CertificateReloaded)

	invalid := []func(){
		func() { is.NoErr(os.WriteFile(files.Key, []byte("half a key"), 0o600)) },
		func() { is.NoErr(os.Remove(files.Certificate)) },
		func() { ca.write(files, "expired", -time.Minute, bothUsages...) },
		func() {
			ca.write(files, "third", time.Hour, bothUsages...)
			is.NoErr(os.WriteFile(files.Authority, nil, 0o600))
		},
	}
	for i, corrupt := range invalid {
		corrupt()
		source.Reload(time.Now())
		source.Reload(time.Now())
		is.Equal(serverName(), "second") // the previous pair stays in use
		is.Equal(len(events), 2+i)       // recorded once
		is.Equal(events[1+i].Kind, event.CertificateRejected)
	}
	ca.write(files, "fourth", time.Hour, bothUsages...)
	source.Reload(time.Now())
	is.Equal(serverName(), "fourth")
}

func TestReplacedAuthority(t *testing.T) {
	is := is.New(t)
	before, after := newAuthority(t), newAuthority(t)
	files, old := tempFiles(t), tempFiles(t)
	before.write(files, "server", time.Hour, bothUsages...)
	before.write(old, "old", time.Hour, bothUsages...)
	source := load(t, files, nil)
	server, client := source.ServerConfig(), load(t, old, nil).ClientConfig()
	_, _, err := handshake(t, server, client)
	is.NoErr(err)
	after.write(files, "server", time.Hour, bothUsages...)
	source.Reload(time.Now())
	_, _, err = handshake(t, server, client)
	is.True(err != nil) // certificates of the previous authority are no longer trusted
}

func TestLoadErrorsIncludeRemedy(t *testing.T) {
	is := is.New(t)
	files := tempFiles(t)
	_, err := Load(files, time.Now(), nil)
	is.True(strings.Contains(err.Error(), "check the path"))
	newAuthority(t).write(files, "x", -time.Minute)
	_, err = Load(files, time.Now(), nil)
	is.True(strings.Contains(err.Error(), "renew it"))
}
