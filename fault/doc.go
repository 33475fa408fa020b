// Package fault defines the typed errors that callers and operators see. Each
// kind of error is a row of one table, which includes its remedy.
// docs/ERRORS.md is generated from the table.
package fault
