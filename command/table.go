package command

import (
	"context"
	"flag"
	"strings"
)

type (
	// command is one row of the table of commands.
	command struct {
		// name is one or two words, such as "job submit".
		name string
		// arguments names the positional arguments, in capitals.
		arguments string
		// title is one line without a period.
		title string
		// text describes the command in full sentences.
		text string
		// example is a complete command line.
		example string
		// flags declares the command's flags and returns its action.
		flags func(fs *flag.FlagSet) action
	}

	// action runs a command after its flags are parsed.
	action func(ctx context.Context, s streams, args []string) error
)

// commands returns the table of commands in the order in which the help lists
// them.
func commands() []command {
	return []command{
		{
			name:    "serve",
			title:   "Run an entry instance",
			text:    "Serves callers, operators and the other instances until the first interrupt or termination signal. It then refuses new jobs, finishes its current jobs and exits with status 0. A second signal stops it immediately with status 1 and logs how many jobs are lost.",
			example: "lovagecrank serve -config examples/voltmesh.yaml",
			flags:   serveFlags,
		},
		{
			name:    "join",
			title:   "Run an instance on the platform",
			text:    "Reads the platform's settings file and serves its callers on its leased endpoints until the first interrupt or termination signal. It then hands over its endpoints, finishes its current jobs and exits with status 0. A hangup signal reloads the settings file.",
			example: "lovagecrank join -settings /etc/lovagecrank/settings.yaml",
			flags:   joinFlags,
		},
		{
			name:    "trial",
			title:   "Run a complete system in one process and submit the example jobs",
			text:    "Starts a platform stand-in, 8 endpoints in 2 racks and 3 instances in 2 data centres on loopback, submits the example jobs, checks and prints their answers, and reports response times per class.",
			example: "lovagecrank trial",
			flags:   trialFlags,
		},
		{
			name:    "check",
			title:   "Check a settings file",
			text:    "Prints the file, line, key and remedy of every fault in a settings file, including unknown keys.",
			example: "lovagecrank check -config examples/voltmesh.yaml",
			flags:   checkFlags,
		},
		{
			name:      "job submit",
			arguments: "FILE",
			title:     "Submit a job and wait for its answer",
			text:      "Submits the job in FILE, or from standard input if FILE is -, and prints the complete answer. The exit status is 1 if the job was refused or failed.",
			example:   "lovagecrank job submit examples/jobs/filing-fees.json",
			flags:     jobSubmitFlags,
		},
		{
			name:      "job show",
			arguments: "ID",
			title:     "Show a job",
			text:      "Prints the state of a job and, once it is complete, its answer.",
			example:   "lovagecrank job show -wait 10s ID",
			flags:     jobShowFlags,
		},
		{
			name:      "job cancel",
			arguments: "ID",
			title:     "Cancel a job",
			text:      "Cancels a job. Tasks that have not been sent yet are never sent. Prints the known results of the others.",
			example:   "lovagecrank job cancel ID",
			flags:     jobCancelFlags,
		},
		{
			name:      "job explain",
			arguments: "ID",
			title:     "Show what happened to a submission",
			text:      "Prints the home of a submission (the instance that accepted it) and each recorded step: when and why a task waited, which endpoint ran it, and what was refused and why. Connect to the operators' listener of the home. It keeps the steps in limited memory.",
			example:   "lovagecrank job explain ID",
			flags:     jobExplainFlags,
		},
		{
			name:    "class list",
			title:   "List the classes with their targets and results",
			text:    "Prints each class in force on the instance, its target, and the results of its jobs on that instance.",
			example: "lovagecrank class list -output json",
			flags:   listFlags(classesPath, classHeading, writeClasses),
		},
		{
			name:      "class show",
			arguments: "NAME",
			title:     "Show one class",
			text:      "Prints a class, its target, and the results of its jobs on the instance.",
			example:   "lovagecrank class show payment",
			flags:     classShowFlags,
		},
		{
			name:      "class set",
			arguments: "NAME",
			title:     "Create or change a class",
			text:      "Changes or creates a class. Fields without a flag stay unchanged. If another operator changes the configuration at the same time, the change is refused.",
			example:   "lovagecrank class set -target 2s -durable-answers payment",
			flags:     classSetFlags,
		},
		{
			name:      "class delete",
			arguments: "NAME",
			title:     "Delete a class",
			text:      "Deletes a class. Jobs that were accepted are finished; new ones are refused.",
			example:   "lovagecrank class delete payment",
			flags:     classDeleteFlags,
		},
		{
			name:    "team list",
			title:   "List the teams with their quotas and usage",
			text:    "Prints each team in force on the instance, its quotas, and its waiting and running tasks on that instance.",
			example: "lovagecrank team list",
			flags:   listFlags(teamsPath, teamHeading, writeTeams),
		},
		{
			name:      "team set",
			arguments: "NAME",
			title:     "Create or change a team",
			text:      "Changes the quotas of a team, or creates the team. Quotas without a flag stay unchanged.",
			example:   "lovagecrank team set -concurrent-tasks 40 -starts-per-second 100 filings",
			flags:     teamSetFlags,
		},
		{
			name:      "team delete",
			arguments: "NAME",
			title:     "Delete a team",
			text:      "Deletes a team. Jobs that were accepted are finished; new ones are refused.",
			example:   "lovagecrank team delete filings",
			flags:     teamDeleteFlags,
		},
		{
			name:    "instance list",
			title:   "List the entry instances",
			text:    "Prints the entry instances as seen by the queried instance, with the configuration version in force on each.",
			example: "lovagecrank instance list",
			flags:   listFlags(instancesPath, instanceHeading, writeInstances),
		},
		{
			name:    "endpoint list",
			title:   "List the endpoints",
			text:    "Prints the endpoints as seen by the queried instance: state, why an endpoint is suspect or ejected, speed relative to the expected speed, and running tasks of this instance.",
			example: "lovagecrank endpoint list",
			flags:   listFlags(endpointsPath, endpointHeading, writeEndpoints),
		},
		{
			name:    "load",
			title:   "Run a load experiment against running instances",
			text:    "Submits jobs in an open loop to the instances that the experiment names and prints response times relative to the ideal per class. Writes its progress to standard error.",
			example: "lovagecrank load -config examples/load/voltmesh.yaml -plot load.png",
			flags:   loadFlags,
		},
		{
			name:    "standin platform",
			title:   "Run a stand-in for the platform",
			text:    "Serves an in-memory table, object store and lists of instances and endpoints for trying out the program. All data is lost when it stops.",
			example: "lovagecrank standin platform -listen 127.0.0.1:7000",
			flags:   standinPlatformFlags,
		},
		{
			name:    "standin endpoint",
			title:   "Run a stand-in for an endpoint",
			text:    "Runs tasks whose payload is a work order, such as those in examples/jobs, and registers itself with the platform. On an interrupt, it refuses new tasks and finishes its current ones.",
			example: "lovagecrank standin endpoint -id w-1 -listen 127.0.0.1:8001",
			flags:   standinEndpointFlags,
		},
		{
			name:      "explain",
			arguments: "CODE",
			title:     "Explain an error, a log event or a metric",
			text:      "Prints the meaning and remedy of a code from an error reply or a log line. CODE may also be the name of an error kind, such as over_quota, or of a metric. With -logs, CODE is a job's id; the command prints the lines about this job from the logs of several instances, ordered by time.",
			example:   "lovagecrank explain LC2032",
			flags:     explainFlags,
		},
		{
			name:    "version",
			title:   "Print the version and the commit",
			text:    "Prints the release and the commit of this program.",
			example: "lovagecrank version -output json",
			flags:   versionFlags,
		},
	}
}

// flagSet returns a new flag set with the command's flags and the action that
// reads them.
func (c command) flagSet() (*flag.FlagSet, action) {
	fs := flag.NewFlagSet(c.name, flag.ContinueOnError)
	return fs, c.flags(fs)
}

func (c command) argumentCount() int { return len(strings.Fields(c.arguments)) }

// usage returns the command's synopsis, such as "lovagecrank job show [flags] ID".
func (c command) usage() string {
	words := []string{"lovagecrank", c.name}
	fs, _ := c.flagSet()
	fs.VisitAll(func(*flag.Flag) {
		if len(words) == 2 {
			words = append(words, "[flags]")
		}
	})
	if c.arguments != "" {
		words = append(words, c.arguments)
	}
	return strings.Join(words, " ")
}
