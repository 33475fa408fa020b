package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/url"
)

type (
	teamList struct {
		Teams []teamView `json:"teams"`
	}

	teamView struct {
		Name            string  `json:"name"`
		ConcurrentTasks int     `json:"concurrent_tasks"`
		StartsPerSecond float64 `json:"starts_per_second"`
		Waiting         int     `json:"waiting"`
		Running         int     `json:"running"`
	}

	// teamChange is the request body that creates or changes a team. Nil fields
	// leave the value unchanged.
	teamChange struct {
		changeMetadata
		ConcurrentTasks *int     `json:"concurrent_tasks,omitempty"`
		StartsPerSecond *float64 `json:"starts_per_second,omitempty"`
	}
)

const (
	teamsPath   = "/v1/teams"
	teamHeading = "NAME\tCONCURRENT TASKS\tSTARTS PER SECOND\tWAITING\tRUNNING"
)

// writeTeams writes one tab-separated row per team, in the columns of
// teamHeading.
func writeTeams(l teamList, w io.Writer) {
	for _, t := range l.Teams {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\n", t.Name,
			formatQuota(float64(t.ConcurrentTasks)), formatQuota(t.StartsPerSecond), t.Waiting, t.Running)
	}
}

// formatQuota returns a quota as text. Zero means no limit.
func formatQuota(quota float64) string {
	if quota == 0 {
		return "no bound"
	}
	return fmt.Sprint(quota)
}

func teamSetFlags(fs *flag.FlagSet) action {
	c := newChangeFlags(fs)
	tasks := fs.Int("concurrent-tasks", 0, "run at most `N` tasks at the same time; 0 means no limit")
	starts := fs.Float64("starts-per-second", 0, "start at most `N` tasks per second; 0 means no limit")
	return func(ctx context.Context, s streams, args []string) error {
		if *tasks < 0 || !(*starts >= 0) {
			return &usageError{message: "a quota must not be negative; 0 means no limit"}
		}
		q := teamChange{changeMetadata: c.metadata()}
		if isSet(fs, "concurrent-tasks") {
			q.ConcurrentTasks = tasks
		}
		if isSet(fs, "starts-per-second") {
			q.StartsPerSecond = starts
		}
		return c.put(ctx, s, teamPath(args[0]), q)
	}
}

func teamDeleteFlags(fs *flag.FlagSet) action {
	c := newChangeFlags(fs)
	return func(ctx context.Context, s streams, args []string) error {
		return c.delete(ctx, s, teamPath(args[0]))
	}
}

func teamPath(name string) string { return teamsPath + "/" + url.PathEscape(name) }
