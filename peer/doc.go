// Package peer carries messages between instances over gRPC: one stream
// for each pair of instances, on which both sides send batches of messages. It
// reports messages that were certainly not sent; all others may have arrived.
// docs/PEERS.md describes the protocol.
package peer
