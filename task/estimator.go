package task

import (
	"math"
	"strings"
	"time"
)

const (
	// bucketsPerOctave is the number of histogram buckets per doubling of the
	// run time.
	bucketsPerOctave = 4
	// buckets is the number of histogram buckets, for 22 octaves.
	buckets = 22 * bucketsPerOctave
	// minRunTime is the lower bound of the first bucket.
	minRunTime = time.Millisecond
	// maxKindBytes is the number of leading bytes of Key.Kind that are
	// compared.
	maxKindBytes = 64
	// maxWeight is the weight of one observation above which all weights are
	// rescaled.
	maxWeight = 1 << 20
	// declaredP95Factor is the ratio of P95 to the median while there is only
	// a declared value.
	declaredP95Factor = 3
	// levels is the number of group levels; see levelKey.
	levels = 3
)

type (
	// Key groups tasks with similar run times.
	Key struct {
		Class, Team, Kind string
	}

	// Estimate is the expected run time on an endpoint of usual speed.
	Estimate struct {
		Mean, Median, P95 time.Duration
		// Samples is the total weight of the observations behind the estimate.
		// Zero means that only a declared value or the default was available.
		Samples float64
	}

	// EstimatorSettings are the parameters of an Estimator. Zero values select
	// the defaults.
	EstimatorSettings struct {
		// MaxKeys is the maximum number of keys and groups kept; 4096 by
		// default.
		MaxKeys int
		// HalfLife is the age at which the weight of an observation has
		// halved; 30 minutes by default.
		HalfLife time.Duration
		// SufficientSamples is the total weight of observations from which on
		// the estimate of a key ignores the wider groups; 10 by default.
		SufficientSamples float64
		// PriorWeight is the weight, in observations, of a declared value or
		// of the estimate of the wider group; 3 by default.
		PriorWeight float64
		// Default is the expected run time without a declared value or any
		// observation; 300 ms by default.
		Default time.Duration
	}

	// Estimator learns run times by key, by class and kind, and by class. Its
	// memory is bounded: it evicts the least recently used key. It is not safe
	// for concurrent use.
	Estimator struct {
		cfg   EstimatorSettings
		nodes map[nodeKey]*node
		// root is the sentinel of the LRU list: root.next is the most recently
		// used node, root.prev the least recently used one.
		root node
	}

	nodeKey struct {
		Key
		level uint8
	}

	// node holds an exponentially decaying histogram of run times with
	// logarithmic buckets. Instead of reducing old weights it gives each new
	// observation a larger weight.
	node struct {
		key        nodeKey
		prev, next *node
		// lastObserved is the time of the latest observation.
		lastObserved time.Time
		// weight is the weight of a new observation.
		weight float64
		// total is the sum of all weights.
		total float64
		// sum is the weighted sum of the run times, in nanoseconds.
		sum float64
		// counts are the weights by bucket.
		counts [buckets]float32
		// cached is the current estimate if cacheValid.
		cached     Estimate
		cacheValid bool
	}
)

// NewEstimator returns an estimator without observations.
func NewEstimator(cfg EstimatorSettings) *Estimator {
	cfg = cfg.withDefaults()
	e := &Estimator{cfg: cfg, nodes: make(map[nodeKey]*node, cfg.MaxKeys)}
	e.root.prev, e.root.next = &e.root, &e.root
	return e
}

func (s EstimatorSettings) withDefaults() EstimatorSettings {
	if s.MaxKeys <= 0 {
		s.MaxKeys = 4096
	}
	s.MaxKeys = max(s.MaxKeys, levels)
	if s.HalfLife <= 0 {
		s.HalfLife = 30 * time.Minute
	}
	if s.SufficientSamples <= 0 {
		s.SufficientSamples = 10
	}
	if s.PriorWeight <= 0 {
		s.PriorWeight = 3
	}
	if s.Default <= 0 {
		s.Default = 300 * time.Millisecond
	}
	return s
}

// Observe records the run time of a task with the key. The caller must not
// correct the run time for the endpoint's speed: speeds are computed from these
// estimates, so that correcting them too would leave both without a fixed point.
func (e *Estimator) Observe(now time.Time, k Key, ran time.Duration) {
	if ran <= 0 {
		return
	}
	for level := range uint8(levels) {
		e.touch(levelKey(k, level)).observe(now, ran, e.cfg.HalfLife)
	}
}

// Estimate returns the expected run time of a task with the key. The declared
// run time is zero if there is none. It has little influence once tasks with the
// key were observed.
func (e *Estimator) Estimate(k Key, declared time.Duration) Estimate {
	if n, ok := e.nodes[levelKey(k, 0)]; ok && n.estimate().Samples >= e.cfg.SufficientSamples {
		return n.cached
	}
	prior := e.prior(declared)
	for level := levels - 1; level >= 0; level-- {
		n, ok := e.nodes[levelKey(k, uint8(level))]
		if !ok {
			continue
		}
		prior = e.blend(n.estimate(), prior, level, declared > 0)
	}
	return prior
}

// Keys returns the number of keys and groups kept.
func (e *Estimator) Keys() int { return len(e.nodes) }

func (e *Estimator) prior(declared time.Duration) Estimate {
	if declared <= 0 {
		declared = e.cfg.Default
	}
	return Estimate{Mean: declared, Median: declared, P95: declaredP95Factor * declared}
}

// blend combines the observations of a group with the prior estimate in
// proportion to their weights. It halves the share of the observations of a
// whole class if the run time is declared, since they say little about a
// particular kind.
func (e *Estimator) blend(observed, prior Estimate, level int, declared bool) Estimate {
	share := observed.Samples / (observed.Samples + e.cfg.PriorWeight)
	if level == levels-1 && declared {
		share /= 2
	}
	mix := func(a, b time.Duration) time.Duration {
		return time.Duration(math.Exp(share*math.Log(float64(a)) + (1-share)*math.Log(float64(b))))
	}
	return Estimate{
		Mean:    mix(observed.Mean, prior.Mean),
		Median:  mix(observed.Median, prior.Median),
		P95:     mix(observed.P95, prior.P95),
		Samples: observed.Samples,
	}
}

// levelKey returns the key of the group that contains k at the level: level 0
// is the key itself, 1 its class and kind, 2 its class.
func levelKey(k Key, level uint8) nodeKey {
	if len(k.Kind) > maxKindBytes {
		k.Kind = k.Kind[:maxKindBytes]
	}
	if level > 0 {
		k.Team = ""
	}
	if level > 1 {
		k.Kind = ""
	}
	return nodeKey{Key: k, level: level}
}

// touch returns the node of the key and marks it as most recently used. It
// creates a missing node and evicts the least recently used one if the limit is
// reached.
func (e *Estimator) touch(k nodeKey) *node {
	n, ok := e.nodes[k]
	if ok {
		n.unlink()
	} else {
		n = e.add(k)
	}
	n.prev, n.next = &e.root, e.root.next
	n.prev.next, n.next.prev = n, n
	return n
}

func (e *Estimator) add(k nodeKey) *node {
	n := &node{}
	if len(e.nodes) >= e.cfg.MaxKeys {
		n = e.root.prev
		n.unlink()
		delete(e.nodes, n.key)
		*n = node{}
	}
	// The strings may be substrings of a whole request, which must not be
	// retained.
	k.Class = strings.Clone(k.Class)
	k.Team = strings.Clone(k.Team)
	k.Kind = strings.Clone(k.Kind)
	n.key = k
	n.weight = 1
	e.nodes[k] = n
	return n
}

func (n *node) unlink() {
	n.prev.next, n.next.prev = n.next, n.prev
}

func (n *node) observe(now time.Time, ran, halfLife time.Duration) {
	if age := now.Sub(n.lastObserved); n.total > 0 && age > 0 {
		n.weight *= math.Exp2(float64(age) / float64(halfLife))
	}
	if now.After(n.lastObserved) {
		n.lastObserved = now
	}
	if n.weight > maxWeight {
		n.scale()
	}
	n.counts[bucketOf(ran)] += float32(n.weight)
	n.total += n.weight
	n.sum += n.weight * float64(ran)
	n.cacheValid = false
}

// scale divides all weights by the weight of a new observation, which becomes 1.
func (n *node) scale() {
	factor := 1 / n.weight
	for i := range n.counts {
		n.counts[i] *= float32(factor)
	}
	n.total *= factor
	n.sum *= factor
	n.weight = 1
}

func (n *node) estimate() Estimate {
	if n.cacheValid {
		return n.cached
	}
	n.cached = Estimate{
		Mean:    time.Duration(n.sum / n.total),
		Median:  n.quantile(0.5),
		P95:     n.quantile(0.95),
		Samples: n.total / n.weight,
	}
	n.cacheValid = true
	return n.cached
}

// quantile returns the run time below which the given share of the total weight
// lies, interpolated within its bucket.
func (n *node) quantile(share float64) time.Duration {
	target := share * n.total
	var below float64
	end := 0
	for i, c := range n.counts {
		if c == 0 {
			continue
		}
		end = i + 1
		if below+float64(c) >= target {
			return bucketStart(float64(i) + (target-below)/float64(c))
		}
		below += float64(c)
	}
	return bucketStart(float64(end))
}

func bucketOf(d time.Duration) int {
	b := int(bucketsPerOctave * math.Log2(float64(d)/float64(minRunTime)))
	return min(max(b, 0), buckets-1)
}

func bucketStart(b float64) time.Duration {
	return time.Duration(float64(minRunTime) * math.Exp2(b/bucketsPerOctave))
}
