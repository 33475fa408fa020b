package configuration

import (
	"slices"

	"github.com/lovagecrank/lovagecrank/class"
	"github.com/lovagecrank/lovagecrank/team"
)

type (
	// Document is one version of the configuration. It is immutable.
	Document struct {
		// Version increases by one with each change; zero means that there is
		// no configuration.
		Version uint64
		// ChangeID names the change that made this version, so that a repeated
		// change takes effect once.
		ChangeID string
		Classes  []class.Class
		Teams    []team.Team
		// Recent holds the last changes, oldest first, including the one that
		// made this version.
		Recent []Applied
	}

	// Applied records a change that took effect.
	Applied struct {
		ChangeID string
		// Version is the version that the change made.
		Version uint64
		// Summary lists what was set and deleted.
		Summary string
	}

	// Change is an operator's change of the configuration. Its parts take
	// effect atomically.
	Change struct {
		// ID identifies the change. A change whose ID has already taken effect
		// is not applied again, as long as the document records it.
		ID string
		// Base is the version that the change is based on; zero means the
		// version in force.
		Base          uint64
		SetClasses    []class.Class
		DeleteClasses []string
		SetTeams      []team.Team
		DeleteTeams   []string
	}
)

// Class returns the class with the given name, and whether there is one.
func (d Document) Class(name string) (class.Class, bool) {
	i := slices.IndexFunc(d.Classes, func(c class.Class) bool { return c.Name == name })
	if i < 0 {
		return class.Class{}, false
	}
	return d.Classes[i], true
}

// Team returns the team with the given name, and whether there is one.
func (d Document) Team(name string) (team.Team, bool) {
	i := slices.IndexFunc(d.Teams, func(t team.Team) bool { return t.Name == name })
	if i < 0 {
		return team.Team{}, false
	}
	return d.Teams[i], true
}

// applied returns the version made by the change with the given ID, and whether
// the change is among the recent ones.
func (d Document) applied(id string) (uint64, bool) {
	i := slices.IndexFunc(d.Recent, func(a Applied) bool { return a.ChangeID == id })
	if i < 0 {
		return 0, false
	}
	return d.Recent[i].Version, true
}
