package instance

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/lovagecrank/lovagecrank/internal/address"
)

const (
	// usualCores is the size assumed for an instance that does not report one.
	usualCores = 1
	// MaxCores is far more than any instance has.
	MaxCores = 1 << 16
	// maxNameBytes is the maximum length of an ID or another name; messages between
	// instances have the same limit.
	maxNameBytes = 256
)

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

// Check returns an error if no instance can be as described.
func (i Info) Check() error {
	for _, n := range []string{i.ID, i.DataCentre, i.Rack} {
		if len(n) > maxNameBytes {
			return fmt.Errorf("a name has %d bytes, more than %d", len(n), maxNameBytes)
		}
	}
	switch {
	case i.ID == "" || i.DataCentre == "":
		return errors.New("it has no ID or no data centre")
	case !(i.Cores >= 0 && i.Cores <= MaxCores):
		return errors.New("its cores are out of range")
	}
	return address.Check(i.Address)
}

// Size returns the instance's processor capacity, in cores.
func (i Info) Size() float64 {
	if i.Cores <= 0 {
		return usualCores
	}
	return i.Cores
}
