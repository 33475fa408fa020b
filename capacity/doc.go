// Package capacity adds up the capacity and the demand that instances report and
// keeps the latest view of each data centre. It has no clock: the present time is
// an argument.
package capacity
