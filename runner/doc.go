// Package runner runs one instance on a platform whose endpoints are leased:
// it drives the decision code of package pool with the real clock, follows the
// platform's store, and serves callers.
package runner
