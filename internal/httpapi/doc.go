// Package httpapi is the shared part of the HTTP APIs for callers and
// operators: routing, limits on headers and bodies, replies and errors. Its
// Server bounds what all connections take together.
package httpapi
