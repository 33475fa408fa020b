// Package client is an HTTP client for the callers' and the operators' API of
// an entry instance.
package client
