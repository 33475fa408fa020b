// Package load is an open-loop load generator. It submits jobs to running entry
// instances over the callers' interface and reports, for each class, the ratio
// of response times to the ideal. Response times count from the intended
// arrival, so that a slow instance cannot hide its delay by slowing the driver
// (coordinated omission).
package load
