package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/platform"
)

// reloadPeriod is how often the settings file is looked at: it may change
// without a signal.
const reloadPeriod = 2 * time.Second

// reload takes changes of the settings file in until the context ends. Only
// the store's address can change while an instance runs.
func reload(ctx context.Context, path string, store *platform.Store, record func(time.Time, event.Record)) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(reloadPeriod)
	defer ticker.Stop()
	changed := modified(path)
	for {
		now := time.Now()
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case now = <-ticker.C:
			if modified(path).Equal(changed) {
				continue
			}
		}
		changed = modified(path)
		cfg, err := platform.LoadSettings(path, 0)
		if err != nil {
			record(now, event.Record{Kind: event.SettingsRejected, Subject: path, Detail: err.Error()})
			continue
		}
		store.SetAddress(cfg.Store)
		record(now, event.Record{Kind: event.SettingsLoaded, Subject: path})
	}
}

// modified returns when the file was last written, or the zero time if it
// cannot be read.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
