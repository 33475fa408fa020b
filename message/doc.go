// Package message defines the messages between instances. The state machines
// produce and consume them; package peer transports them. The file message.go
// has the messages of the instances that package entry implements, pool.go
// those of the instances that share leased endpoints (packages pool and
// runner).
package message
