package peer

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/peer/internal/wire"
	"github.com/lovagecrank/lovagecrank/task"
)

// TestOddEntryKeepsOthers guards against one entry of a list that is not valid, of a sender
// that has passed it on, and that hides the entries beside it and ends the stream.
func TestOddEntryKeepsOthers(t *testing.T) {
	sound := &wire.ListedEndpoint{Id: "e1", Address: "10.0.0.1:80", Slots: 8, Size: &wire.Needs{Cores: 16}}
	tests := []struct {
		name string
		odd  *wire.ListedEndpoint
	}{
		{"negative slots", &wire.ListedEndpoint{Id: "odd", Address: "10.0.0.2:80", Slots: -1}},
		{"a size out of range", &wire.ListedEndpoint{Id: "odd", Address: "10.0.0.2:80", Slots: 8, Size: &wire.Needs{Cores: -1}}},
		{"no address", &wire.ListedEndpoint{Id: "odd", Slots: 8}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			entries := []*wire.ListedEndpoint{tt.odd, sound}
			body, err := decodeBody(&wire.Message{Body: &wire.Message_ListChange{ListChange: &wire.ListChange{After: 1, Cursor: 2, Put: entries}}})
			is.NoErr(err)
			change := body.(message.ListChange)
			is.Equal(len(change.Put), 1)
			is.Equal(change.Put[0].ID, "e1")
			is.Equal(change.Removed, []string{"odd"})

			body, err = decodeBody(&wire.Message{Body: &wire.Message_Lists{Lists: &wire.Lists{
				Endpoints: entries,
				Instances: []*wire.Instance{{Ref: &wire.Ref{Id: "n1"}, Cores: -1}, {Ref: &wire.Ref{Id: "n2"}}},
			}}})
			is.NoErr(err)
			is.Equal(len(body.(message.Lists).Endpoints), 1)
			is.Equal(body.(message.Lists).Instances, []instance.Info{{Ref: instance.Ref{ID: "n2"}}})
		})
	}
}

// TestLargestEntryIsPassedOn guards against an entry that an instance accepts and that its
// peers don't.
func TestLargestEntryIsPassedOn(t *testing.T) {
	is := is.New(t)
	name := make([]byte, 256)
	for i := range name {
		name[i] = 'x'
	}
	info := largestInfo(string(name))
	is.NoErr(info.Check())
	list := message.ListedEndpoint{
		ID: info.ID, Address: info.Address, DataCentre: info.DataCentre, Rack: info.Rack, Slots: info.Slots, Size: info.Size,
		Service: info.Service, Labels: info.Labels, StartedAt: info.StartedAt,
	}
	m := message.Message{From: testRef, To: testRef, Body: message.ListChange{Put: []message.ListedEndpoint{list}}}
	w, err := encode(m)
	is.NoErr(err)
	got, err := decode(w)
	is.NoErr(err)
	is.Equal(got.Body.(message.ListChange).Put[0].Size, info.Size)
	is.Equal(got.Body.(message.ListChange).Put[0].Slots, info.Slots)
	is.Equal(got.Body.(message.ListChange).Put[0].Address, netip.MustParseAddrPort("10.0.0.1:80"))
}

// largestInfo returns an endpoint with the largest numbers that are accepted.
func largestInfo(name string) endpoint.Info {
	return endpoint.Info{
		ID: name, DataCentre: name, Rack: name, Service: name, Labels: []string{name},
		Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: endpoint.MaxSlots,
		Size: task.Needs{Cores: 1 << 16, MemoryBytes: 1 << 50, Accelerators: 1 << 16},
	}
}
