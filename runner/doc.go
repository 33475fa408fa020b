// Package runner runs one instance on a platform with leased endpoints. It drives
// a [pool.Machine] with the real clock and network, follows the platform's store,
// and serves callers, the readiness probe and metrics.
package runner
