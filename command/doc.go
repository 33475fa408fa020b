// Package command implements the command line. One table lists all commands,
// each with its flags, help text and example.
package command
