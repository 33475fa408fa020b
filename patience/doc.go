// Package patience learns how long the callers of each queue wait for an answer, and
// tells from the time that a request has left for how long its caller has waited
// already.
//
// A caller whose first request got no answer sends it again and states the rest of
// its time. To an instance that does not know the first request, it looks like a
// caller that has just arrived. Callers of one queue mostly wait for a time that
// follows the goal of their job, so that a request with much less time left than
// these is one that was sent before.
//
// The package has no clock and does not know whether requests were lost lately. Its
// user observes callers only while there is no reason to send anything again, and
// asks for the time waited only while there is one.
package patience
