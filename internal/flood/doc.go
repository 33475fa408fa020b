// Package flood starts real processes of the program with lowered limits, holds many
// misbehaving connections to them, and measures what the processes take. Only tests
// use it.
package flood
