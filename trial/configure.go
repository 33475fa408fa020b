package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/lovagecrank/lovagecrank/task"
)

type (
	// classSetting is a class that the trial configures.
	classSetting struct {
		name    string
		target  time.Duration
		durable bool
	}

	classChange struct {
		Target         string `json:"target"`
		DurableAnswers bool   `json:"durable_answers"`
	}

	configurationReply struct {
		Version uint64 `json:"version"`
	}
)

var (
	// classes are the classes that the example jobs use.
	classes = []classSetting{
		{name: "payment", target: time.Second, durable: true},
		{name: "sweep", target: 3 * time.Second},
	}
	// teams are the teams that the example jobs use.
	teams = []string{"amplifiers", "filings"}
)

// targetOf returns the response time target of a class; zero if classes doesn't
// contain it.
func targetOf(name string) time.Duration {
	for _, c := range classes {
		if c.name == name {
			return c.target
		}
	}
	return 0
}

// configure creates the classes and teams over the operators' interface of the
// first instance and waits until the new configuration is in force on every
// instance.
func (c *cluster) configure(ctx context.Context) error {
	var version uint64
	for _, cl := range classes {
		v, err := c.change(ctx, "/v1/classes/"+cl.name, classChange{Target: cl.target.String(), DurableAnswers: cl.durable})
		if err != nil {
			return err
		}
		version = max(version, v)
	}
	for _, name := range teams {
		v, err := c.change(ctx, "/v1/teams/"+name, struct{}{})
		if err != nil {
			return err
		}
		version = max(version, v)
	}
	for i := range c.operators {
		if err := c.waitVersion(ctx, i, version); err != nil {
			return fmt.Errorf("the configuration is not in force on instance %d: %w", i+1, err)
		}
	}
	return nil
}

// change sends one configuration change to the first instance and returns the
// version in force after it.
func (c *cluster) change(ctx context.Context, path string, change any) (uint64, error) {
	body, err := json.Marshal(change)
	if err != nil {
		return 0, err
	}
	reply, err := c.operators[0].Call(ctx, http.MethodPut, path, nil, body)
	if err := check(reply, err); err != nil {
		return 0, fmt.Errorf("cannot change the configuration: %w", err)
	}
	var v configurationReply
	err = json.Unmarshal(reply.Body, &v)
	return v.Version, err
}

// version returns the configuration version in force on instance i.
func (c *cluster) version(ctx context.Context, i int) (uint64, error) {
	reply, err := c.operators[i].Call(ctx, http.MethodGet, "/v1/configuration", nil, nil)
	if err := check(reply, err); err != nil {
		return 0, err
	}
	var v configurationReply
	err = json.Unmarshal(reply.Body, &v)
	return v.Version, err
}

// waitVersion waits until instance i has at least configuration version want.
func (c *cluster) waitVersion(ctx context.Context, i int, want uint64) error {
	return c.retry(ctx, func(ctx context.Context) error {
		got, err := c.version(ctx, i)
		if err == nil && got < want {
			return fmt.Errorf("version %d is in force, want %d", got, want)
		}
		return err
	})
}

// startedTwice returns the number of tasks that were started more than once,
// summed over all endpoints.
func (c *cluster) startedTwice() int {
	starts := make(map[task.Ref]int)
	for _, e := range c.endpoints {
		for ref, n := range e.RunCounts() {
			starts[ref] += n
		}
	}
	twice := 0
	for _, n := range starts {
		if n > 1 {
			twice++
		}
	}
	return twice
}
