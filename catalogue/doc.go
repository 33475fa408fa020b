// Package catalogue defines the entry type that all documented tables of the
// program share: a code, a title, an explanation and a remedy. The tables of
// errors, log events and metrics provide their rows as entries, for the pages
// under docs and for the explain command.
package catalogue
