// Package message defines the messages between instances. The state machines
// produce and consume them; package peer transports them.
package message
