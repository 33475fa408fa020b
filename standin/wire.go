package standin

import (
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/instance"
)

type (
	instanceRow struct {
		DataCentre string         `json:"data_centre"`
		ID         string         `json:"id"`
		Rack       string         `json:"rack"`
		Address    netip.AddrPort `json:"address"`
		Draining   bool           `json:"leaving"`
		LifetimeMS int64          `json:"lifetime_ms,omitempty"`
	}

	endpointRow struct {
		ID           string         `json:"id"`
		Address      netip.AddrPort `json:"address"`
		DataCentre   string         `json:"data_centre"`
		Rack         string         `json:"rack"`
		Slots        int            `json:"slots"`
		Connections  int            `json:"connections"`
		Cores        float64        `json:"cores"`
		MemoryBytes  int64          `json:"memory_bytes"`
		Accelerators int            `json:"accelerators"`
		Draining     bool           `json:"leaving"`
		LifetimeMS   int64          `json:"lifetime_ms,omitempty"`
	}

	instanceList struct {
		Instances []instanceRow `json:"instances"`
	}

	endpointList struct {
		Endpoints []endpointRow `json:"endpoints"`
	}

	errorReply struct {
		Reason string `json:"reason"`
	}
)

func newInstanceRow(i instance.Info) instanceRow {
	return instanceRow{DataCentre: i.DataCentre, ID: i.ID, Rack: i.Rack, Address: i.Address, Draining: i.Draining}
}

func newEndpointRow(i endpoint.Info) endpointRow {
	return endpointRow{
		ID: i.ID, Address: i.Address, DataCentre: i.DataCentre, Rack: i.Rack,
		Slots: i.Slots, Connections: i.Connections,
		Cores: i.Size.Cores, MemoryBytes: i.Size.MemoryBytes, Accelerators: i.Size.Accelerators,
		Draining: i.Draining,
	}
}

func writeReply(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		status, body = http.StatusInternalServerError, []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Ignore the error: callers handle replies that are lost.
	_, _ = w.Write(body)
}

// readBody decodes the JSON body of a request into v. If that fails it writes a
// reply with status 400 and returns false.
func readBody(w http.ResponseWriter, r *http.Request, v any) bool {
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(v); err != nil {
		writeReply(w, http.StatusBadRequest, errorReply{Reason: err.Error()})
		return false
	}
	return true
}
