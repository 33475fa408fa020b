package command

import (
	"context"
	"flag"
	"strings"
)

type (
	// command is one row of the table of commands.
	command struct {
		// name is one or two words.
		name string
		// arguments names what follows the flags, in capitals.
		arguments string
		// title is one line without a full stop.
		title string
		// text explains the command in full sentences.
		text string
		// example is a command line that works as it stands.
		example string
		// flags declares the command's flags and returns what it does.
		flags func(fs *flag.FlagSet) action
	}

	// action carries out a command whose flags have been parsed.
	action func(ctx context.Context, s streams, args []string) error
)

// commands returns the table of commands in the order of the help.
func commands() []command {
	return []command{
		{
			name:    "serve",
			title:   "Run an entry instance",
			text:    "Serves callers, operators and the other instances until the first interrupt or termination signal. It then takes no new jobs, finishes those it has and ends with status 0. A second signal ends it at once, tells how much is lost and gives status 1.",
			example: "lovagecrank serve -config examples/voltmesh.yaml",
			flags:   serveFlags,
		},
		{
			name:    "join",
			title:   "Run an instance on the platform",
			text:    "Reads the platform's settings file and serves its callers on its leased endpoints until the first interrupt or termination signal. It then hands its endpoints over, finishes the jobs it has and ends with status 0. A hangup signal makes it read the settings file again.",
			example: "lovagecrank join -settings /etc/lovagecrank/settings.yaml",
			flags:   joinFlags,
		},
		{
			name:    "trial",
			title:   "Run a whole system in this process and submit the example jobs",
			text:    "Starts a platform stand-in, 8 endpoints in 2 racks and 3 instances in 2 data centres on loopback, submits the example jobs, checks and prints their answers, and reports response times by class.",
			example: "lovagecrank trial",
			flags:   trialFlags,
		},
		{
			name:    "check",
			title:   "Check a settings file",
			text:    "Names file, line, key and remedy of every fault of a settings file, unknown keys among them.",
			example: "lovagecrank check -config examples/voltmesh.yaml",
			flags:   checkFlags,
		},
		{
			name:      "job submit",
			arguments: "FILE",
			title:     "Submit a job and wait for its answer",
			text:      "Submits the job in FILE, or on standard input if FILE is -, and prints the whole answer. The status is 1 if the job was refused or failed.",
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
			text:      "Cancels a job. Tasks that were not sent yet are never sent; what is known of the others is printed.",
			example:   "lovagecrank job cancel ID",
			flags:     jobCancelFlags,
		},
		{
			name:      "job explain",
			arguments: "ID",
			title:     "Tell what happened to a submission",
			text:      "Prints the home of a submission and, step by step, when each task waited and why, which endpoint ran it, and what was refused on what ground. Ask the operators' listener of the home; the steps are kept in bounded memory.",
			example:   "lovagecrank job explain ID",
			flags:     jobExplainFlags,
		},
		{
			name:    "class list",
			title:   "List the classes with their targets and what they reach",
			text:    "Prints each class in force on the instance, its target, and what its jobs reached there.",
			example: "lovagecrank class list -output json",
			flags:   listFlags(classesPath, classHeading, writeClasses),
		},
		{
			name:      "class show",
			arguments: "NAME",
			title:     "Show one class",
			text:      "Prints a class, its target, and what its jobs reached on the instance.",
			example:   "lovagecrank class show payment",
			flags:     classShowFlags,
		},
		{
			name:      "class set",
			arguments: "NAME",
			title:     "Create or change a class",
			text:      "Sets the target of a class, or creates the class. What is not given stays as it is. If another operator changed the configuration meanwhile, the change is refused.",
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
			title:   "List the teams with their quotas and what they use",
			text:    "Prints each team in force on the instance, its quotas, and its tasks there.",
			example: "lovagecrank team list",
			flags:   listFlags(teamsPath, teamHeading, writeTeams),
		},
		{
			name:      "team set",
			arguments: "NAME",
			title:     "Create or change a team",
			text:      "Sets the quotas of a team, or creates the team. What is not given stays as it is.",
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
			text:    "Prints the entry instances as the asked one sees them, with the version of the configuration in force at each.",
			example: "lovagecrank instance list",
			flags:   listFlags(instancesPath, instanceHeading, writeInstances),
		},
		{
			name:    "endpoint list",
			title:   "List the endpoints",
			text:    "Prints the endpoints as the asked instance sees them: state, why it is not the usual one, speed against the expected, and tasks of this instance.",
			example: "lovagecrank endpoint list",
			flags:   listFlags(endpointsPath, endpointHeading, writeEndpoints),
		},
		{
			name:    "load",
			title:   "Drive running instances with an experiment",
			text:    "Submits jobs in open loop to the instances that the experiment names and prints response times against ideal by class. The progress goes to standard error.",
			example: "lovagecrank load -config examples/load/voltmesh.yaml -plot load.png",
			flags:   loadFlags,
		},
		{
			name:    "standin platform",
			title:   "Run a stand-in for the platform",
			text:    "Serves an in-memory table, object store and lists of instances and endpoints, to try the program out. It forgets everything when it stops.",
			example: "lovagecrank standin platform -listen 127.0.0.1:7000",
			flags:   standinPlatformFlags,
		},
		{
			name:    "standin endpoint",
			title:   "Run a stand-in for an endpoint",
			text:    "Serves tasks whose payload is a work order, such as those of examples/jobs, and announces itself to the platform. When it is interrupted, it takes no new tasks and finishes those it has.",
			example: "lovagecrank standin endpoint -id w-1 -listen 127.0.0.1:8001",
			flags:   standinEndpointFlags,
		},
		{
			name:      "explain",
			arguments: "CODE",
			title:     "Explain an error, a log event or a metric",
			text:      "Prints what a code of an error reply or of a log line means and what to do. CODE may also be the name of an error kind, such as over_quota, or of a metric. With -logs, CODE is a job's id, and the lines about it from the logs of several instances are printed in order.",
			example:   "lovagecrank explain LC2032",
			flags:     explainFlags,
		},
		{
			name:    "version",
			title:   "Print the version and the commit",
			text:    "Prints which release and which commit this program was built from.",
			example: "lovagecrank version -output json",
			flags:   versionFlags,
		},
	}
}

// flagSet returns a new flag set for the command and the action that uses it.
func (c command) flagSet() (*flag.FlagSet, action) {
	fs := flag.NewFlagSet(c.name, flag.ContinueOnError)
	return fs, c.flags(fs)
}

func (c command) argumentCount() int { return len(strings.Fields(c.arguments)) }

// usage returns the command's synopsis.
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
