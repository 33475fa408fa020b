// Package trial runs a whole system in one process on loopback: a platform
// stand-in, endpoints in two racks and instances in two data centres. It
// submits the example jobs over the callers' HTTP interface, checks every
// answer and reports response times by class.
package trial
