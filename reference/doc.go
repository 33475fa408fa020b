// Package reference serves the jobs of a log from one queue that sees all endpoints at
// once. Its result is a bound to compare an installation's answers with: it knows nothing
// of messages, cuts, failed runs and instances that are down.
package reference
