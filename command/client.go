package command

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/lovagecrank/lovagecrank/client"
)

// defaultCaller is the default address of an instance's callers' listener.
const defaultCaller = "127.0.0.1:7100"

// maxInputBytes limits the size of a job read from a file or standard input.
const maxInputBytes = 64 << 20

// target is the listener that a command connects to.
type target struct {
	address string
	files   client.Files
}

// targetFlags declares the flags that select a listener. The address is the
// default, and the listener's name appears in the help.
func targetFlags(fs *flag.FlagSet, address, listener string) *target {
	t := &target{}
	fs.StringVar(&t.address, "address", address, "connect to the "+listener+" listener at `HOST:PORT`")
	fs.StringVar(&t.files.Authority, "authority", "", "use TLS and trust the certificate authority in the PEM `FILE`")
	fs.StringVar(&t.files.Certificate, "certificate", "", "use TLS and present the client certificate in the PEM `FILE`")
	fs.StringVar(&t.files.Key, "key", "", "read the client certificate's private key from the PEM `FILE`")
	return t
}

func callerFlags(fs *flag.FlagSet) *target { return targetFlags(fs, defaultCaller, "callers'") }

// call sends one request. The body may be nil.
func (t *target) call(ctx context.Context, method, path string, header http.Header, body []byte) (client.Reply, error) {
	c, err := client.New(t.address, t.files)
	if err != nil {
		return client.Reply{}, err
	}
	return c.Call(ctx, method, path, header, body)
}

func decode(body []byte, view any) error {
	if err := json.Unmarshal(body, view); err != nil {
		return fmt.Errorf("unexpected reply; check that the address belongs to an instance: %w", err)
	}
	return nil
}

// writeBody writes a reply's JSON indented.
func writeBody(w io.Writer, body json.RawMessage) error {
	var b bytes.Buffer
	if err := json.Indent(&b, body, "", "  "); err != nil {
		return fmt.Errorf("reply is not JSON: %w", err)
	}
	b.WriteByte('\n')
	_, err := b.WriteTo(w)
	return err
}

// readInput reads the named file, or standard input if the name is "-".
func readInput(s streams, name string) ([]byte, error) {
	if name == "-" {
		return readLimited(s.in, "standard input")
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("cannot read the job; check the path: %w", err)
	}
	defer f.Close()
	return readLimited(f, name)
}

// readLimited reads r to its end. It fails if r has more than maxInputBytes.
func readLimited(r io.Reader, name string) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxInputBytes+1))
	if err != nil {
		return nil, fmt.Errorf("cannot read %s: %w", name, err)
	}
	if len(data) > maxInputBytes {
		return nil, fmt.Errorf("%s is larger than %d bytes; split the job", name, maxInputBytes)
	}
	return data, nil
}
