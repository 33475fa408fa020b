// Package store is an HTTP client for the platform's services: the table, the
// object store, and the lists of instances and endpoints. docs/PROTOCOLS.md
// specifies the protocol.
package store
