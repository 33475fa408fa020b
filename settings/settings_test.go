package settings

import (
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const minimal = "instance: {id: a, data_centre: b}\nplatform: {addresses: ['10.0.0.1:80']}\n"

var update = flag.Bool("update", false, "write docs/SETTINGS.md")

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/*.yaml")
	is.New(t).NoErr(err)
	checked := 0
	for _, file := range files {
		data, err := os.ReadFile(file)
		is.New(t).NoErr(err)
		if !strings.Contains(string(data), "\ninstance:") {
			continue // an example of another kind of file
		}
		checked++
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			s, err := Load(file)
			is.NoErr(err)
			is.True(s.Instance.ID != "")
		})
	}
	is.New(t).True(checked >= 2) // one for each user
}

// TestPageMatchesTable checks that docs/SETTINGS.md is up to date.
func TestPageMatchesTable(t *testing.T) {
	is := is.New(t)
	if *update {
		is.NoErr(os.WriteFile("../docs/SETTINGS.md", []byte(Markdown()), 0o644))
	}
	page, err := os.ReadFile("../docs/SETTINGS.md")
	is.NoErr(err)
	is.Equal(string(page), Markdown()) // run go test ./settings -update
}

func TestDefaultsApply(t *testing.T) {
	is := is.New(t)
	s, err := Parse("f", []byte(minimal))
	is.NoErr(err)
	is.Equal(s.Timeouts.PeerLost, 1500*time.Millisecond)
	is.Equal(s.Listeners.AdvertisedPeer, s.Listeners.Peer)
	is.Equal(s.Limits.BodyBytes, int64(8<<20))
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name, text string
		want       []string
	}{
		{"empty file", "", []string{"f: is empty"}},
		{"not YAML", "a: [", []string{"f: is not YAML"}},
		{"a list", "- a", []string{"f:1: is not a group of keys"}},
		{"second document", minimal + "---\na: b\n", []string{"keep one document"}},
		{"several faults", "instance:\n  id: 'a b'\n  colour: red\nlimits:\n  body_bytes: -1MiB\n  tasks_per_job: .nan\ntimeouts: {stop: 5}\n", []string{
			"f:2: instance.id: \"a b\" is not a name",
			"f:3: instance.colour: is not a setting",
			"f:5: limits.body_bytes: \"-1MiB\" is not a size",
			"f:6: limits.tasks_per_job: \".nan\" is not a count",
			"f:7: timeouts.stop: \"5\" is not a duration",
			"f: instance.data_centre: is missing",
			"f: platform.addresses: is missing",
		}},
		{"key twice", minimal + "trace: {spans_per_job: 1}\ntrace: {spans_per_job: 2}\n", []string{"f:4: trace: is set a second time; keep this line or line 3"}},
		{"misplaced key", minimal + "task_lease: 1s\n", []string{"did you mean timeouts.task_lease?"}},
		{"name for an address", minimal + "listeners: {caller: 'localhost:80'}\n", []string{"listeners.caller: \"localhost:80\" is not an address"}},
		{"group for a value", minimal + "listeners: {caller: {a: b}}\n", []string{"listeners.caller: is not a single value"}},
		{"value for a group", minimal + "listeners: 5\n", []string{"listeners: is not a group"}},
		{"share NaN", minimal + "trace: {sample_share: nan}\n", []string{"trace.sample_share: \"nan\" is not a share"}},
		{"huge size", minimal + "limits: {body_bytes: 9999999999GiB}\n", []string{"limits.body_bytes"}},
		{"certificate without key", minimal + "tls: {caller: {certificate: a}}\n", []string{"tls.caller.key: is missing"}},
		{"peers without authority", minimal + "tls: {peer: {certificate: a, key: b}}\n", []string{"tls.peer.authority: is missing"}},
		{"open operators' listener", minimal + "listeners: {operator: '0.0.0.0:7200'}\n", []string{"f:3: listeners.operator: 0.0.0.0:7200 lets anyone"}},
		{"unreachable peer address", minimal + "listeners: {peer: '0.0.0.0:7300'}\n", []string{"listeners.advertised_peer: 0.0.0.0:7300 cannot be reached"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("f", []byte(tt.text))
			var faults Faults
			is.True(errors.As(err, &faults))
			is.Equal(len(faults), len(tt.want)) // every fault, and no other
			for i, want := range tt.want {
				is.True(strings.Contains(faults[i].Error(), want)) // the fault has its location and remedy
			}
		})
	}
}

func TestOperatorListenerOpenOnPurpose(t *testing.T) {
	is := is.New(t)
	_, err := Parse("f", []byte(minimal+"listeners: {operator: '0.0.0.0:7200', operator_open: true}\n"))
	is.NoErr(err)
}

func TestLoadOfDirectory(t *testing.T) {
	is := is.New(t)
	_, err := Load(t.TempDir())
	is.True(strings.Contains(err.Error(), "is a directory; name the settings file"))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte("a: &a [*a]"))
	f.Add([]byte("? {a: b}\n: c"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f", data)
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v with error %v", s, err)
		}
	})
}
