package pool

const (
	startOrder orderKind = iota
	stopOrder
	pollOrder
)

type (
	// orderKind is a kind of order to an endpoint.
	orderKind uint8

	// trouble is what happens to all orders of one kind.
	trouble struct {
		kind orderKind
		fate fate
	}

	// fate is what happens to one order.
	fate struct {
		// answerLost reports that the order is carried out and that the
		// connection is reset before the answer.
		answerLost bool
		// refused reports that the endpoint answers with refusal and does
		// nothing.
		refused bool
		refusal Outcome
	}
)

// fateOf returns what happens to an order.
func (sim *simulation) fateOf(d delivery) fate {
	for _, t := range sim.troubles {
		if t.kind == d.kind {
			return t.fate
		}
	}
	return fate{}
}
