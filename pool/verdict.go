package pool

// verdicts are the names of the verdicts in logs.
var verdicts = [...]string{"accepted", "full", "late", "old", "fenced", "unhealthy", "reborn", "gone", "invalid", "unanswered"}

// String returns the verdict's name in logs.
func (v Verdict) String() string { return verdicts[v] }
