package operator

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/lovagecrank/lovagecrank/internal/httpapi"
)

type (
	wireApplied struct {
		Version  uint64 `json:"version"`
		ChangeID string `json:"change_id"`
		Summary  string `json:"summary"`
	}

	wireConfiguration struct {
		Version  uint64        `json:"version"`
		ChangeID string        `json:"change_id"`
		Classes  int           `json:"classes"`
		Teams    int           `json:"teams"`
		Recent   []wireApplied `json:"recent_changes"`
	}

	wireClass struct {
		Name           string  `json:"name"`
		TargetMS       float64 `json:"target_ms"`
		DurableAnswers bool    `json:"durable_answers"`
		Rank           int     `json:"rank"`
		Waiting        int     `json:"waiting"`
		Running        int     `json:"running"`
		Answered       uint64  `json:"answered"`
		Failed         uint64  `json:"failed"`
		NotRun         uint64  `json:"not_run"`
		WithinTarget   uint64  `json:"within_target"`
		P50MS          float64 `json:"p50_ms"`
		P99MS          float64 `json:"p99_ms"`
		RatioP50       float64 `json:"ratio_p50"`
		RatioP99       float64 `json:"ratio_p99"`
	}

	wireTeam struct {
		Name            string  `json:"name"`
		ConcurrentTasks int     `json:"concurrent_tasks"`
		StartsPerSecond float64 `json:"starts_per_second"`
		Waiting         int     `json:"waiting"`
		Running         int     `json:"running"`
	}

	wireInstance struct {
		DataCentre           string     `json:"data_centre"`
		ID                   string     `json:"id"`
		Incarnation          uint64     `json:"incarnation"`
		Rack                 string     `json:"rack"`
		Address              string     `json:"address"`
		Leaving              bool       `json:"leaving"`
		Self                 bool       `json:"self"`
		Live                 bool       `json:"live"`
		Listed               bool       `json:"listed"`
		LastHeard            *time.Time `json:"last_heard,omitempty"`
		ConfigurationVersion uint64     `json:"configuration_version"`
		StoreReachable       *bool      `json:"store_reachable,omitempty"`
		Ready                *bool      `json:"ready,omitempty"`
	}

	wireEndpoint struct {
		ID         string     `json:"id"`
		Address    string     `json:"address"`
		DataCentre string     `json:"data_centre"`
		Rack       string     `json:"rack"`
		Slots      int        `json:"slots"`
		Leaving    bool       `json:"leaving"`
		State      string     `json:"state"`
		Reason     string     `json:"reason,omitempty"`
		Until      *time.Time `json:"until,omitempty"`
		Speed      float64    `json:"speed"`
		Usable     int        `json:"usable"`
		Running    int        `json:"running"`
	}

	wireStep struct {
		Time     time.Time `json:"time"`
		TaskID   string    `json:"task_id,omitempty"`
		What     string    `json:"what"`
		Why      string    `json:"why,omitempty"`
		Endpoint string    `json:"endpoint,omitempty"`
		WaitedMS float64   `json:"waited_ms,omitempty"`
	}

	wireHome struct {
		DataCentre  string `json:"data_centre"`
		ID          string `json:"id"`
		Incarnation uint64 `json:"incarnation"`
	}

	wireExplanation struct {
		SubmissionID string     `json:"submission_id"`
		Home         wireHome   `json:"home"`
		Steps        []wireStep `json:"steps"`
	}
)

func (h *handler) configuration(w http.ResponseWriter, r *http.Request, _ httprouter.Params) error {
	d, err := h.service.Configuration(r.Context())
	if err != nil {
		return err
	}
	reply := wireConfiguration{
		Version:  d.Version,
		ChangeID: d.ChangeID,
		Classes:  len(d.Classes),
		Teams:    len(d.Teams),
		Recent:   make([]wireApplied, 0, len(d.Recent)),
	}
	for _, a := range d.Recent {
		reply.Recent = append(reply.Recent, wireApplied{Version: a.Version, ChangeID: a.ChangeID, Summary: a.Summary})
	}
	return writeJSON(w, reply)
}

func (h *handler) classes(w http.ResponseWriter, r *http.Request, _ httprouter.Params) error {
	list, err := h.service.Classes(r.Context())
	if err != nil {
		return err
	}
	classes := make([]wireClass, 0, len(list))
	for _, c := range list {
		classes = append(classes, wireClass{
			Name:           c.Name,
			TargetMS:       milliseconds(c.Target),
			DurableAnswers: c.DurableAnswers,
			Rank:           int(c.Rank),
			Waiting:        c.Waiting,
			Running:        c.Running,
			Answered:       c.Answered,
			Failed:         c.Failed,
			NotRun:         c.NotRun,
			WithinTarget:   c.WithinTarget,
			P50MS:          milliseconds(c.P50),
			P99MS:          milliseconds(c.P99),
			RatioP50:       c.RatioP50,
			RatioP99:       c.RatioP99,
		})
	}
	return writeJSON(w, struct {
		Classes []wireClass `json:"classes"`
	}{classes})
}

func (h *handler) teams(w http.ResponseWriter, r *http.Request, _ httprouter.Params) error {
	list, err := h.service.Teams(r.Context())
	if err != nil {
		return err
	}
	teams := make([]wireTeam, 0, len(list))
	for _, t := range list {
		teams = append(teams, wireTeam{
			Name:            t.Name,
			ConcurrentTasks: t.ConcurrentTasks,
			StartsPerSecond: t.StartsPerSecond,
			Waiting:         t.Waiting,
			Running:         t.Running,
		})
	}
	return writeJSON(w, struct {
		Teams []wireTeam `json:"teams"`
	}{teams})
}

func (h *handler) instances(w http.ResponseWriter, r *http.Request, _ httprouter.Params) error {
	list, err := h.service.Instances(r.Context())
	if err != nil {
		return err
	}
	instances := make([]wireInstance, 0, len(list))
	for _, i := range list {
		instances = append(instances, toWireInstance(i))
	}
	return writeJSON(w, struct {
		Instances []wireInstance `json:"instances"`
	}{instances})
}

func toWireInstance(i InstanceStatus) wireInstance {
	v := wireInstance{
		DataCentre:           i.DataCentre,
		ID:                   i.ID,
		Incarnation:          i.Incarnation,
		Rack:                 i.Rack,
		Address:              i.Address.String(),
		Leaving:              i.Draining,
		Self:                 i.Self,
		Live:                 i.Live,
		Listed:               i.Listed,
		LastHeard:            timeOrNil(i.LastReceived),
		ConfigurationVersion: i.ConfigurationVersion,
	}
	if i.Self {
		v.StoreReachable = &i.StoreReachable
		v.Ready = &i.Ready
	}
	return v
}

func (h *handler) endpoints(w http.ResponseWriter, r *http.Request, _ httprouter.Params) error {
	list, err := h.service.Endpoints(r.Context())
	if err != nil {
		return err
	}
	endpoints := make([]wireEndpoint, 0, len(list))
	for _, e := range list {
		endpoints = append(endpoints, wireEndpoint{
			ID:         e.ID,
			Address:    e.Address.String(),
			DataCentre: e.DataCentre,
			Rack:       e.Rack,
			Slots:      e.Slots,
			Leaving:    e.Draining,
			State:      e.State,
			Reason:     e.Reason,
			Until:      timeOrNil(e.Until),
			Speed:      e.Speed,
			Usable:     e.Usable,
			Running:    e.Running,
		})
	}
	return writeJSON(w, struct {
		Endpoints []wireEndpoint `json:"endpoints"`
	}{endpoints})
}

func (h *handler) explain(w http.ResponseWriter, r *http.Request, p httprouter.Params) error {
	id := p.ByName(httpapi.ParamSubmission)
	if err := httpapi.CheckID(httpapi.ParamSubmission, id); err != nil {
		return err
	}
	e, err := h.service.Explain(r.Context(), id)
	if err != nil {
		return err
	}
	reply := wireExplanation{
		SubmissionID: id,
		Home:         wireHome{DataCentre: e.Home.DataCentre, ID: e.Home.ID, Incarnation: e.Home.Incarnation},
		Steps:        make([]wireStep, 0, len(e.Steps)),
	}
	for _, s := range e.Steps {
		reply.Steps = append(reply.Steps, wireStep{
			Time:     s.Time,
			TaskID:   s.TaskID,
			What:     s.Kind,
			Why:      s.Reason,
			Endpoint: s.Endpoint,
			WaitedMS: milliseconds(s.Waited),
		})
	}
	return writeJSON(w, reply)
}

// writeJSON writes v as a JSON reply with status 200.
func writeJSON(w http.ResponseWriter, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	httpapi.WriteBody(w, http.StatusOK, body)
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// timeOrNil returns a pointer to t, or nil if t is the zero time.
func timeOrNil(t time.Time) *time.Time {
	if t.IsZero() {
		return nil
	}
	return &t
}
