package metric

// The metrics. The order is that of the page.
const (
	ready id = iota
	configurationVersion
	configurationStale
	storeReachable
	peersLive
	endpoints
	classTarget
	classWaiting
	classRunning
	classJobs
	classWithinTarget
	classResponse
	classRatio
	teamWaiting
	teamRunning
	taskStarts
	taskRefusals
	slotGrants
	slotGrantsUnused
	slotMessages
	wastedMessages
	replies
	replySeconds
	startSeconds
	storeCalls
	storeSeconds
	events
	peerMessages
	peerBytes
	answerSeconds
	orders
	openJobs
	heldRuns
	ids
)

// The types of metrics.
const (
	gauge     kind = "gauge"
	counter   kind = "counter"
	histogram kind = "histogram"
)

type (
	// id names a row of the table.
	id int

	// kind is the type of a metric.
	kind string

	// row describes one metric.
	row struct {
		name   string
		kind   kind
		unit   string
		labels []string
		// meaning and action are full sentences.
		meaning string
		action  string
	}
)

const nothing = "Nothing."

var table = [ids]row{
	ready:                {"lovagecrank_ready", gauge, "0 or 1", nil, "1 if the instance takes jobs.", "If it stays 0, look at GET /readyz for the reason."},
	configurationVersion: {"lovagecrank_configuration_version", gauge, "version", nil, "The version of the configuration in force here.", "All instances show the same within 8 s of a change; if one lags, check its links to the platform and to its peers."},
	configurationStale:   {"lovagecrank_configuration_stale", gauge, "0 or 1", nil, "1 if nobody has confirmed the version in force for too long.", "See event LC2011."},
	storeReachable:       {"lovagecrank_store_reachable", gauge, "0 or 1", nil, "1 unless calls to the platform's store fail.", "See event LC2012."},
	peersLive:            {"lovagecrank_peers_live", gauge, "instances", nil, "Other instances that answer.", "If it falls without a planned stop, see event LC2021."},
	endpoints:            {"lovagecrank_endpoints", gauge, "endpoints", []string{"state"}, "Endpoints by state, as this instance sees them.", "If many are ejected, see events LC2032 and LC2035."},
	classTarget:          {"lovagecrank_class_target_seconds", gauge, "seconds", []string{"class"}, "The target of the class.", nothing},
	classWaiting:         {"lovagecrank_class_waiting_tasks", gauge, "tasks", []string{"class"}, "Tasks that wait on this instance.", "If it grows for the most urgent class, capacity is short: see lovagecrank_endpoints."},
	classRunning:         {"lovagecrank_class_running_tasks", gauge, "tasks", []string{"class"}, "Tasks that this instance has on endpoints.", nothing},
	classJobs:            {"lovagecrank_class_jobs_total", counter, "jobs", []string{"class", "state"}, "Jobs with a final result by state: complete, failed or not_run.", "If failed or not_run rise, read the reasons in the log (LC2040, LC2041)."},
	classWithinTarget:    {"lovagecrank_class_within_target_total", counter, "jobs", []string{"class"}, "Complete jobs whose whole answer came within the target.", "Compare with complete jobs; if the share falls, raise the target or the capacity."},
	classResponse:        {"lovagecrank_class_response_seconds", gauge, "seconds", []string{"class", "quantile"}, "Quantiles of the response time of complete jobs since the start.", "Compare with the target."},
	classRatio:           {"lovagecrank_class_response_ratio", gauge, "ratio", []string{"class", "quantile"}, "Quantiles of the response time over that of an idle system.", "1 is ideal; a higher value is time spent waiting."},
	teamWaiting:          {"lovagecrank_team_waiting_tasks", gauge, "tasks", []string{"team"}, "Tasks of the team that wait on this instance.", "If it stays high while endpoints are idle, look at the team's quota."},
	teamRunning:          {"lovagecrank_team_running_tasks", gauge, "tasks", []string{"team"}, "Tasks of the team that this instance has on endpoints.", nothing},
	taskStarts:           {"lovagecrank_task_starts_total", counter, "tasks", nil, "Tasks that were given to an endpoint, refused ones included.", nothing},
	taskRefusals:         {"lovagecrank_task_refusals_total", counter, "tasks", nil, "Tasks that an endpoint provably did not take; each is a wasted message.", "If it exceeds 1 in 100 starts, instances disagree about who feeds an endpoint, or endpoints are out of reach; see event LC2043."},
	slotGrants:           {"lovagecrank_slot_grants_total", counter, "slots", nil, "Slots that other instances lent to this one.", nothing},
	slotGrantsUnused:     {"lovagecrank_slot_grants_unused_total", counter, "slots", nil, "Lent slots that went back without a start; each is a wasted message.", nothing},
	slotMessages:         {"lovagecrank_slot_messages_total", counter, "messages", []string{"kind"}, "Messages about slots by kind: want, return or lend.", nothing},
	wastedMessages:       {"lovagecrank_wasted_messages_total", counter, "messages", nil, "Messages that moved no work: refusals, grants unused and wants unanswered.", "Compare with starts; see docs/OPERATING-CLASSES.md."},
	replies:              {"lovagecrank_replies_total", counter, "replies", []string{"listener", "route", "status"}, "Replies by listener, route and HTTP status.", "If 5xx rise, read the log for the kinds of refusals."},
	replySeconds:         {"lovagecrank_reply_seconds", histogram, "seconds", []string{"listener", "route"}, "Time from a request's header to its reply, waiting for the result included.", nothing},
	startSeconds:         {"lovagecrank_start_seconds", histogram, "seconds", []string{"outcome"}, "Time from the send of a task to its end by outcome: answered, failed, refused or lost.", "If lost rises, look at the endpoints that event LC2042 names."},
	storeCalls:           {"lovagecrank_store_calls_total", counter, "calls", []string{"fate"}, "Calls to the platform's table by fate: done, not_applied or doubtful.", "If doubtful rises, check the platform."},
	storeSeconds:         {"lovagecrank_store_seconds", histogram, "seconds", nil, "Time that a call to the platform's table takes.", "If it nears timeouts.store_call, check the platform."},
	events:               {"lovagecrank_events_total", counter, "events", []string{"code"}, "Log events by code.", "See docs/EVENTS.md for each code."},
	peerMessages:         {"lovagecrank_peer_messages_total", counter, "messages", []string{"direction"}, "Messages to and from other instances: sent or received.", nothing},
	peerBytes:            {"lovagecrank_peer_bytes_total", counter, "bytes", []string{"direction"}, "Bytes of these messages before framing.", "Control is meant to stay below 19 KB a second; forwarded jobs come on top."},
	answerSeconds:        {"lovagecrank_answer_seconds", histogram, "seconds", []string{"queue", "outcome", "reason"}, "On the platform: time from a job's arrival to its answer by queue, outcome (complete, not_run, failed or cancelled) and the code of the reason.", "Look the code up with lovagecrank explain; docs/OPERATIONS.md leads from a job to its cause."},
	orders:               {"lovagecrank_orders_total", counter, "orders", []string{"order", "verdict"}, "On the platform: orders to endpoints by kind (start, stop or look) and what became of them.", "If unanswered or fenced rise, see events LC2061 to LC2063 in the log."},
	openJobs:             {"lovagecrank_open_jobs", gauge, "jobs", nil, "On the platform: jobs that callers wait for here.", nothing},
	heldRuns:             {"lovagecrank_held_runs", gauge, "runs", nil, "On the platform: runs on the endpoints that this instance holds.", nothing},
}
