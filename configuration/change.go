package configuration

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/lovagecrank/lovagecrank/class"
	"github.com/lovagecrank/lovagecrank/team"
)

// maxRecent is the number of recent changes that a document records.
const maxRecent = 32

// Apply returns the next version of d with c applied, and all faults of that
// version and of the change. The version is valid only if there are no faults.
func (d Document) Apply(c Change) (Document, []string) {
	faults := c.deletionFaults(d)
	next := Document{
		Version:  d.Version + 1,
		ChangeID: c.ID,
		Classes:  merge(d.Classes, c.SetClasses, c.DeleteClasses, func(x class.Class) string { return x.Name }),
		Teams:    merge(d.Teams, c.SetTeams, c.DeleteTeams, func(x team.Team) string { return x.Name }),
	}
	next.Recent = append(slices.Clone(d.Recent), Applied{ChangeID: c.ID, Version: next.Version, Summary: c.Summary()})
	next.Recent = next.Recent[max(0, len(next.Recent)-maxRecent):]
	faults = append(faults, next.Faults()...)
	return next, faults
}

// merge returns a copy of list, sorted by name, without the deleted elements
// and with the changed ones added or replaced.
func merge[T any](list, changed []T, deleted []string, name func(T) string) []T {
	out := make([]T, 0, len(list)+len(changed))
	for _, x := range list {
		replaced := slices.ContainsFunc(changed, func(c T) bool { return name(c) == name(x) })
		if !replaced && !slices.Contains(deleted, name(x)) {
			out = append(out, x)
		}
	}
	out = append(out, changed...)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return out
}

// Summary returns one line that lists what the change sets and deletes.
func (c Change) Summary() string {
	var parts []string
	for _, x := range c.SetClasses {
		parts = append(parts, "class "+x.Name+" set")
	}
	for _, name := range c.DeleteClasses {
		parts = append(parts, "class "+name+" deleted")
	}
	for _, x := range c.SetTeams {
		parts = append(parts, "team "+x.Name+" set")
	}
	for _, name := range c.DeleteTeams {
		parts = append(parts, "team "+name+" deleted")
	}
	if len(parts) > maxSummaryParts {
		more := len(parts) - maxSummaryParts
		parts = append(parts[:maxSummaryParts], fmt.Sprintf("%d more", more))
	}
	return strings.Join(parts, ", ")
}

// Since returns one line that lists the changes after the given version, as far
// as d records them.
func (d Document) Since(version uint64) string {
	var parts []string
	for _, a := range d.Recent {
		if a.Version > version {
			parts = append(parts, fmt.Sprintf("version %d (change %s): %s", a.Version, a.ChangeID, a.Summary))
		}
	}
	if len(parts) == 0 {
		return fmt.Sprintf("version %d is in force", d.Version)
	}
	return strings.Join(parts, "; ")
}
