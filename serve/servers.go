package serve

import (
	"github.com/lovagecrank/lovagecrank/caller"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/footprint"
	"github.com/lovagecrank/lovagecrank/internal/httpapi"
	"github.com/lovagecrank/lovagecrank/operator"
)

// buildServers creates the HTTP servers for callers and operators.
func (p *program) buildServers(configs tlsConfigs, record func(event.Record)) {
	limits := callerLimits(p.cfg.Limits)
	instanceLimits := p.cfg.Limits.Footprint()
	bounds := httpapi.Bounds{
		Connections: instanceLimits.CallerConnections(),
		Headers:     footprint.NewHeaderBudget(instanceLimits),
		Bodies:      footprint.NewBudget(instanceLimits),
	}
	operatorBounds := bounds
	operatorBounds.Connections = instanceLimits.MonitorConnections()
	p.callers = caller.NewServer(caller.NewHandler(caller.Config{
		Service: callers{p.driver},
		Limits:  limits,
		Metrics: p.metrics.Handler(),
		Observe: p.metrics.Replies("caller"),
		Record:  record,
		Tracer:  p.tracer,
	}), limits, bounds, configs.caller, record)
	p.operators = operator.NewServer(operator.NewHandler(operator.Config{
		Service: operators{p.driver},
		Metrics: p.metrics.Handler(),
		Observe: p.metrics.Replies("operator"),
		Record:  record,
	}), operatorBounds, configs.operator, record)
}
