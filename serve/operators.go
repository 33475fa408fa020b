package serve

import (
	"context"
	"time"

	"github.com/lovagecrank/lovagecrank/class"
	"github.com/lovagecrank/lovagecrank/configuration"
	"github.com/lovagecrank/lovagecrank/entry"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/operator"
)

// operators implements [operator.Service] on a driver. Most queries read the
// view of the last Tick, which is at most about maxTickInterval old. The
// configuration is read from the machine because changes are based on it.
type operators struct{ *driver }

// Configuration returns the document in force on this instance.
func (o operators) Configuration(context.Context) (configuration.Document, error) {
	return o.currentConfiguration(), nil
}

// currentConfiguration returns the machine's configuration, which may be newer
// than that of the view.
func (o operators) currentConfiguration() configuration.Document {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.machine.View(time.Now()).Configuration
}

// Change applies one configuration change and returns the document in force
// after it.
func (o operators) Change(ctx context.Context, c configuration.Change) (configuration.Document, error) {
	results := make(chan configuration.ChangeResult, 1)
	var d configuration.Document
	o.apply(func(now time.Time, m *entry.Machine, out *entry.Actions) {
		o.pendingChanges[c.ID] = append(o.pendingChanges[c.ID], results)
		m.Change(now, c, out)
	})
	select {
	case r := <-results:
		if r.Fault != nil {
			return d, r.Fault
		}
	case <-ctx.Done():
		return d, ctx.Err()
	case <-o.ctx.Done():
		return d, fault.New(fault.StoreUnavailable, "the instance was ended")
	}
	return o.currentConfiguration(), nil
}

// Classes returns each class with its rank and its statistics on this instance.
func (o operators) Classes(context.Context) ([]operator.ClassStatus, error) {
	v := o.view.Load()
	ranks := class.Ranks(v.Configuration.Classes)
	list := make([]operator.ClassStatus, 0, len(ranks))
	for i, c := range v.Configuration.Classes {
		s := v.Classes[c.Name]
		list = append(list, operator.ClassStatus{
			Class:        c,
			Rank:         ranks[i],
			Waiting:      s.Waiting,
			Running:      s.Running,
			Answered:     s.Completed,
			Failed:       s.Failed,
			NotRun:       s.NotRun,
			WithinTarget: s.WithinTarget,
			P50:          s.P50,
			P99:          s.P99,
			RatioP50:     s.RatioP50,
			RatioP99:     s.RatioP99,
		})
	}
	return list, nil
}

// Teams returns each team with its numbers of waiting and running tasks on this
// instance.
func (o operators) Teams(context.Context) ([]operator.TeamStatus, error) {
	v := o.view.Load()
	list := make([]operator.TeamStatus, 0, len(v.Configuration.Teams))
	for _, t := range v.Configuration.Teams {
		s := v.Teams[t.Name]
		list = append(list, operator.TeamStatus{Team: t, Waiting: s.Waiting, Running: s.Running})
	}
	return list, nil
}

// Instances returns this instance and then its peers, as this instance sees
// them.
func (o operators) Instances(context.Context) ([]operator.InstanceStatus, error) {
	v := o.view.Load()
	list := []operator.InstanceStatus{{
		Info:                 v.Self,
		Self:                 true,
		Live:                 true,
		Listed:               v.SelfListed,
		LastReceived:         v.Time,
		ConfigurationVersion: v.Configuration.Version,
		StoreReachable:       v.StoreReachable,
		Ready:                v.Ready == nil,
	}}
	for _, s := range v.Instances {
		list = append(list, operator.InstanceStatus{
			Info:                 s.Info,
			Live:                 s.Live,
			Listed:               s.Listed,
			LastReceived:         s.LastReceived,
			ConfigurationVersion: v.Versions[s.Info.ID],
		})
	}
	return list, nil
}

// Endpoints returns the endpoints as this instance sees them.
func (o operators) Endpoints(context.Context) ([]operator.EndpointStatus, error) {
	v := o.view.Load()
	list := make([]operator.EndpointStatus, 0, len(v.Endpoints))
	for _, s := range v.Endpoints {
		list = append(list, operator.EndpointStatus{
			Info:    s.Info,
			State:   s.Health.String(),
			Reason:  s.Reason,
			Until:   s.Until,
			Usable:  s.Usable,
			Speed:   s.Speed,
			Running: s.InFlight,
		})
	}
	return list, nil
}

// Explain returns the history of a submission whose home is this instance.
func (o operators) Explain(ctx context.Context, id string) (operator.Explanation, error) {
	o.mu.Lock()
	e, f := o.machine.Explain(time.Now(), id)
	o.mu.Unlock()
	if f != nil {
		return operator.Explanation{}, f
	}
	r, err := callers(o).Show(ctx, id, false)
	if err != nil {
		return operator.Explanation{}, err
	}
	explanation := operator.Explanation{Home: e.Home}
	for _, s := range e.Steps {
		explanation.Steps = append(explanation.Steps, newStep(s, r))
	}
	return explanation, nil
}

func newStep(s entry.Step, r job.Result) operator.Step {
	step := operator.Step{Time: s.Time, Kind: s.Kind.String(), Reason: s.Reason, Endpoint: s.Endpoint, Waited: s.Waited}
	if i := s.Ref.Index; i >= 0 && i < len(r.Tasks) {
		step.TaskID = r.Tasks[i].TaskID
	}
	return step
}
