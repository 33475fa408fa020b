package fault

import (
	"net/http"

	"github.com/lovagecrank/lovagecrank/catalogue"
)

// The kinds of errors, in the order of their codes.
const (
	Internal Kind = iota
	BadRequest
	TooLarge
	UnknownClass
	UnknownTeam
	NoEndpointFits
	DeadlineTooNear
	OverQuota
	QueueFull
	Stopping
	StoreUnavailable
	HomeUnreachable
	OutcomeUnknown
	TaskFailed
	TaskUnknown
	Cancelled
	NotFound
	Conflict
	EndpointsUnavailable
	IDReused
	Unauthorized
	ChangeUnknown
	DeadlineExceeded
	AnswerNotStored
	TasksNotRun
	SubmissionUnchecked
	NotReady
	JobUnsupported
	JobTooLarge
	numKinds
)

type (
	// Kind is a kind of error: an index into the table.
	Kind uint8

	// Row describes one kind of error.
	Row struct {
		catalogue.Entry
		// Name is the name of the kind on the wire, in snake case.
		Name string
		// Status is the HTTP status of replies with the error.
		Status int
		// NotRun is true if no task of the refused request has started or
		// ever will.
		NotRun bool
	}
)

var table = [numKinds]Row{
	Internal:             row("LC1000", "internal", http.StatusInternalServerError, false, "Internal error", "The program reached a state that it does not expect.", "Report the message and the instance's log to the maintainers."),
	BadRequest:           row("LC1001", "bad_request", http.StatusBadRequest, true, "Request is not valid", "A field of the request is missing, malformed or out of its range.", "Correct the named field and send the request again."),
	TooLarge:             row("LC1002", "too_large", http.StatusRequestEntityTooLarge, true, "Request exceeds a size limit", "The body, the number of tasks or a payload exceeds the limit that the detail names.", "Split the job or shorten the payload."),
	UnknownClass:         row("LC1003", "unknown_class", http.StatusUnprocessableEntity, true, "Class does not exist", "The configuration in force has no class of that name.", "Use a class that `lovagecrank class list` shows, or ask an operator to create it."),
	UnknownTeam:          row("LC1004", "unknown_team", http.StatusUnprocessableEntity, true, "Team does not exist", "The configuration in force has no team of that name.", "Use a team that `lovagecrank team list` shows, or ask an operator to create it."),
	NoEndpointFits:       row("LC1005", "no_endpoint_fits", http.StatusUnprocessableEntity, true, "No endpoint can ever run the task", "The task declares more cores, memory or accelerators than any known endpoint has.", "Declare smaller needs or ask an operator for larger endpoints."),
	DeadlineTooNear:      row("LC1006", "deadline_too_near", http.StatusServiceUnavailable, true, "Deadline cannot be met", "The predicted finish lies after the job's deadline.", "Wait for the given time, or submit with a later deadline or a more urgent class."),
	OverQuota:            row("LC1007", "over_quota", http.StatusTooManyRequests, true, "Team is over its quota", "The team has as many waiting or running tasks, or starts per second, as its quota allows.", "Wait for the given time, or ask an operator to raise the quota."),
	QueueFull:            row("LC1008", "queue_full", http.StatusServiceUnavailable, true, "Waiting tasks are at their bound", "The instance holds as many waiting tasks as its time and memory limits allow for this class.", "Wait for the given time and submit again."),
	Stopping:             row("LC1009", "stopping", http.StatusServiceUnavailable, true, "Instance is stopping", "The instance accepts no new jobs because it is about to stop.", "Submit again; the balancer picks another instance."),
	StoreUnavailable:     row("LC1010", "store_unavailable", http.StatusServiceUnavailable, true, "Platform's store is out of reach", "A submission id chosen by the caller cannot be claimed while the store is unreachable.", "Wait for the given time, or use an id from POST /v1/submission_ids, which needs no store."),
	HomeUnreachable:      row("LC1011", "home_unreachable", http.StatusBadGateway, false, "Home of the submission is out of reach", "The home instance of this submission does not answer; the submission may be running there.", "Ask for the job again with the same submission id; do not submit the work under another id."),
	OutcomeUnknown:       row("LC1012", "outcome_unknown", http.StatusConflict, false, "Outcome of the submission is unknown", "The home instance of this submission is gone or no longer has a record of it. The submission never starts again.", "Check the effect of the work, then submit what is missing under a new id."),
	TaskFailed:           row("LC1013", "task_failed", http.StatusOK, false, "A task answered with an error", "An endpoint ran the task and answered that it failed.", "Read the task's answer, correct its payload and submit a new job."),
	TaskUnknown:          row("LC1014", "task_unknown", http.StatusOK, false, "Fate of a task is unknown", "The task was sent to an endpoint and no answer came. It is never sent again.", "Check the effect of the task, then submit what is missing under a new id."),
	Cancelled:            row("LC1015", "cancelled", http.StatusOK, false, "Job was cancelled", "The caller cancelled the job.", "Nothing needs to be done."),
	NotFound:             row("LC1016", "not_found", http.StatusNotFound, false, "Nothing of that name is known", "No submission, class, team, endpoint or instance of that name is known here.", "Check the name; results expire after the retention time."),
	Conflict:             row("LC1017", "conflict", http.StatusConflict, false, "Configuration has changed meanwhile", "Another operator changed the configuration after the version that this change was based on.", "Look at the current version, then repeat the change."),
	EndpointsUnavailable: row("LC1018", "endpoints_unavailable", http.StatusServiceUnavailable, true, "No endpoint takes work", "Every endpoint that could run the task is ejected, draining, unreachable or in an evacuated data centre.", "Wait for the given time and submit again."),
	IDReused:             row("LC1019", "id_reused", http.StatusConflict, false, "Submission id names another job", "A job with other contents was submitted under this id.", "Use a new id for new work."),
	Unauthorized:         row("LC1020", "unauthorized", http.StatusForbidden, true, "Caller may not do this", "The request lacks the certificate that this listener demands.", "Use a client certificate that the settings' authority has signed."),
	ChangeUnknown:        row("LC1021", "change_unknown", http.StatusGatewayTimeout, false, "Fate of the change is unknown", "The platform's table did not answer the request to apply the change; the change may take effect later.", "Repeat the change under the same change id; it takes effect once."),
	DeadlineExceeded:     row("LC1022", "deadline_exceeded", http.StatusGatewayTimeout, false, "Deadline passed", "The job's deadline passed after some of its tasks had been sent. Tasks that were not sent never start.", "Look at what is known of each task, then submit what is missing under a new id and with a later deadline."),
	AnswerNotStored:      row("LC1023", "answer_not_stored", http.StatusServiceUnavailable, false, "Answer is not stored yet", "The job has ended, but its class requires that answers are stored before they are sent, and the store is unreachable.", "Ask for the job again with the same submission id after the given time; do not submit the work under another id."),
	TasksNotRun:          row("LC1024", "tasks_not_run", http.StatusServiceUnavailable, false, "Some tasks could not be run", "Some tasks of the job ran and others were abandoned, for the reason that the detail gives. Tasks that were not sent never start.", "Look at what is known of each task, then submit what is missing under a new id."),
	SubmissionUnchecked:  row("LC1025", "submission_unchecked", http.StatusServiceUnavailable, false, "Submission id could not be checked", "This request started nothing and never will. It is not known whether an earlier request with the same id did, because the platform's store gives no answer.", "Wait for the given time and submit again with the same id; ids from POST /v1/submission_ids need no store. Do not use another id unless this was the first request for the work."),
	NotReady:             row("LC1026", "not_ready", http.StatusServiceUnavailable, true, "Instance is not ready", "The instance has just started and does not know the classes, the teams or the endpoints yet.", "Submit again; the balancer picks another instance."),
	JobUnsupported:       row("LC1027", "job_unsupported", http.StatusServiceUnavailable, true, "Kind of job is not served", "The job uses a feature that is not supported yet: it must be kept after its answer, runs several times or until it is cancelled, or has an unsupported kind of step.", "Submit jobs that are answered when they end, of ordinary steps."),
	JobTooLarge:          row("LC1028", "job_too_large", http.StatusServiceUnavailable, true, "Job is larger than an instance accepts", "The job has more tasks, or takes more memory, than the limit that the detail names.", "Split the job, or ask an operator to raise -job-tasks of `lovagecrank join` or the memory of the instances."),
}

func row(code, name string, status int, notRun bool, title, text, remedy string) Row {
	return Row{
		Entry:  catalogue.Entry{Code: code, Title: title, Text: text, Remedy: remedy, Since: "0.1.0", Severity: catalogue.Error},
		Name:   name,
		Status: status,
		NotRun: notRun,
	}
}

// Row returns the row of the kind, or that of Internal if the kind is out of
// range.
func (k Kind) Row() Row {
	if k >= numKinds {
		return table[Internal]
	}
	return table[k]
}

// String returns the name of the kind on the wire.
func (k Kind) String() string { return k.Row().Name }

// ParseKind returns the kind with the given wire name and reports whether there
// is one. It returns Internal if there is none.
func ParseKind(name string) (Kind, bool) {
	for k := range numKinds {
		if table[k].Name == name {
			return k, true
		}
	}
	return Internal, false
}

// Entries returns the documentation of all kinds in the order of their codes.
func Entries() []catalogue.Entry {
	entries := make([]catalogue.Entry, 0, numKinds)
	for _, r := range table {
		entries = append(entries, r.Entry)
	}
	return entries
}

// Kinds returns all kinds in the order of their codes.
func Kinds() []Kind {
	list := make([]Kind, 0, numKinds)
	for k := range numKinds {
		list = append(list, k)
	}
	return list
}
