// Package connection decides which connections of clients a listener keeps when there
// are more than its limit: the one that has waited longest for a request gives way, and
// one whose request is being served never does.
package connection
