package pool

// outcomeNames are the names of the outcomes in logs and metrics.
var outcomeNames = [...]string{"accepted", "full", "late", "old", "fenced", "unhealthy", "reborn", "gone", "invalid", "unanswered"}

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// summary returns the outcome and its detail for logs.
func (r Reply) summary() string {
	if r.Detail == "" {
		return r.Outcome.String()
	}
	return r.Outcome.String() + " (" + r.Detail + ")"
}

// answered reports whether the endpoint answered the order.
func (o Outcome) answered() bool { return o != Unanswered && o != ConnectionRefused }
