package command

import (
	"fmt"
	"io"
)

type (
	instanceList struct {
		Instances []instanceView `json:"instances"`
	}

	instanceView struct {
		DataCentre           string `json:"data_centre"`
		ID                   string `json:"id"`
		Rack                 string `json:"rack"`
		Address              string `json:"address"`
		Leaving              bool   `json:"leaving"`
		Self                 bool   `json:"self"`
		Live                 bool   `json:"live"`
		Listed               bool   `json:"listed"`
		ConfigurationVersion uint64 `json:"configuration_version"`
		// StoreReachable and Ready are set only for the instance that sent the
		// list; they are nil for all others.
		StoreReachable *bool `json:"store_reachable"`
		Ready          *bool `json:"ready"`
	}

	endpointList struct {
		Endpoints []endpointView `json:"endpoints"`
	}

	endpointView struct {
		ID         string  `json:"id"`
		Address    string  `json:"address"`
		DataCentre string  `json:"data_centre"`
		Rack       string  `json:"rack"`
		Slots      int     `json:"slots"`
		Leaving    bool    `json:"leaving"`
		Usable     int     `json:"usable"`
		State      string  `json:"state"`
		Reason     string  `json:"reason"`
		Speed      float64 `json:"speed"`
		Running    int     `json:"running"`
	}
)

const (
	instancesPath   = "/v1/instances"
	instanceHeading = "ID\tDATA CENTRE\tRACK\tADDRESS\tLIVE\tLISTED\tLEAVING\tVERSION\tREADY\tSTORE REACHABLE"
	endpointsPath   = "/v1/endpoints"
	endpointHeading = "ID\tDATA CENTRE\tRACK\tADDRESS\tSTATE\tRUNNING\tUSABLE\tSLOTS\tSPEED\tREASON"
)

// writeInstances writes one tab-separated row per instance, in the columns of
// instanceHeading.
func writeInstances(l instanceList, w io.Writer) {
	for _, i := range l.Instances {
		id := i.ID
		if i.Self {
			id += " (this)"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n", id, i.DataCentre, orDash(i.Rack), i.Address,
			yesNo(i.Live), yesNo(i.Listed), yesNo(i.Leaving), i.ConfigurationVersion,
			yesNoOrDash(i.Ready), yesNoOrDash(i.StoreReachable))
	}
}

// yesNoOrDash returns yes or no, or a dash if the value is unknown.
func yesNoOrDash(value *bool) string {
	if value == nil {
		return "-"
	}
	return yesNo(*value)
}

// writeEndpoints writes one tab-separated row per endpoint, in the columns of
// endpointHeading.
func writeEndpoints(l endpointList, w io.Writer) {
	for _, e := range l.Endpoints {
		state := e.State
		if e.Leaving {
			state += ", leaving"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%.2f\t%s\n", e.ID, e.DataCentre, orDash(e.Rack), e.Address,
			state, e.Running, e.Usable, e.Slots, e.Speed, orDash(e.Reason))
	}
}
