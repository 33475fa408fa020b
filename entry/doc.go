// Package entry implements one entry instance as a deterministic state machine
// without I/O. It combines submissions, the task queue, endpoint health,
// membership and configuration.
//
// A driver owns the clock, the network and the goroutines. It calls one method
// of Machine for each input, with the current time, and then executes the
// actions that the method appended to Actions. The same inputs produce the same
// actions, so a driver with a virtual clock and fakes can run hundreds of
// instances in one process:
//
//   - Actions.Starts: run the task on the endpoint and report its end with
//     Finished. Never send the same start twice.
//   - Actions.Stops: the task's answer is no longer needed; the driver may ask
//     the endpoint to stop it. It still reports the task's end with Finished.
//   - Actions.Messages: deliver each message to the instance in its To field,
//     whose driver passes it to Receive. Report a new connection
//     with HandlePeerConnected and a broken one with HandlePeerDisconnected.
//   - Actions.Peers: if not nil, replace the set of instances that may receive
//     messages.
//   - Actions.Calls: execute each call on the store (the platform's
//     transactional table) and report the reply with HandleStoreReply.
//   - Actions.Replies: return each result to the caller with that call number.
//   - Actions.Changes: return each result of a configuration change to the
//     operator who requested it.
//   - Actions.Events: write each event to the log.
//   - Actions.Wake: call Tick at that time unless another method is called
//     earlier.
//
// The driver calls SetInstances and SetEndpoints each time it has read the
// platform's lists. A Machine is not safe for concurrent use.
package entry
