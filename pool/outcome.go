package pool

// outcomeNames are the names of the outcomes in logs and metrics.
var outcomeNames = [...]string{"accepted", "full", "late", "old", "fenced", "unhealthy", "reborn", "gone", "invalid", "unanswered"}

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// answered reports whether the endpoint answered the order.
func (o Outcome) answered() bool { return o != Unanswered && o != ConnectionRefused }
