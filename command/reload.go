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

// settingsPollInterval is how often the modification time of the settings file
// is checked, since the file may change without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings file when it changes or on SIGHUP, until
// the context ends. It applies only the store's address, the one setting that
// can change while an instance runs.
func watchSettings(ctx context.Context, path string, store *platform.Store, record func(time.Time, event.Record)) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModified := modTime(path)
	for {
		now := time.Now()
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case now = <-ticker.C:
			if modTime(path).Equal(lastModified) {
				continue
			}
		}
		lastModified = modTime(path)
		cfg, err := platform.LoadSettings(path, 0)
		if err != nil {
			record(now, event.Record{Kind: event.SettingsRejected, Subject: path, Detail: err.Error()})
			continue
		}
		store.SetAddress(cfg.StoreAddress)
		record(now, event.Record{Kind: event.SettingsLoaded, Subject: path})
	}
}

// modTime returns the modification time of the file, or the zero time if the
// file is not accessible.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
