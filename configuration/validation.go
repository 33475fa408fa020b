package configuration

import (
	"fmt"
	"math"
	"time"
	"unicode"
)

// The bounds of a document.
const (
	// MinTarget and MaxTarget bound a class's target.
	MinTarget = time.Millisecond
	MaxTarget = 24 * time.Hour
	// MaxClasses and MaxTeams are the maximum numbers of classes and teams.
	MaxClasses = 64
	MaxTeams   = 2048
	// MaxNameBytes is the maximum length of a class, team or change name, in
	// bytes.
	MaxNameBytes = 64
	// MaxConcurrentTasks and MaxStartsPerSecond are the upper limits of a
	// team's quota.
	MaxConcurrentTasks = 1_000_000
	MaxStartsPerSecond = 1_000_000

	// maxSummaryParts is the number of parts that the summary of one change
	// lists.
	maxSummaryParts = 8
)

// Faults returns a message for each fault of the document, with its remedy. It
// returns nothing if the document is valid.
func (d Document) Faults() []string {
	var faults []string
	if len(d.Classes) > MaxClasses {
		faults = append(faults, fmt.Sprintf("%d classes are more than %d; delete some", len(d.Classes), MaxClasses))
	}
	if len(d.Teams) > MaxTeams {
		faults = append(faults, fmt.Sprintf("%d teams are more than %d; delete some", len(d.Teams), MaxTeams))
	}
	faults = append(faults, d.classFaults()...)
	return append(faults, d.teamFaults()...)
}

func (d Document) classFaults() []string {
	var faults []string
	for i, c := range d.Classes {
		faults = append(faults, nameFaults("class", c.Name)...)
		if i > 0 && d.Classes[i-1].Name == c.Name {
			faults = append(faults, fmt.Sprintf("class %q is set twice; set it once", c.Name))
		}
		if c.Target < MinTarget || c.Target > MaxTarget {
			faults = append(faults, fmt.Sprintf("class %q: target %s must be from %s to %s", c.Name, c.Target, MinTarget, MaxTarget))
		}
	}
	return faults
}

func (d Document) teamFaults() []string {
	var faults []string
	for i, t := range d.Teams {
		faults = append(faults, nameFaults("team", t.Name)...)
		if i > 0 && d.Teams[i-1].Name == t.Name {
			faults = append(faults, fmt.Sprintf("team %q is set twice; set it once", t.Name))
		}
		if t.ConcurrentTasks < 0 || t.ConcurrentTasks > MaxConcurrentTasks {
			faults = append(faults, fmt.Sprintf("team %q: concurrent tasks %d must be from 0 (no bound) to %d", t.Name, t.ConcurrentTasks, MaxConcurrentTasks))
		}
		if math.IsNaN(t.StartsPerSecond) || t.StartsPerSecond < 0 || t.StartsPerSecond > MaxStartsPerSecond {
			faults = append(faults, fmt.Sprintf("team %q: starts a second %v must be from 0 (no bound) to %d", t.Name, t.StartsPerSecond, MaxStartsPerSecond))
		}
	}
	return faults
}

// contentFaults returns the faults of the change that do not depend on the
// document it applies to.
func (c Change) contentFaults() []string {
	faults := nameFaults("change", c.ID)
	if len(c.SetClasses)+len(c.DeleteClasses)+len(c.SetTeams)+len(c.DeleteTeams) == 0 {
		faults = append(faults, "the change is empty; set or delete a class or a team")
	}
	return append(faults, Document{Classes: c.SetClasses, Teams: c.SetTeams}.Faults()...)
}

// deletionFaults returns a fault for each class or team that the change deletes
// but d does not have.
func (c Change) deletionFaults(d Document) []string {
	var faults []string
	for _, name := range c.DeleteClasses {
		if _, ok := d.Class(name); !ok {
			faults = append(faults, fmt.Sprintf("class %q does not exist; check the name", name))
		}
	}
	for _, name := range c.DeleteTeams {
		if _, ok := d.Team(name); !ok {
			faults = append(faults, fmt.Sprintf("team %q does not exist; check the name", name))
		}
	}
	return faults
}

func nameFaults(what, name string) []string {
	switch {
	case name == "":
		return []string{fmt.Sprintf("a %s has no name; give it one", what)}
	case len(name) > MaxNameBytes:
		return []string{fmt.Sprintf("%s name of %d bytes is longer than %d; shorten it", what, len(name), MaxNameBytes)}
	}
	for _, r := range name {
		if !unicode.IsPrint(r) || unicode.IsSpace(r) || r == unicode.ReplacementChar {
			return []string{fmt.Sprintf("%s name %q has a space or a character that does not print; use others", what, name)}
		}
	}
	return nil
}
