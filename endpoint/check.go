package endpoint

import (
	"errors"
	"fmt"
	"time"

	"github.com/lovagecrank/lovagecrank/internal/address"
)

const (
	// MaxSlots is the largest number of slots of an endpoint that is believed. Sums of
	// the slots of a thousand such endpoints fit into a message.
	MaxSlots = 1 << 12
	// maxCores and maxAccelerators are far more than any endpoint has, and maxMemory is
	// 1 PiB.
	maxCores        = 1 << 16
	maxAccelerators = 1 << 16
	maxMemory       = 1 << 50
	// maxNameBytes is the maximum length of an ID, a label or another name; messages
	// between instances have the same limit.
	maxNameBytes = 256
	maxLabels    = 64
)

// maxStart is the latest start of an endpoint that is believed: the last time that
// common formats can express.
var maxStart = time.Date(9999, time.December, 31, 0, 0, 0, 0, time.UTC)

// Check returns an error if no endpoint can be as described. Entries come from outside,
// and what one of them says must not change what is decided for the others.
func (i Info) Check() error {
	names := append([]string{i.ID, i.DataCentre, i.Rack, i.Service}, i.Labels...)
	for _, n := range names {
		if len(n) > maxNameBytes {
			return fmt.Errorf("a name or a label has %d bytes, more than %d", len(n), maxNameBytes)
		}
	}
	switch {
	case i.ID == "":
		return errors.New("it has no ID")
	case len(i.Labels) > maxLabels:
		return fmt.Errorf("it has %d labels, more than %d", len(i.Labels), maxLabels)
	case i.Slots < 1 || i.Slots > MaxSlots:
		return fmt.Errorf("%d slots are not from 1 to %d", i.Slots, MaxSlots)
	case !(i.Size.Cores >= 0 && i.Size.Cores <= maxCores) || i.Size.MemoryBytes < 0 || i.Size.MemoryBytes > maxMemory ||
		i.Size.Accelerators < 0 || i.Size.Accelerators > maxAccelerators:
		return errors.New("its size is out of range")
	case i.StartedAt.After(maxStart):
		return errors.New("its start is out of range")
	}
	return address.Check(i.Address)
}
