package peer

import (
	"google.golang.org/protobuf/proto"

	"github.com/lovagecrank/lovagecrank/message"
)

// Size returns the encoded size of a message in bytes, as part of a batch on
// the stream between its sender and its receiver, without the framing of the
// batch. It returns an error if the message cannot be encoded.
func Size(m message.Message) (int, error) {
	w, err := encode(m)
	if err != nil {
		return 0, err
	}
	w.From = nil
	w.To = nil
	return proto.Size(w), nil
}
