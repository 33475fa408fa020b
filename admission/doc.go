// Package admission estimates from the work that competes with a job how long the
// job's tasks wait for a slot. It has no clock and no state.
package admission
