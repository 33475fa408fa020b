// Package jobs contains the example jobs that the trial command submits. The
// endpoint stand-in can run their tasks.
package jobs

import "embed"

// Names of the example jobs.
const (
	CornerSweep = "corner-sweep.json"
	FilingFees  = "filing-fees.json"
)

//go:embed *.json
var files embed.FS

// Names returns the names of the example jobs in the order in which the trial
// submits them.
func Names() []string { return []string{CornerSweep, FilingFees} }

// Read returns the named example job as the JSON body of a submission.
func Read(name string) ([]byte, error) { return files.ReadFile(name) }
