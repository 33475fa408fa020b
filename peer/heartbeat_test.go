package peer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
)

const (
	// frameBytes is the overhead of gRPC and HTTP/2 for a message, and
	// segmentBytes that of TCP and IP for a segment. An acknowledgement is one
	// segment.
	frameBytes   = 5 + 9
	segmentBytes = 52
	// controlBytes limits the control traffic of an instance, sent and received,
	// in bytes per second.
	controlBytes = 19_000
)

// TestHeartbeatBytes counts the bytes of the heartbeats that one instance sends
// and receives, at the current size of the system and at the sizes expected
// within two years.
func TestHeartbeatBytes(t *testing.T) {
	tests := []struct{ dataCentres, perDataCentre int }{{3, 2}, {5, 4}, {5, 8}}
	for _, tt := range tests {
		for _, racks := range []int{0, 4} {
			t.Run(fmt.Sprintf("%d instances, %d racks reported", tt.dataCentres*tt.perDataCentre, racks), func(t *testing.T) {
				is := is.New(t)
				self := instanceInfo(0, 0)
				m := instance.New(instance.Settings{Self: self}, time.Unix(0, 0))
				var out instance.Output
				now := time.Unix(0, 0)
				var bytes int
				const seconds = 60
				for now.Before(time.Unix(seconds, 0)) {
					out = instance.Output{}
					for dc := range tt.dataCentres {
						for i := range tt.perDataCentre {
							m.HandleHeartbeat(now, instanceInfo(dc, i), &out)
						}
					}
					m.Tick(now, &out)
					for _, h := range out.Heartbeats {
						bytes += heartbeatBytes(t, self, h, racks)
					}
					now = now.Add(10 * time.Millisecond)
				}
				bytesPerSecond := 2 * bytes / seconds
				t.Logf("%d bytes per second, sent and received", bytesPerSecond)
				is.True(bytesPerSecond <= controlBytes)
			})
		}
	}
}

func instanceInfo(dc, i int) instance.Info {
	return instance.Info{
		Ref:     instance.Ref{DataCentre: fmt.Sprintf("sofia-%d", dc), ID: fmt.Sprintf("entry-%d-%d", dc, i), Incarnation: 1_900_000_000_000_000_000},
		Rack:    "rack-01",
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 20, byte(dc), byte(i)}), 7443),
	}
}

// heartbeatBytes returns the bytes on the wire of one heartbeat and of its
// acknowledgement.
func heartbeatBytes(t *testing.T, self instance.Info, h instance.Heartbeat, racks int) int {
	n := message.Heartbeat{Info: self, ConfigurationVersion: 300, ExpectedWaits: make([]time.Duration, 6)}
	for i := range n.ExpectedWaits {
		n.ExpectedWaits[i] = 1234567890
	}
	if h.SameDataCentre {
		for i := range racks {
			n.Signals = append(n.Signals, message.Signal{Rack: fmt.Sprintf("rack-%02d", i), Speed: 0.97, Samples: 256})
		}
	}
	w, err := encode(message.Message{From: self.Ref, To: h.To.Ref, Body: n})
	if err != nil {
		t.Fatal(err)
	}
	return proto.Size(w) + frameBytes + 2*segmentBytes
}
