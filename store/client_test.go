package store

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/storage"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func serve(t *testing.T, h http.HandlerFunc) netip.AddrPort {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func client(t *testing.T, addresses ...netip.AddrPort) *Client {
	c := New(Config{Addresses: addresses, CallTimeout: 2 * time.Second})
	t.Cleanup(c.Close)
	return c
}

// unusedAddress returns an address on which nothing listens.
func unusedAddress(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

func reply(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.WriteHeader(status)
		io.WriteString(w, body)
	}
}

func TestTransactionOutcomes(t *testing.T) {
	write := storage.Call{Number: 9, Insert: []storage.Write{{Condition: storage.Condition{Key: "k"}, Value: []byte("v")}}}
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    storage.Outcome
	}{
		{"applied", reply(200, `{"rows":[{"key":"k","value":"dg==","version":1}],"applied":[true]}`), storage.Done},
		{"refused as not applied", reply(503, `{"fate":"not_applied","reason":"overloaded"}`), storage.NotApplied},
		{"503 without a fate", reply(503, `overloaded`), storage.Unknown},
		{"not applied with another status", reply(500, `{"fate":"not_applied"}`), storage.Unknown},
		{"not found", reply(404, `{}`), storage.Unknown},
		{"rows of another call", reply(200, `{"rows":[{"key":"z","version":1}],"applied":[true]}`), storage.Unknown},
		{"rows without applied", reply(200, `{"rows":[{"key":"k","version":1}]}`), storage.Unknown},
		{"truncated reply", reply(200, `{"rows":[`), storage.Unknown},
		{"connection reset after the request", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, storage.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			calls := make(chan struct{}, 10)
			countingHandler := func(w http.ResponseWriter, r *http.Request) {
				calls <- struct{}{}
				tt.handler(w, r)
			}
			c := client(t, serve(t, countingHandler))
			rep := c.Do(t.Context(), write)
			is.Equal(rep.Outcome, tt.want)
			is.Equal(rep.Number, uint64(9))
			is.Equal(len(calls), 1) // a write is not resent
			if rep.Outcome == storage.Done {
				is.Equal(rep.Rows, []storage.Row{{Key: "k", Value: []byte("v"), Version: 1}})
				is.Equal(rep.Applied, []bool{true})
			}
		})
	}
}

func TestNextAddressOnlyIfNotApplied(t *testing.T) {
	is := is.New(t)
	get := storage.Call{Get: []string{"k"}}
	answer := reply(200, `{"key":"k","version":0}`)
	c := client(t, unusedAddress(t), serve(t, answer))
	is.Equal(c.Do(t.Context(), get).Outcome, storage.Done)
	is.Equal(c.preferred.Load(), int32(1)) // the next call starts with the address that answered
	c = client(t, unusedAddress(t))
	is.Equal(c.Do(t.Context(), storage.Call{Insert: []storage.Write{{}}}).Outcome, storage.NotApplied)
	second := make(chan struct{}, 1)
	c = client(t, serve(t, reply(500, "")), serve(t, func(http.ResponseWriter, *http.Request) { second <- struct{}{} }))
	is.Equal(c.Do(t.Context(), storage.Call{Insert: []storage.Write{{}}}).Outcome, storage.Unknown)
	is.Equal(len(second), 0) // a write with an unknown outcome is not sent to another address
}

func TestTimedOutCallHasUnknownOutcome(t *testing.T) {
	is := is.New(t)
	address := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	c := New(Config{Addresses: []netip.AddrPort{address}, CallTimeout: 50 * time.Millisecond})
	defer c.Close()
	is.Equal(c.Do(t.Context(), storage.Call{Insert: []storage.Write{{}}}).Outcome, storage.Unknown)
}

func TestLists(t *testing.T) {
	is := is.New(t)
	var put []byte
	c := client(t, serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodPut:
			put, _ = io.ReadAll(r.Body)
			io.WriteString(w, "{}")
		case r.URL.Path == "/v1/instances":
			io.WriteString(w, `{"instances":[{"data_centre":"d","id":"i","address":"10.0.0.1:7","leaving":true}]}`)
		default:
			io.WriteString(w, `{"endpoints":[{"id":"w","address":"bad"}]}`)
		}
	}))
	list, err := c.Instances(t.Context())
	is.NoErr(err)
	want := instance.Info{Ref: instance.Ref{DataCentre: "d", ID: "i"}, Address: netip.MustParseAddrPort("10.0.0.1:7"), Draining: true}
	is.Equal(list, []instance.Info{want})
	_, err = c.Endpoints(t.Context(), "d")
	is.True(err != nil) // a malformed address is an error
	is.NoErr(c.AnnounceInstance(t.Context(), want, time.Second))
	is.Equal(string(put), `{"data_centre":"d","id":"i","rack":"","address":"10.0.0.1:7","leaving":true,"lifetime_ms":1000}`)
}

func TestObjects(t *testing.T) {
	is := is.New(t)
	objects := map[string][]byte{}
	c := client(t, serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			objects[r.URL.Path], _ = io.ReadAll(r.Body)
			return
		}
		data, ok := objects[r.URL.Path]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
		}
		w.Write(data)
	}))
	_, found, err := c.GetObject(t.Context(), "a b")
	is.NoErr(err)
	is.True(!found)
	is.Equal(c.PutObject(t.Context(), "a b", []byte("x")), storage.Done)
	data, found, err := c.GetObject(t.Context(), "a b")
	is.NoErr(err)
	is.True(found)
	is.Equal(string(data), "x")
}

func TestUnchangedList(t *testing.T) {
	is := is.New(t)
	var requests []string
	c := client(t, serve(t, func(w http.ResponseWriter, r *http.Request) {
		requests = append(requests, r.URL.RequestURI()+" "+r.Header.Get("If-None-Match"))
		w.Header().Set("ETag", `"1"`)
		if r.Header.Get("If-None-Match") == `"1"` {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		io.WriteString(w, `{"endpoints":[]}`)
	}))
	_, err := c.Endpoints(t.Context(), "sofia 1")
	is.NoErr(err)
	_, err = c.Endpoints(t.Context(), "sofia 1")
	is.Equal(err, ErrUnchanged)
	is.Equal(requests, []string{"/v1/endpoints?data_centre=sofia+1 ", `/v1/endpoints?data_centre=sofia+1 "1"`})
}

func TestLargeRowIsTransferredOnlyWhenChanged(t *testing.T) {
	is := is.New(t)
	row := wireRow{Key: "a/b", Value: bytes.Repeat([]byte("x"), minCachedBytes), Version: 1}
	transfers := 0
	c := client(t, serve(t, func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.URL.Path, "/v1/table/rows/a/b")
		body, err := json.Marshal(row)
		is.NoErr(err)
		tag := fmt.Sprintf("%q", fmt.Sprint(len(body), row.Version))
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		transfers++
		w.Write(body)
	}))
	read := func() storage.Row {
		rep := c.Do(t.Context(), storage.Call{Get: []string{"a/b"}})
		is.Equal(rep.Outcome, storage.Done)
		return rep.Rows[0]
	}
	first := read()
	is.Equal(read(), first)
	is.Equal(transfers, 1)
	row.Version = 2
	is.Equal(read().Version, uint64(2))
	row = wireRow{Key: "a/b"} // the row no longer exists
	is.Equal(read().Version, uint64(0))
	is.Equal(transfers, 3)
}

// TestNotModifiedWithoutCachedRow checks that a read fails if the platform
// replies "not modified" although no row is cached.
func TestNotModifiedWithoutCachedRow(t *testing.T) {
	is := is.New(t)
	c := client(t, serve(t, reply(304, "")))
	is.Equal(c.Do(t.Context(), storage.Call{Get: []string{"k"}}).Outcome, storage.NotApplied)
}
