package runner

import (
	"maps"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/pool"
)

type (
	// EvacuationChange has changes of the operators' requests to evacuate data
	// centres.
	EvacuationChange struct {
		// Full means that Put is the complete list.
		Full bool
		// Put are the data centres with a request, and Removed those whose request
		// was taken back.
		Put, Removed []string
		// InvalidEntries has an error for each entry that names no data centre.
		InvalidEntries []error
	}

	// evacuationList is the set of evacuated data centres that the reads from the
	// store have shown.
	evacuationList map[string]bool
)

// apply applies the changes of a read.
func (l evacuationList) apply(c EvacuationChange) {
	if c.Full {
		clear(l)
	}
	for _, dc := range c.Put {
		l[dc] = true
	}
	for _, dc := range c.Removed {
		delete(l, dc)
	}
}

// applyEvacuations applies the changes that a read has shown to the list and
// passes it on as of the read.
func (r *Runner) applyEvacuations(list evacuationList, c ConfigurationChange) {
	for _, err := range c.Evacuations.InvalidEntries {
		r.Record(time.Now(), event.Record{Kind: event.StoreRowInvalid, Subject: "evacuation", Detail: err.Error()})
	}
	list.apply(c.Evacuations)
	e := message.Evacuations{Version: c.Cursor, DataCentres: slices.Sorted(maps.Keys(list))}
	r.apply(func(now time.Time, m *pool.Machine, out *pool.Output) { m.SetEvacuations(now, e, out) })
}
