// Package serve runs one entry instance. It calls the state machine of package
// entry with the real clock and the inputs from the network, and executes the
// resulting actions with the clients of endpoints, platform and peers.
package serve
