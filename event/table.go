package event

import "github.com/lovagecrank/lovagecrank/catalogue"

// The kinds of events, in the order of their codes.
const (
	Started Kind = iota
	StopStarted
	Stopped
	StopForced
	SettingsLoaded
	ConfigurationInForce
	ConfigurationStale
	StoreUnreachable
	StoreReachable
	PeerJoined
	PeerLost
	PeerDraining
	EndpointAdded
	EndpointDraining
	EndpointEjected
	EndpointProbation
	EndpointReadmitted
	EjectionWithheld
	CapacityLost
	CapacityRegained
	JobRefused
	JobFailed
	TaskOutcomeUnknown
	EndpointRefused
	CertificateReloaded
	CertificateRejected
	RequestFailed
	EndpointFenced
	EndpointUnresponsive
	StartUnanswered
	RunStalled
	CallerDisconnected
	RunsUnconfirmed
	Suspended
	StoreRowInvalid
	JobAnswered
	LinesDropped
	SettingsRejected
	StopNotAccepted
	RunConcluded
	EndpointsClaimed
	EndpointsReleased
	EndpointAnswers
	EvacuationInForce
	EvacuationLifted
	EvacuationsUnknown
	RunMoved
	EndpointLeft
	EndpointsReplaced
	RemainingTimeInvalid
	ViewInvalid
	EndpointLost
	EndpointCrashProved
	EndpointLossWithdrawn
	TaskSuspected
	RunFailed
	FailureCounted
	ConnectionRefused
	numKinds
)

// Kind is a kind of event: an index into the table.
type Kind uint8

var table = [numKinds]catalogue.Entry{
	Started:               row("LC2000", catalogue.Info, "Instance started", "The instance serves callers on the logged addresses.", "No action is needed."),
	StopStarted:           row("LC2001", catalogue.Info, "Planned stop started", "The instance accepts no new jobs and finishes the jobs that it has.", "Wait for the event that reports the end of the stop."),
	Stopped:               row("LC2002", catalogue.Info, "Instance stopped", "Every request was answered before the instance stopped.", "No action is needed."),
	StopForced:            row("LC2003", catalogue.Warning, "Stop forced", "A second signal or the time limit of the stop ended the instance before all requests were answered; the log gives how many were lost.", "Callers of the lost requests get outcome_unknown; raise the time limit of the stop if this was not intended."),
	SettingsLoaded:        row("LC2004", catalogue.Info, "Settings loaded", "The settings file was read and checked.", "No action is needed."),
	ConfigurationInForce:  row("LC2010", catalogue.Info, "Configuration in force", "A newer version of the classes, targets and quotas is in force on this instance.", "No action is needed."),
	ConfigurationStale:    row("LC2011", catalogue.Warning, "Configuration may be stale", "Neither the store nor a peer has confirmed the version in force for longer than the limit.", "Check the links to the platform and to the other instances."),
	StoreUnreachable:      row("LC2012", catalogue.Warning, "Store unreachable", "Calls to the platform's store fail or time out. Submissions with issued ids are still accepted.", "Check the platform. Submissions with ids that callers choose are refused as not run until the store is reachable again."),
	StoreReachable:        row("LC2013", catalogue.Info, "Store reachable again", "Calls to the platform's store succeed again.", "No action is needed."),
	PeerJoined:            row("LC2020", catalogue.Info, "Peer joined", "Another instance was found and answers.", "No action is needed."),
	PeerLost:              row("LC2021", catalogue.Warning, "Peer lost", "Another instance no longer answers. The outcome of its submissions is unknown unless it returns.", "Check the instance unless it was replaced on purpose."),
	PeerDraining:          row("LC2022", catalogue.Info, "Peer draining", "Another instance has started its planned stop.", "No action is needed."),
	EndpointAdded:         row("LC2030", catalogue.Info, "Endpoint added", "The platform's list has a new endpoint.", "No action is needed."),
	EndpointDraining:      row("LC2031", catalogue.Info, "Endpoint draining", "The endpoint gets no new work.", "No action is needed."),
	EndpointEjected:       row("LC2032", catalogue.Warning, "Endpoint ejected", "The endpoint fails, or is far slower than its peers, and gets no work for a while.", "Check the endpoint. It is retried automatically with one task."),
	EndpointProbation:     row("LC2033", catalogue.Info, "Endpoint on probation", "An ejected endpoint is retried with one task at a time.", "No action is needed."),
	EndpointReadmitted:    row("LC2034", catalogue.Info, "Endpoint readmitted", "The endpoint passed its probation and gets work again.", "No action is needed."),
	EjectionWithheld:      row("LC2035", catalogue.Warning, "Ejection withheld", "More endpoints fail or are slow than may be ejected at once, which suggests a cause on this side rather than at the endpoints.", "Check this data centre's network and the platform."),
	CapacityLost:          row("LC2036", catalogue.Warning, "Capacity lost", "Endpoints of a rack have become slower. Lower classes lose capacity first.", "Check the cooling. No setting needs to be changed."),
	CapacityRegained:      row("LC2037", catalogue.Info, "Capacity regained", "The endpoints of a rack are back at their normal speed.", "No action is needed."),
	JobRefused:            row("LC2040", catalogue.Info, "Job refused", "A job was refused as not run; the log names the kind of error.", "Print the remedy for the kind of error with `lovagecrank explain`."),
	JobFailed:             row("LC2041", catalogue.Warning, "Job failed", "A job failed; the log names the kind of error.", "Print the remedy for the kind of error with `lovagecrank explain`."),
	TaskOutcomeUnknown:    row("LC2042", catalogue.Warning, "Task outcome unknown", "A task was sent and no answer came. It is never sent again.", "Check the endpoint that the log names."),
	EndpointRefused:       row("LC2043", catalogue.Info, "Endpoint refused a task", "The endpoint certainly did not run the task, which may start on another endpoint.", "Frequent refusals mean that instances disagree about which of them sends tasks to an endpoint; see docs/POLICY.md."),
	CertificateReloaded:   row("LC2050", catalogue.Info, "Certificate reloaded", "The certificate and key files changed and are in use.", "No action is needed."),
	CertificateRejected:   row("LC2051", catalogue.Warning, "Certificate rejected", "The certificate and key files changed but cannot be used; the previous ones stay in use.", "Correct the files that the log names."),
	RequestFailed:         row("LC2060", catalogue.Warning, "Request could not be answered", "A reply could not be written to a caller.", "No action is needed; the caller can retry with the same id."),
	EndpointFenced:        row("LC2061", catalogue.Info, "Endpoint has another holder", "The endpoint has seen the fencing token of a later holder and rejects orders from this instance.", "No action is needed. Frequent changes of holder suggest that instances cannot reach each other."),
	EndpointUnresponsive:  row("LC2062", catalogue.Warning, "Endpoint does not answer", "The endpoint has not answered for longer than its lease, so no runs of this instance remain there.", "Check the endpoint and the network to it."),
	StartUnanswered:       row("LC2063", catalogue.Warning, "Start not answered", "The endpoint did not answer a start order in time. The run is stopped there before the task starts elsewhere.", "Check the endpoint that the log names."),
	RunStalled:            row("LC2064", catalogue.Warning, "Run stalled", "A run has far exceeded its estimate and makes too little progress. It is stopped, and the task starts elsewhere.", "Check the endpoint that the log names."),
	CallerDisconnected:    row("LC2065", catalogue.Info, "Caller disconnected", "The caller's connection ended before the answer. The runs of its job are stopped, because the caller may retry elsewhere.", "No action is needed."),
	RunsUnconfirmed:       row("LC2066", catalogue.Warning, "Runs unconfirmed", "The holder of some runs cannot be reached. The tasks start again only once those runs must have ended.", "Check the instance that the log names."),
	Suspended:             row("LC2067", catalogue.Warning, "Instance was suspended", "The process did not run for a while. Jobs with tasks that had not started are answered with an error, because their callers may have retried elsewhere.", "Check the load of the host."),
	StoreRowInvalid:       row("LC2068", catalogue.Warning, "Store row is invalid", "A row of the platform's store has missing or invalid fields and is ignored.", "Check what wrote the row that the log names."),
	JobAnswered:           row("LC2069", catalogue.Info, "Job answered", "A job is complete and its caller has the answer.", "No action is needed."),
	LinesDropped:          row("LC2070", catalogue.Warning, "Log lines dropped", "More lines were logged than the buffer holds; the log gives the number of dropped lines.", "Refusals and failures have a separate buffer; see docs/OPERATIONS.md."),
	SettingsRejected:      row("LC2071", catalogue.Warning, "Settings rejected", "The settings file changed and cannot be used; the previous settings stay in force.", "Correct the key that the log names."),
	StopNotAccepted:       row("LC2072", catalogue.Warning, "Stop not accepted", "The endpoint refused a stop order or did not answer it. The run may continue, and its task does not start elsewhere until its end is proved.", "Check the endpoint that the log names. The stop is repeated."),
	RunConcluded:          row("LC2073", catalogue.Info, "Run concluded", "A run counts as over, or as never begun, though the endpoint did not list its end. The log gives the evidence.", "No action is needed. If two runs of a task overlap, the evidence tells which conclusion was wrong."),
	EndpointsClaimed:      row("LC2074", catalogue.Info, "Endpoints claimed", "The instance claims endpoints, from which it then orders runs. The log gives the reason. A line may stand for several claims of half a second.", "No action is needed."),
	EndpointsReleased:     row("LC2075", catalogue.Info, "Endpoints released", "The instance gives up endpoints. The log gives the reason. A line may stand for several releases of half a second.", "No action is needed."),
	EndpointAnswers:       row("LC2076", catalogue.Info, "Endpoint answers again", "An endpoint that did not answer answers again, and no run of an earlier holder is left there; or an endpoint answers for the first time after it restarted.", "No action is needed."),
	EvacuationInForce:     row("LC2077", catalogue.Info, "Evacuation in force", "An operator asked that no work goes to the endpoints of the data centre. Runs that are under way there go on.", "No action is needed. Jobs that only these endpoints could run are refused until the request is taken back."),
	EvacuationLifted:      row("LC2078", catalogue.Info, "Evacuation lifted", "The request was taken back, and the endpoints of the data centre get work again.", "No action is needed."),
	EvacuationsUnknown:    row("LC2079", catalogue.Warning, "Evacuations unknown", "The instance has started and could not learn which data centres are evacuated. It uses all endpoints until it does.", "Check the links to the platform and to the other instances. An operator who has evacuated a data centre should stop this instance."),
	RunMoved:              row("LC2080", catalogue.Info, "Run moved", "A run would have outlasted its endpoint, which leaves. It is stopped there, and its task starts elsewhere.", "No action is needed."),
	EndpointLeft:          row("LC2081", catalogue.Info, "Endpoint left", "An endpoint that was draining no longer answers and has no runs any more. The log gives how many runs ended with it.", "If many runs end with their endpoints, give a longer notice before endpoints are taken away."),
	EndpointsReplaced:     row("LC2082", catalogue.Info, "Endpoints replaced", "Many endpoints of a service drain or are new within a short time. The line has their numbers and stands for one line each.", "No action is needed if this was planned."),
	RemainingTimeInvalid:  row("LC2083", catalogue.Warning, "Remaining time is invalid", "A draining endpoint reported a remaining time that cannot be right. It is ignored; the endpoint gets no new work.", "Check the endpoint that the log names."),
	ViewInvalid:           row("LC2084", catalogue.Warning, "View of a data centre is invalid", "A peer sent a view or a report of capacity that can't be true. It is ignored; the log gives the reason.", "Check the release of the instance that the log names."),
	EndpointLost:          row("LC2085", catalogue.Warning, "Endpoint lost with runs", "An endpoint that was not announced to leave has not answered for longer than its lease, or has started again, and had runs. The log gives their tasks. One of them may have crashed it.", "If the same task, or tasks of the same job, are named for several endpoints, look at what they do."),
	EndpointCrashProved:   row("LC2086", catalogue.Warning, "Endpoint crash proved", "An endpoint that was lost with runs has started again, or another one has at its address.", "As for LC2085."),
	EndpointLossWithdrawn: row("LC2087", catalogue.Info, "Endpoint loss withdrawn", "An endpoint that was lost with runs answers again without a restart. It was only silent, and no task is suspected for it.", "Check the network to the endpoint."),
	TaskSuspected:         row("LC2088", catalogue.Info, "Task suspected", "A task that waits was lost with endpoints, so that it may have crashed them. The log gives how it may start again: apart from others if possible, alone on an endpoint, not before the losses are proved or withdrawn (wait), not before they are forgotten (withhold), or as any other (free).", "If it is withheld, look at what the task does."),
	RunFailed:             row("LC2089", catalogue.Info, "Run failed", "An endpoint has listed the end of a run as failed. The log gives the number of the end and the start of the endpoint's boot, so that no end is taken for another.", "No action is needed. If an endpoint is named often, look at what it runs."),
	FailureCounted:        row("LC2090", catalogue.Info, "Failure counted", "The home of a job has counted a failed run of a task; the log gives how many failures the queue allows. With the last of them the job fails.", "No action is needed. Each count should have an LC2089 of the same run and endpoint."),
	ConnectionRefused:     row("LC2091", catalogue.Warning, "Connections refused", "Clients' connections were closed or refused: there were too many, or their headers took too much memory. The log gives the last one. A line stands for all of ten seconds.", "Look at what the client sends. docs/POLICY.md describes the limits."),
}

func row(code string, severity catalogue.Severity, title, text, remedy string) catalogue.Entry {
	return catalogue.Entry{Code: code, Title: title, Text: text, Remedy: remedy, Since: "0.1.0", Severity: severity}
}

// Entry returns the documentation of the kind.
func (k Kind) Entry() catalogue.Entry { return table[k] }

// Entries returns the documentation of all kinds in the order of their codes.
func Entries() []catalogue.Entry { return table[:] }
