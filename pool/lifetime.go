package pool

import "time"

// MaxRemaining is the longest remaining time of a draining endpoint that is
// believed.
const MaxRemaining = 24 * time.Hour
