package command

import (
	"context"
	"errors"
	"flag"
	"fmt"

	"github.com/lovagecrank/lovagecrank/settings"
)

type (
	// checkView is the JSON output of the check command.
	checkView struct {
		OK     bool        `json:"ok"`
		Faults []faultView `json:"faults"`
	}

	// faultView is one fault in a settings file.
	faultView struct {
		File    string `json:"file"`
		Line    int    `json:"line,omitempty"`
		Key     string `json:"key,omitempty"`
		Problem string `json:"problem"`
	}
)

// configFlag declares the -config flag and returns its value.
func configFlag(fs *flag.FlagSet) *string {
	return fs.String("config", "", "read the settings from `FILE`")
}

// loadSettings loads the settings file at path, the value of -config. An
// empty path is a usage error.
func loadSettings(path string) (*settings.Settings, error) {
	if path == "" {
		return nil, &usageError{message: "-config FILE is required"}
	}
	return settings.Load(path)
}

func checkFlags(fs *flag.FlagSet) action {
	path, format := configFlag(fs), outputFlag(fs)
	return func(_ context.Context, s streams, _ []string) error {
		_, err := loadSettings(*path)
		if err == nil {
			return format.write(s.out, checkView{OK: true, Faults: []faultView{}}, *path+" is valid\n")
		}
		var faults settings.Faults
		if !errors.As(err, &faults) || *format == textFormat {
			return err
		}
		if err := writeJSON(s.out, newCheckView(faults)); err != nil {
			return err
		}
		return fmt.Errorf("%s has %d faults", *path, len(faults))
	}
}

func newCheckView(faults settings.Faults) checkView {
	v := checkView{}
	for _, f := range faults {
		v.Faults = append(v.Faults, faultView{File: f.File, Line: f.Line, Key: f.Key, Problem: f.Problem})
	}
	return v
}
