package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a refusal after a restart of all instances that says "no place was free
// for 1.3 ms", though the caller had waited for 1.8 s.
func TestRefusalSaysHowLongTheCallerWaited(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	j := &homeJob{arrived: now}
	is.Equal(j.describeWait(now.Add(30*time.Millisecond)), "30ms")
	j.waited = 1800 * time.Millisecond
	is.Equal(j.describeWait(now.Add(1300*time.Microsecond)), "1.801s, 1.3ms of it here")
}
