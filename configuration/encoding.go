package configuration

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/lovagecrank/lovagecrank/class"
	"github.com/lovagecrank/lovagecrank/team"
)

type (
	wireDocument struct {
		Version  uint64        `json:"version"`
		ChangeID string        `json:"change_id"`
		Classes  []wireClass   `json:"classes,omitempty"`
		Teams    []wireTeam    `json:"teams,omitempty"`
		Recent   []wireApplied `json:"recent_changes,omitempty"`
	}

	wireClass struct {
		Name           string `json:"name"`
		TargetNS       int64  `json:"target_ns"`
		DurableAnswers bool   `json:"durable_answers,omitempty"`
	}

	wireTeam struct {
		Name            string  `json:"name"`
		ConcurrentTasks int     `json:"concurrent_tasks,omitempty"`
		StartsPerSecond float64 `json:"starts_per_second,omitempty"`
	}

	wireApplied struct {
		ChangeID string `json:"change_id"`
		Version  uint64 `json:"version"`
		Summary  string `json:"summary"`
	}
)

// Encode returns the document as JSON, the format of the platform's table.
func (d Document) Encode() ([]byte, error) {
	w := wireDocument{Version: d.Version, ChangeID: d.ChangeID}
	for _, c := range d.Classes {
		w.Classes = append(w.Classes, wireClass{Name: c.Name, TargetNS: int64(c.Target), DurableAnswers: c.DurableAnswers})
	}
	for _, t := range d.Teams {
		w.Teams = append(w.Teams, wireTeam(t))
	}
	for _, a := range d.Recent {
		w.Recent = append(w.Recent, wireApplied(a))
	}
	b, err := json.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("encode configuration version %d: %w", d.Version, err)
	}
	return b, nil
}

// Decode parses a document from JSON. It returns an error if the document is
// not valid.
func Decode(b []byte) (Document, error) {
	var w wireDocument
	if err := json.Unmarshal(b, &w); err != nil {
		return Document{}, fmt.Errorf("decode configuration: %w", err)
	}
	d := Document{Version: w.Version, ChangeID: w.ChangeID}
	for _, c := range w.Classes {
		d.Classes = append(d.Classes, class.Class{Name: c.Name, Target: time.Duration(c.TargetNS), DurableAnswers: c.DurableAnswers})
	}
	for _, t := range w.Teams {
		d.Teams = append(d.Teams, team.Team(t))
	}
	for _, a := range w.Recent {
		d.Recent = append(d.Recent, Applied(a))
	}
	if faults := d.Faults(); len(faults) > 0 {
		return Document{}, fmt.Errorf("decode configuration version %d: %s", d.Version, faults[0])
	}
	return d, nil
}
