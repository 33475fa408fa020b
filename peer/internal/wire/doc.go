// Package wire contains the generated code of the protocol between instances.
package wire
