// Package caller is the HTTP interface with which callers submit jobs and get
// their results.
package caller
