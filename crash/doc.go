// Package crash keeps account of endpoints that were lost with runs, and of the
// tasks that may be the cause.
//
// An endpoint that does not answer may have crashed, or be cut off, suspended or
// slow. Until the endpoint proves which, its loss is a suspicion: a later boot
// proves that it crashed, and an answer of the same boot withdraws the suspicion.
// All instances keep the same account, so that it survives the instance at which a
// task's job was submitted.
package crash
