package instance

import "net/netip"

// usualCores is the size assumed for an instance that does not report one.
const usualCores = 1

type (
	// Ref identifies one incarnation of an entry instance. A restarted instance
	// has the same ID and a higher Incarnation, unless its clock was set back.
	Ref struct {
		DataCentre  string
		ID          string
		Incarnation uint64
	}

	// Info describes an entry instance.
	Info struct {
		Ref
		Rack    string
		Address netip.AddrPort
		// Draining means that the instance is draining: it has begun its
		// planned shutdown.
		Draining bool
		// Cores is the instance's processor capacity, in cores; zero if
		// unknown. See [Info.Size].
		Cores float64
	}
)

// Size returns the instance's processor capacity, in cores.
func (i Info) Size() float64 {
	if i.Cores <= 0 {
		return usualCores
	}
	return i.Cores
}
