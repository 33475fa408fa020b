package event

import "github.com/lovagecrank/lovagecrank/catalogue"

// The events. The order is that of the table and of the codes.
const (
	Started Kind = iota
	StopBegun
	Stopped
	StopForced
	SettingsLoaded
	ConfigurationInForce
	ConfigurationStale
	StoreDown
	StoreUp
	PeerJoined
	PeerLost
	PeerLeaving
	EndpointAdded
	EndpointLeaving
	EndpointEjected
	EndpointProbation
	EndpointReadmitted
	EjectionWithheld
	CapacityLost
	CapacityRegained
	JobRefused
	JobFailed
	TaskFateUnknown
	EndpointRefused
	CertificateReloaded
	CertificateRejected
	RequestFailed
	EndpointFenced
	EndpointSilent
	StartUnanswered
	RunStands
	CallerLeft
	TasksUncertain
	Thawed
	EntryUnreadable
	JobAnswered
	LinesDropped
	SettingsRejected
	kinds
)

// Kind names a row of the table of events.
type Kind uint8

var table = [kinds]catalogue.Entry{
	Started:              row("LC2000", catalogue.Info, "Instance started", "The instance serves callers on the logged addresses.", "Nothing needs to be done."),
	StopBegun:            row("LC2001", catalogue.Info, "Planned stop begun", "The instance takes no new jobs and finishes those it has.", "Wait for the event that tells that it stopped."),
	Stopped:              row("LC2002", catalogue.Info, "Instance stopped", "Every job of the instance was answered before it stopped.", "Nothing needs to be done."),
	StopForced:           row("LC2003", catalogue.Warning, "Stop forced", "A second signal or the stop's time limit ended the instance before all jobs were answered; the log names how many were lost.", "Callers of the lost jobs get outcome_unknown; raise the stop's time limit if this was not intended."),
	SettingsLoaded:       row("LC2004", catalogue.Info, "Settings loaded", "The settings file was read and checked.", "Nothing needs to be done."),
	ConfigurationInForce: row("LC2010", catalogue.Info, "Configuration in force", "A higher version of classes, targets and quotas is in force on this instance.", "Nothing needs to be done."),
	ConfigurationStale:   row("LC2011", catalogue.Warning, "Configuration may be stale", "Neither the store nor a peer has confirmed the version in force for longer than the limit.", "Check the links to the platform and to the other instances."),
	StoreDown:            row("LC2012", catalogue.Warning, "Store out of reach", "Calls to the platform's store fail or time out. Submissions with issued ids go on.", "Check the platform; callers who choose their own ids are refused as not run until it is back."),
	StoreUp:              row("LC2013", catalogue.Info, "Store back", "Calls to the platform's store succeed again.", "Nothing needs to be done."),
	PeerJoined:           row("LC2020", catalogue.Info, "Peer joined", "Another instance was found and answers.", "Nothing needs to be done."),
	PeerLost:             row("LC2021", catalogue.Warning, "Peer lost", "Another instance does not answer any more. Its submissions have an unknown outcome unless it returns.", "Check the instance if it was not replaced on purpose."),
	PeerLeaving:          row("LC2022", catalogue.Info, "Peer leaving", "Another instance has begun its planned stop.", "Nothing needs to be done."),
	EndpointAdded:        row("LC2030", catalogue.Info, "Endpoint added", "The platform's list has a new endpoint.", "Nothing needs to be done."),
	EndpointLeaving:      row("LC2031", catalogue.Info, "Endpoint leaving", "The endpoint gets no new work.", "Nothing needs to be done."),
	EndpointEjected:      row("LC2032", catalogue.Warning, "Endpoint ejected", "The endpoint fails or is slow far beyond its peers and gets no work for a while.", "Look at the endpoint; it is tried again with one task by itself."),
	EndpointProbation:    row("LC2033", catalogue.Info, "Endpoint on probation", "An ejected endpoint is tried with one task at a time.", "Nothing needs to be done."),
	EndpointReadmitted:   row("LC2034", catalogue.Info, "Endpoint readmitted", "The endpoint did well on probation and gets work again.", "Nothing needs to be done."),
	EjectionWithheld:     row("LC2035", catalogue.Warning, "Ejection withheld", "More endpoints look bad than may be ejected at once, which points to a cause on this side.", "Check this data centre's network and the platform."),
	CapacityLost:         row("LC2036", catalogue.Warning, "Capacity lost", "Endpoints of a rack have become slower; lower classes yield first.", "Check cooling; nothing needs to be set."),
	CapacityRegained:     row("LC2037", catalogue.Info, "Capacity regained", "The endpoints of a rack are back at their speed.", "Nothing needs to be done."),
	JobRefused:           row("LC2040", catalogue.Info, "Job refused", "A job was refused as not run, for the logged kind.", "See the kind's remedy with `lovagecrank explain`."),
	JobFailed:            row("LC2041", catalogue.Warning, "Job failed", "A job failed, for the logged kind.", "See the kind's remedy with `lovagecrank explain`."),
	TaskFateUnknown:      row("LC2042", catalogue.Warning, "Fate of a task unknown", "A task was sent and no answer came; it is never sent again.", "Look at the endpoint that the log names."),
	EndpointRefused:      row("LC2043", catalogue.Info, "Endpoint refused a task", "The endpoint said that it did not run the task, and another may have it.", "Frequent refusals mean that instances disagree about who feeds an endpoint; see docs/POLICY.md."),
	CertificateReloaded:  row("LC2050", catalogue.Info, "Certificate reloaded", "The certificate and key files changed and are in use.", "Nothing needs to be done."),
	CertificateRejected:  row("LC2051", catalogue.Warning, "Certificate rejected", "The certificate and key files changed but cannot be used; the earlier ones stay in use.", "Correct the files that the log names."),
	RequestFailed:        row("LC2060", catalogue.Warning, "Request could not be answered", "A reply could not be written to a caller.", "Nothing needs to be done; the caller can ask again with the same id."),
	EndpointFenced:       row("LC2061", catalogue.Info, "Endpoint has another holder", "The endpoint has seen the fencing token of a later holder and takes no orders of this instance any more.", "Nothing needs to be done; frequent changes of holder point to instances that cannot reach each other."),
	EndpointSilent:       row("LC2062", catalogue.Warning, "Endpoint does not answer", "The endpoint has answered nothing for so long that its lease is over and nothing of this instance runs there any more.", "Look at the endpoint and the network to it."),
	StartUnanswered:      row("LC2063", catalogue.Warning, "Start not answered", "The endpoint did not answer a start in time. The run is stopped there before the task starts elsewhere.", "Look at the endpoint that the log names."),
	RunStands:            row("LC2064", catalogue.Warning, "Run stands still", "A run is far over its estimate and makes too little progress. It is stopped and the task starts elsewhere.", "Look at the endpoint that the log names."),
	CallerLeft:           row("LC2065", catalogue.Info, "Caller left", "The caller's connection ended before its answer. What runs for it is stopped, since it may ask elsewhere.", "Nothing needs to be done."),
	TasksUncertain:       row("LC2066", catalogue.Warning, "Runs uncertain", "The holder of some runs cannot be reached. The tasks start again only after those runs must have ended.", "Look at the instance that the log names."),
	Thawed:               row("LC2067", catalogue.Warning, "Instance stood still", "The process did not run for a while. Jobs with tasks that had not started are answered, since their callers may have asked elsewhere.", "Look at the load of the host."),
	EntryUnreadable:      row("LC2068", catalogue.Warning, "Entry cannot be used", "A row of the platform's store has missing or wrong fields and is left out.", "Look at what wrote the row that the log names."),
	JobAnswered:          row("LC2069", catalogue.Info, "Job answered", "A job is complete and its caller has the answer.", "Nothing needs to be done."),
	LinesDropped:         row("LC2070", catalogue.Warning, "Log lines dropped", "More lines came than the log's buffer holds; the log names how many were dropped.", "Refusals and failures have a buffer of their own; see docs/OPERATIONS.md."),
	SettingsRejected:     row("LC2071", catalogue.Warning, "Settings rejected", "The settings file changed and cannot be used; the earlier settings stay in force.", "Correct the key that the log names."),
}

func row(code string, severity catalogue.Severity, title, text, remedy string) catalogue.Entry {
	return catalogue.Entry{Code: code, Title: title, Text: text, Remedy: remedy, Since: "0.1.0", Severity: severity}
}

// Entry returns the kind's row of the table.
func (k Kind) Entry() catalogue.Entry { return table[k] }

// Entries returns the documented rows in the order of their codes.
func Entries() []catalogue.Entry { return table[:] }
