package command

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"
)

// release is the version of the release. scripts/release.sh sets it at link
// time.
var release = "development"

// versionView is the JSON output of the version command.
type versionView struct {
	Version string `json:"version"`
	Commit  string `json:"commit"`
	Changed bool   `json:"changed"`
	Go      string `json:"go"`
}

func versionFlags(fs *flag.FlagSet) action {
	format := outputFlag(fs)
	return func(_ context.Context, s streams, _ []string) error {
		v := currentVersion()
		changed := ""
		if v.Changed {
			changed = " with local changes"
		}
		text := fmt.Sprintf("lovagecrank %s, commit %s%s, built by %s\n", v.Version, v.Commit, changed, v.Go)
		return format.write(s.out, v, text)
	}
}

// currentVersion returns the release and the build information that the Go
// toolchain recorded in the binary.
func currentVersion() versionView {
	v := versionView{Version: release, Commit: "unknown"}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return v
	}
	v.Go = info.GoVersion
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			v.Commit = s.Value
		case "vcs.modified":
			v.Changed = s.Value == "true"
		}
	}
	return v
}
