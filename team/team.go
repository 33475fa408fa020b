package team

// Team is a group of callers with a quota. These are the only fields that
// operators set.
type Team struct {
	Name string
	// ConcurrentTasks is the maximum number of the team's running tasks; zero
	// means no limit.
	ConcurrentTasks int
	// StartsPerSecond is the maximum rate of the team's task starts; zero
	// means no limit.
	StartsPerSecond float64
}
