package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"github.com/lovagecrank/lovagecrank/client"
)

type (
	// idSource provides submission IDs, which it requests from the instances
	// in batches.
	idSource struct {
		mu  sync.Mutex
		ids []string
	}

	idReply struct {
		SubmissionIDs []string `json:"submission_ids"`
	}
)

// next returns an unused submission ID. If none is left it requests a batch
// through c, and returns "" if that fails.
func (s *idSource) next(ctx context.Context, c client.Client) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ids) == 0 {
		s.ids = requestIDs(ctx, c)
	}
	if len(s.ids) == 0 {
		return ""
	}
	id := s.ids[0]
	s.ids = s.ids[1:]
	return id
}

func requestIDs(ctx context.Context, c client.Client) []string {
	body := fmt.Appendf(nil, `{"count":%d}`, idBatchSize)
	reply, err := c.Call(ctx, http.MethodPost, "/v1/submission_ids", nil, body)
	if err != nil || reply.Err() != nil {
		return nil
	}
	var r idReply
	if err := json.Unmarshal(reply.Body, &r); err != nil {
		return nil
	}
	return r.SubmissionIDs
}
