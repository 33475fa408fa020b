package standin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/matryer/is"
)

func newTestPlatform(t *testing.T, o PlatformOptions) (*Platform, string) {
	t.Helper()
	p := NewPlatform(o)
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return p, server.URL
}

const (
	insertA = `{"writes":[{"key":"a","version":0,"value":"MQ=="}]}`
	getA    = `{"keys":["a","none"]}`
)

func TestPlatformTransaction(t *testing.T) {
	is := is.New(t)
	_, url := newTestPlatform(t, PlatformOptions{})
	var reply transactionReply
	post(url, "/v1/table/transaction", insertA, &reply)
	is.Equal(reply.Applied, []bool{true})
	// Each write has its own condition: the second is applied although the
	// condition of the first fails.
	post(url, "/v1/table/transaction", `{"writes":[{"key":"a","version":0,"value":"Mg=="},{"key":"b","version":0,"value":"Mw=="}]}`, &reply)
	is.Equal(reply.Applied, []bool{false, true})
	is.Equal(reply.Rows[0], tableRow{Key: "a", Value: []byte("1"), Version: 1})

	var rows rowsReply
	post(url, "/v1/table/get", getA, &rows)
	is.Equal(rows.Rows, []tableRow{{Key: "a", Value: []byte("1"), Version: 1}, {Key: "none"}})
	var scanned scanReply
	post(url, "/v1/table/scan", `{"prefix":"","limit":1}`, &scanned)
	is.Equal(scanned.Rows[0].Key, "a")
	is.True(scanned.More)
	post(url, "/v1/table/scan", `{"prefix":"","after":"a","limit":1}`, &scanned)
	is.Equal(scanned.Rows[0].Key, "b")
	is.True(!scanned.More)
}

func TestPlatformFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults PlatformFaults
		status int
		// written reports whether the insert was applied.
		written bool
	}{
		{"no faults", PlatformFaults{}, http.StatusOK, true},
		{"outage", PlatformFaults{Outage: true}, 0, false},
		{"refuse", PlatformFaults{Refuse: true}, http.StatusServiceUnavailable, false},
		{"reply lost", PlatformFaults{LoseReplies: true}, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p, url := newTestPlatform(t, PlatformOptions{})
			p.SetFaults(tt.faults)
			is.Equal(post(url, "/v1/table/transaction", insertA, &transactionReply{}), tt.status)
			is.Equal(p.Counts().RowsWritten == 1, tt.written)
		})
	}
}

func TestPlatformStaleReads(t *testing.T) {
	is := is.New(t)
	p, url := newTestPlatform(t, PlatformOptions{})
	p.SetFaults(PlatformFaults{StaleReads: true})
	post(url, "/v1/table/transaction", insertA, &transactionReply{})
	var rows rowsReply
	post(url, "/v1/table/get", getA, &rows)
	is.Equal(rows.Rows[0].Version, uint64(0))
	p.SetFaults(PlatformFaults{})
	post(url, "/v1/table/get", getA, &rows)
	is.Equal(rows.Rows[0].Version, uint64(1))
}

func TestPlatformLimits(t *testing.T) {
	is := is.New(t)
	p, url := newTestPlatform(t, PlatformOptions{WritesPerSecond: 1})
	refused := 0
	for range 5 {
		if post(url, "/v1/table/transaction", insertA, &transactionReply{}) == http.StatusServiceUnavailable {
			refused++
		}
	}
	is.True(refused > 0)
	is.Equal(p.Counts().Refused, uint64(refused))
}

func TestPlatformLists(t *testing.T) {
	is := is.New(t)
	p, url := newTestPlatform(t, PlatformOptions{})
	p.SetEndpoint(endpoint.Info{ID: "w-2", Draining: true})
	p.SetEndpoint(endpoint.Info{ID: "w-1"})
	p.SetInstance(instance.Info{Ref: instance.Ref{DataCentre: "d", ID: "entry-1"}})
	p.RemoveEndpoint("gone")
	var endpoints endpointList
	get(t, url+"/v1/endpoints", &endpoints)
	is.Equal(len(endpoints.Endpoints), 2)
	is.Equal(endpoints.Endpoints[0].ID, "w-1") // in the order of ids
	is.True(endpoints.Endpoints[1].Draining)
	var instances instanceList
	get(t, url+"/v1/instances", &instances)
	is.Equal(instances.Instances[0].ID, "entry-1")
}

func get(t *testing.T, url string, out any) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		t.Fatal(err)
	}
}
