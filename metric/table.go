package metric

// The metrics, in the order of docs/METRICS.md.
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
	jobMemory
	heldRuns
	profileMessages
	endpointLosses
	evacuatedDataCentres
	offersSent
	offersEnded
	offersReserved
	slotTime
	viewAge
	viewSlots
	connections
	refusedConnections
	headerMemory
	numMetrics
)

// The types of metrics.
const (
	gauge     kind = "gauge"
	counter   kind = "counter"
	histogram kind = "histogram"
)

type (
	// id identifies a metric: an index into the table.
	id int

	// kind is the type of a metric.
	kind string

	// row defines one metric.
	row struct {
		name   string
		kind   kind
		unit   string
		labels []string
		// meaning explains the metric, and action is what an operator should
		// do about it. Both are full sentences.
		meaning string
		action  string
	}
)

// noAction is the action of metrics that need none.
const noAction = "Nothing."

var table = [numMetrics]row{
	ready:                {"lovagecrank_ready", gauge, "0 or 1", nil, "1 if the instance accepts jobs.", "If it stays 0, see GET /readyz for the reason."},
	configurationVersion: {"lovagecrank_configuration_version", gauge, "version", nil, "The version of the configuration in force on this instance.", "All instances show the same version within 8 s of a change; if one lags behind, check its links to the platform and to its peers."},
	configurationStale:   {"lovagecrank_configuration_stale", gauge, "0 or 1", nil, "1 if neither the store nor a peer has confirmed the version in force for longer than the limit.", "See event LC2011."},
	storeReachable:       {"lovagecrank_store_reachable", gauge, "0 or 1", nil, "1 unless calls to the platform's store fail.", "See event LC2012."},
	peersLive:            {"lovagecrank_peers_live", gauge, "instances", nil, "The number of other instances that answer.", "If it drops without a planned stop, see event LC2021."},
	endpoints:            {"lovagecrank_endpoints", gauge, "endpoints", []string{"state"}, "Endpoints by state, as this instance sees them.", "If many are ejected, see events LC2032 and LC2035."},
	classTarget:          {"lovagecrank_class_target_seconds", gauge, "seconds", []string{"class"}, "The response time target of the class.", noAction},
	classWaiting:         {"lovagecrank_class_waiting_tasks", gauge, "tasks", []string{"class"}, "Waiting tasks on this instance.", "If it grows for the most urgent class, capacity is short: see lovagecrank_endpoints."},
	classRunning:         {"lovagecrank_class_running_tasks", gauge, "tasks", []string{"class"}, "Tasks of this instance that run on endpoints.", noAction},
	classJobs:            {"lovagecrank_class_jobs_total", counter, "jobs", []string{"class", "state"}, "Jobs with a final result by state: complete, failed or not_run.", "If failed or not_run rises, see the log for the reasons (LC2040, LC2041)."},
	classWithinTarget:    {"lovagecrank_class_within_target_total", counter, "jobs", []string{"class"}, "Complete jobs whose response time was within the target.", "Compare with the number of complete jobs; if the share drops, raise the target or the capacity."},
	classResponse:        {"lovagecrank_class_response_seconds", gauge, "seconds", []string{"class", "quantile"}, "Quantiles of the response time of complete jobs since the start.", "Compare with the target."},
	classRatio:           {"lovagecrank_class_response_ratio", gauge, "ratio", []string{"class", "quantile"}, "Quantiles of the ratio of the response time of complete jobs to that on an idle system.", "1 is ideal; a higher value means time spent waiting."},
	teamWaiting:          {"lovagecrank_team_waiting_tasks", gauge, "tasks", []string{"team"}, "Waiting tasks of the team on this instance.", "If it stays high while endpoints are idle, check the team's quota."},
	teamRunning:          {"lovagecrank_team_running_tasks", gauge, "tasks", []string{"team"}, "Tasks of the team that run on endpoints for this instance.", noAction},
	taskStarts:           {"lovagecrank_task_starts_total", counter, "tasks", nil, "Tasks sent to an endpoint, including refused ones.", noAction},
	taskRefusals:         {"lovagecrank_task_refusals_total", counter, "tasks", nil, "Tasks that an endpoint certainly did not start; each is a wasted message.", "If it exceeds 1 in 100 starts, instances disagree about which of them sends tasks to an endpoint, or endpoints are unreachable; see event LC2043."},
	slotGrants:           {"lovagecrank_slot_grants_total", counter, "slots", nil, "Slots that other instances lent to this one.", noAction},
	slotGrantsUnused:     {"lovagecrank_slot_grants_unused_total", counter, "slots", nil, "Borrowed slots that were returned without a start; each is a wasted message.", noAction},
	slotMessages:         {"lovagecrank_slot_messages_total", counter, "messages", []string{"kind"}, "Messages about slots sent to other instances by kind: want, return or lend.", noAction},
	wastedMessages:       {"lovagecrank_wasted_messages_total", counter, "messages", nil, "Messages that led to no start: refused starts, unused grants and unanswered wants.", "Compare with the number of starts; see docs/OPERATING-CLASSES.md."},
	replies:              {"lovagecrank_replies_total", counter, "replies", []string{"listener", "route", "status"}, "Replies by listener, route and HTTP status.", "If 5xx replies rise, see the log for the kinds of refusals."},
	replySeconds:         {"lovagecrank_reply_seconds", histogram, "seconds", []string{"listener", "route"}, "Time from the header of a request to its reply, including the wait for the result.", noAction},
	startSeconds:         {"lovagecrank_start_seconds", histogram, "seconds", []string{"outcome"}, "Time from sending a task to its end by outcome: answered, failed, refused or lost.", "If lost rises, check the endpoints that event LC2042 names."},
	storeCalls:           {"lovagecrank_store_calls_total", counter, "calls", []string{"fate"}, "Calls to the platform's table by outcome: done, not_applied, or doubtful if the call may have taken effect.", "If doubtful rises, check the platform."},
	storeSeconds:         {"lovagecrank_store_seconds", histogram, "seconds", nil, "Duration of calls to the platform's table.", "If it approaches timeouts.store_call, check the platform."},
	events:               {"lovagecrank_events_total", counter, "events", []string{"code"}, "Log events by code.", "See docs/EVENTS.md for each code."},
	peerMessages:         {"lovagecrank_peer_messages_total", counter, "messages", []string{"direction"}, "Messages exchanged with other instances by direction: sent or received.", noAction},
	peerBytes:            {"lovagecrank_peer_bytes_total", counter, "bytes", []string{"direction"}, "Bytes of the messages exchanged with other instances, before framing, by direction: sent or received.", "Control messages should stay below 19 KB per second; forwarded jobs add to this."},
	answerSeconds:        {"lovagecrank_answer_seconds", histogram, "seconds", []string{"queue", "outcome", "reason"}, "On the platform: time from the arrival of a job to its answer by queue, outcome (complete, not_run, failed or cancelled) and the code of the reason.", "Look up the code with lovagecrank explain; docs/OPERATIONS.md describes how to find the cause for a job."},
	orders:               {"lovagecrank_orders_total", counter, "orders", []string{"order", "verdict"}, "On the platform: orders to endpoints by kind (start, stop or look, which polls) and outcome.", "If unanswered or fenced rises, see events LC2061 to LC2063 in the log."},
	openJobs:             {"lovagecrank_open_jobs", gauge, "jobs", nil, "On the platform: jobs on this instance that are not answered yet.", noAction},
	jobMemory:            {"lovagecrank_job_memory_bytes", gauge, "bytes", []string{"state"}, "On the platform: memory for the bodies and open jobs of callers, as estimated from their sizes, by state: used or limit.", "If used nears limit, jobs are refused with LC1008: look for jobs of many tasks, or give the instances more memory."},
	heldRuns:             {"lovagecrank_held_runs", gauge, "runs", nil, "On the platform: runs on the endpoints that this instance holds.", noAction},
	endpointLosses:       {"lovagecrank_endpoint_losses_total", counter, "endpoints", []string{"state"}, "On the platform: endpoints that this instance held and that were lost with runs, by state: suspected counts all, proved those that have started again, withdrawn those that were only silent.", "If proved ones rise, look in the log at LC2086 for tasks that several of them have in common. If withdrawn ones rise, check the network to the endpoints."},
	profileMessages:      {"lovagecrank_profile_messages_total", counter, "messages", []string{"direction"}, "On the platform: messages with what was learnt of endpoints and queues, sent and received.", noAction},
	evacuatedDataCentres: {"lovagecrank_evacuated_data_centres", gauge, "1", []string{"data_centre"}, "On the platform: 1 for each data centre whose endpoints get no work at an operator's request, as this instance knows it.", "All instances show the same within 5 s of a request; if one lags behind, check its links to the platform and to its peers. See events LC2077 and LC2078."},
	offersSent:           {"lovagecrank_offers_total", counter, "offers", nil, "On the platform: offers of free slots to instances with waiting tasks.", noAction},
	offersEnded:          {"lovagecrank_offers_ended_total", counter, "offers", []string{"outcome"}, "On the platform: offers that have ended by outcome: taken, declined, or expired if the other instance was lost or did not answer in time.", "If fewer than five of six are taken, instances offer more slots than tasks wait, or the tasks need a label or more room than the offered slots have."},
	offersReserved:       {"lovagecrank_offer_reserved_seconds_total", counter, "seconds", nil, "On the platform: time for which slots were reserved by offers.", "If it exceeds 1 % of lovagecrank_slot_seconds_total while tasks wait, check the links between the instances."},
	slotTime:             {"lovagecrank_slot_seconds_total", counter, "seconds", nil, "On the platform: time for which the endpoints that this instance holds had slots, counted in tasks of typical size and added up over the slots.", noAction},
	viewAge:              {"lovagecrank_view_age_seconds", gauge, "seconds", []string{"data_centre"}, "On the platform: the age of the view of a data centre by which jobs are admitted. It is missing if there is none, as in installations of up to 17 instances.", "If it exceeds 1, or is missing for one data centre, check the links to it and its two largest instances."},
	viewSlots:            {"lovagecrank_view_slots", gauge, "slots", []string{"data_centre", "service", "state"}, "On the platform: slots of a data centre by that view, by state: all or free.", "If instances differ, see lovagecrank_view_age_seconds."},
	connections:          {"lovagecrank_connections", gauge, "connections", []string{"state"}, "Connections of callers by state: waiting for a whole request, serving one, or limit, the maximum of both.", "If serving nears limit, new callers are refused: add instances."},
	refusedConnections:   {"lovagecrank_refused_connections_total", counter, "connections", []string{"reason"}, "Connections of callers that were closed or refused by reason: displaced, the one that had waited longest when there were too many; full, a new one while all were serving; header_memory, one whose header found no memory.", "If it rises, look at what the clients send; see event LC2091."},
	headerMemory:         {"lovagecrank_header_memory_bytes", gauge, "bytes", []string{"state"}, "Memory for the headers of requests beyond that of usual ones, as estimated from their lines and bytes, by state: used or limit.", "If used nears limit, requests with large headers are refused."},
}
