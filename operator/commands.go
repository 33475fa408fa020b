package operator

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"github.com/lovagecrank/lovagecrank/class"
	"github.com/lovagecrank/lovagecrank/configuration"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/internal/httpapi"
	"github.com/lovagecrank/lovagecrank/team"
)

type (
	// wireClassChange is a request to set a class. A missing field leaves its
	// value unchanged.
	wireClassChange struct {
		Target          *string `json:"target"`
		DurableAnswers  *bool   `json:"durable_answers"`
		ChangeID        string  `json:"change_id"`
		ExpectedVersion uint64  `json:"expected_version"`
	}

	// wireTeamChange is a request to set a team. A missing field leaves its
	// value unchanged.
	wireTeamChange struct {
		ConcurrentTasks *int     `json:"concurrent_tasks"`
		StartsPerSecond *float64 `json:"starts_per_second"`
		ChangeID        string   `json:"change_id"`
		ExpectedVersion uint64   `json:"expected_version"`
	}

	wireChangeResult struct {
		Version  uint64 `json:"version"`
		ChangeID string `json:"change_id"`
	}
)

func (h *handler) setClass(w http.ResponseWriter, r *http.Request, p httprouter.Params) error {
	var change wireClassChange
	if err := httpapi.ReadBody(w, r, maxBodyBytes, &change); err != nil {
		return err
	}
	current, err := h.service.Configuration(r.Context())
	if err != nil {
		return err
	}
	c, exists := current.Class(p.ByName(paramName))
	if !exists {
		c = class.Class{Name: p.ByName(paramName)}
	}
	if change.Target == nil && !exists {
		return fault.New(fault.BadRequest, "target: is missing; a new class needs one, for example \"200ms\"")
	}
	if change.Target != nil {
		target, err := time.ParseDuration(*change.Target)
		if err != nil {
			return fault.New(fault.BadRequest, "target: %q is not a duration; write a number and a unit, for example 200ms", httpapi.Truncate(*change.Target))
		}
		c.Target = target
	}
	if change.DurableAnswers != nil {
		c.DurableAnswers = *change.DurableAnswers
	}
	complete := change.Target != nil && change.DurableAnswers != nil
	return h.apply(r.Context(), w, configuration.Change{
		ID:         change.ChangeID,
		Base:       baseVersion(change.ExpectedVersion, current, complete),
		SetClasses: []class.Class{c},
	})
}

func (h *handler) setTeam(w http.ResponseWriter, r *http.Request, p httprouter.Params) error {
	var change wireTeamChange
	if err := httpapi.ReadBody(w, r, maxBodyBytes, &change); err != nil {
		return err
	}
	current, err := h.service.Configuration(r.Context())
	if err != nil {
		return err
	}
	t, exists := current.Team(p.ByName(paramName))
	if !exists {
		t = team.Team{Name: p.ByName(paramName)}
	}
	if change.ConcurrentTasks != nil {
		t.ConcurrentTasks = *change.ConcurrentTasks
	}
	if change.StartsPerSecond != nil {
		t.StartsPerSecond = *change.StartsPerSecond
	}
	complete := change.ConcurrentTasks != nil && change.StartsPerSecond != nil
	return h.apply(r.Context(), w, configuration.Change{
		ID:       change.ChangeID,
		Base:     baseVersion(change.ExpectedVersion, current, complete),
		SetTeams: []team.Team{t},
	})
}

// baseVersion returns the configuration version that a change is based on, or
// zero if the change applies to any version. It is the version that the operator
// expects. Without an expected version, a change that is not complete is based on
// the document from which the missing fields were copied, so that it does not
// overwrite a concurrent change of those fields.
func baseVersion(expected uint64, current configuration.Document, complete bool) uint64 {
	if expected != 0 || complete {
		return expected
	}
	return current.Version
}

func (h *handler) deleteClass(w http.ResponseWriter, r *http.Request, p httprouter.Params) error {
	c, err := parseDeletion(r)
	if err != nil {
		return err
	}
	c.DeleteClasses = []string{p.ByName(paramName)}
	return h.apply(r.Context(), w, c)
}

func (h *handler) deleteTeam(w http.ResponseWriter, r *http.Request, p httprouter.Params) error {
	c, err := parseDeletion(r)
	if err != nil {
		return err
	}
	c.DeleteTeams = []string{p.ByName(paramName)}
	return h.apply(r.Context(), w, c)
}

// parseDeletion parses the query parameters of a deletion.
func parseDeletion(r *http.Request) (configuration.Change, error) {
	query := r.URL.Query()
	c := configuration.Change{ID: query.Get("change_id")}
	value := query.Get("expected_version")
	if value == "" {
		return c, nil
	}
	version, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return c, fault.New(fault.BadRequest, "expected_version: %q is not a version; send a whole number", httpapi.Truncate(value))
	}
	c.Base = version
	return c, nil
}

func (h *handler) apply(ctx context.Context, w http.ResponseWriter, c configuration.Change) error {
	if c.ID == "" {
		c.ID = uuid.NewString()
	}
	if err := httpapi.CheckID("change_id", c.ID); err != nil {
		return err
	}
	document, err := h.service.Change(ctx, c)
	if err != nil {
		return err
	}
	return writeJSON(w, wireChangeResult{Version: document.Version, ChangeID: c.ID})
}
