package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/storage"
	"github.com/lovagecrank/lovagecrank/task"
)

type (
	wireInstance struct {
		DataCentre string         `json:"data_centre"`
		ID         string         `json:"id"`
		Rack       string         `json:"rack"`
		Address    netip.AddrPort `json:"address"`
		Leaving    bool           `json:"leaving"`
		LifetimeMS float64        `json:"lifetime_ms,omitempty"`
	}

	wireEndpoint struct {
		ID           string         `json:"id"`
		Address      netip.AddrPort `json:"address"`
		DataCentre   string         `json:"data_centre"`
		Rack         string         `json:"rack"`
		Slots        int            `json:"slots"`
		Connections  int            `json:"connections"`
		Cores        float64        `json:"cores"`
		MemoryBytes  int64          `json:"memory_bytes"`
		Accelerators int            `json:"accelerators"`
		Leaving      bool           `json:"leaving"`
		LifetimeMS   float64        `json:"lifetime_ms,omitempty"`
	}

	wireInstances struct {
		Instances []wireInstance `json:"instances"`
	}

	wireEndpoints struct {
		Endpoints []wireEndpoint `json:"endpoints"`
	}
)

// ErrUnchanged is returned if a list has not changed since the Client last read
// it.
var ErrUnchanged = errors.New("the platform's list has not changed since the last read")

// Instances returns the platform's list of entry instances, or ErrUnchanged. The
// list may be out of date and has no incarnations.
func (c *Client) Instances(ctx context.Context) ([]instance.Info, error) {
	var w wireInstances
	if err := c.list(ctx, "/v1/instances", &w); err != nil {
		return nil, err
	}
	list := make([]instance.Info, 0, len(w.Instances))
	for _, i := range w.Instances {
		list = append(list, instance.Info{
			Ref:      instance.Ref{DataCentre: i.DataCentre, ID: i.ID},
			Rack:     i.Rack,
			Address:  i.Address,
			Draining: i.Leaving,
		})
	}
	return list, nil
}

// Endpoints returns the platform's list of the endpoints in a data centre, or
// ErrUnchanged. The list may be out of date.
func (c *Client) Endpoints(ctx context.Context, dataCentre string) ([]endpoint.Info, error) {
	var w wireEndpoints
	if err := c.list(ctx, "/v1/endpoints?data_centre="+url.QueryEscape(dataCentre), &w); err != nil {
		return nil, err
	}
	list := make([]endpoint.Info, 0, len(w.Endpoints))
	for _, e := range w.Endpoints {
		list = append(list, endpoint.Info{
			ID:          e.ID,
			Address:     e.Address,
			DataCentre:  e.DataCentre,
			Rack:        e.Rack,
			Slots:       e.Slots,
			Connections: e.Connections,
			Size:        task.Needs{Cores: e.Cores, MemoryBytes: e.MemoryBytes, Accelerators: e.Accelerators},
			Draining:    e.Leaving,
		})
	}
	return list, nil
}

// AnnounceInstance adds an instance to the platform's list or updates its entry.
// The entry expires after the lifetime.
func (c *Client) AnnounceInstance(ctx context.Context, i instance.Info, lifetime time.Duration) error {
	return c.announce(ctx, "/v1/instances/"+url.PathEscape(i.ID), wireInstance{
		DataCentre: i.DataCentre,
		ID:         i.ID,
		Rack:       i.Rack,
		Address:    i.Address,
		Leaving:    i.Draining,
		LifetimeMS: float64(lifetime) / float64(time.Millisecond),
	})
}

// AnnounceEndpoint adds an endpoint to the platform's list or updates its entry.
// The entry expires after the lifetime.
func (c *Client) AnnounceEndpoint(ctx context.Context, e endpoint.Info, lifetime time.Duration) error {
	return c.announce(ctx, "/v1/endpoints/"+url.PathEscape(e.ID), wireEndpoint{
		ID:           e.ID,
		Address:      e.Address,
		DataCentre:   e.DataCentre,
		Rack:         e.Rack,
		Slots:        e.Slots,
		Connections:  e.Connections,
		Cores:        e.Size.Cores,
		MemoryBytes:  e.Size.MemoryBytes,
		Accelerators: e.Size.Accelerators,
		Leaving:      e.Draining,
		LifetimeMS:   float64(lifetime) / float64(time.Millisecond),
	})
}

func (c *Client) announce(ctx context.Context, path string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	res := c.send(ctx, request{method: http.MethodPut, path: path, body: body})
	if res.outcome != storage.Done {
		return fmt.Errorf("request to the platform's %s failed: %w", path, res.err)
	}
	if res.status != http.StatusOK {
		return fmt.Errorf("platform replied with status %d to %s", res.status, path)
	}
	return nil
}
