package trial

import (
	"bytes"
	"context"
	"fmt"
	"net/http"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// wastedMetric is the counter of an instance's wasted messages: starts that
// endpoints refused, lent slots that were returned unused and requests for
// slots that got no slot.
const wastedMetric = "lovagecrank_wasted_messages_total"

// wastedMessages returns the number of wasted messages of all instances.
func (c *cluster) wastedMessages(ctx context.Context) (float64, error) {
	total := 0.0
	for i := range c.operators {
		n, err := c.counter(ctx, i, wastedMetric)
		if err != nil {
			return 0, err
		}
		total += n
	}
	return total, nil
}

// counter returns the value of a counter of instance i, summed over its labels.
func (c *cluster) counter(ctx context.Context, i int, name string) (float64, error) {
	reply, err := c.operators[i].Call(ctx, http.MethodGet, "/metrics", nil, nil)
	if err := check(reply, err); err != nil {
		return 0, fmt.Errorf("cannot read the metrics of instance %d: %w", i+1, err)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(reply.Body))
	if err != nil {
		return 0, fmt.Errorf("the metrics of instance %d are not valid: %w", i+1, err)
	}
	family := families[name]
	if family == nil {
		return 0, fmt.Errorf("instance %d has no metric %s", i+1, name)
	}
	total := 0.0
	for _, m := range family.GetMetric() {
		total += m.GetCounter().GetValue()
	}
	return total, nil
}
