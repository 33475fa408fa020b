package instance

import "net/netip"

// usualCores is the size that counts for an instance that tells none.
const usualCores = 1

type (
	// Ref names one incarnation of an entry instance. A restarted instance
	// has the same ID and a higher Incarnation.
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
		// Leaving tells that it has begun its planned stop.
		Leaving bool
		// Cores is how much of a processor it has; zero if that is not known.
		// See [Info.Size].
		Cores float64
	}
)

// Size returns how much of a processor the instance has, in cores.
func (i Info) Size() float64 {
	if i.Cores <= 0 {
		return usualCores
	}
	return i.Cores
}
