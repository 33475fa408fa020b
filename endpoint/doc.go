// Package endpoint tracks the endpoints, which run tasks: their size, health
// and speed.
//
// A Tracker rates endpoints by the outcomes that this instance observes and by
// reports from the other instances of its data centre. It compares an endpoint
// with the other endpoints of its data centre, not with fixed limits, so that a
// fault of this instance's network or of the tasks is not mistaken for a fault
// of the endpoints.
package endpoint
