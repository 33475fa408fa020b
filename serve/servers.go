package serve

import (
	"github.com/lovagecrank/lovagecrank/caller"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/internal/httpapi"
	"github.com/lovagecrank/lovagecrank/operator"
)

// maxOperators is the maximum number of operators' connections.
const maxOperators = 64

// buildServers creates the HTTP servers for callers and operators.
func (p *program) buildServers(configs tlsConfigs, record func(event.Record)) {
	limits := callerLimits(p.cfg.Limits)
	p.callers = caller.NewServer(caller.NewHandler(caller.Config{
		Service: callers{p.driver},
		Limits:  limits,
		Metrics: p.metrics.Handler(),
		Observe: p.metrics.Replies("caller"),
		Record:  record,
		Tracer:  p.tracer,
	}), limits, httpapi.Bounds{}, configs.caller, record)
	p.operators = operator.NewServer(operator.NewHandler(operator.Config{
		Service: operators{p.driver},
		Metrics: p.metrics.Handler(),
		Observe: p.metrics.Replies("operator"),
		Record:  record,
	}), httpapi.Bounds{Connections: maxOperators}, configs.operator, record)
}
