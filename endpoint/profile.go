package endpoint

import (
	"math"
	"slices"
	"time"
)

const (
	// speedSamples is the window size for the speed samples of an endpoint. The
	// tasks of a job share the error of their estimate, so that it has to span
	// several jobs.
	speedSamples = 64
	// queueSamples is the window size for the run time ratios of a queue, and
	// kindSamples that for those of a kind of endpoint.
	queueSamples = 128
	kindSamples  = 128
	// minQueueSamples is the least number of samples of a queue before its runs
	// say something about endpoints.
	minQueueSamples = 8
	// minKindSamples is the least number of samples for which a kind is a prior.
	minKindSamples = 8
	// priorWeight is the weight of the kind's speed, in samples, and
	// maxInherited that of what an earlier holder has learnt.
	priorWeight  = 6
	maxInherited = 32
	// minProfileSpeed and maxProfileSpeed bound the learnt speed, and
	// maxLogSample one sample of it. Three standard deviations of the kinds of
	// endpoints and of their heat fit into the bounds.
	minProfileSpeed = 0.2
	maxProfileSpeed = 5.0
	maxLogSample    = 2.1
	// tailQuantile is the quantile of the run time ratios that counts as their
	// tail.
	tailQuantile = 0.95
	// maxReportedEndpoints bounds the number of endpoints of other holders.
	maxReportedEndpoints = 4096
	// maxQueues bounds the number of queues; the others have no profile.
	maxQueues = 2048
)

type (
	// Profiles learns the speeds of endpoints and how the run times of queues
	// compare to their estimates. Both are learnt from the same runs: a run that
	// takes twice its estimate may be due to its endpoint or to its queue. The
	// queue gets what the endpoints have in common: the mean speed of the known
	// endpoints, in logarithms, is 1. It is not safe for concurrent use.
	Profiles struct {
		endpoints map[string]*speedProfile
		kinds     map[string]*window
		queues    map[string]*queueProfile
		// reported has the logarithms of the speeds of endpoints of other
		// holders, and reportedSum their sum.
		reported    map[string]float64
		reportedSum float64
		// sum is the sum of the logarithms of the own endpoints' speeds, and mean
		// the mean of both.
		sum, mean float64
	}

	queueProfile struct {
		ratios window
		// reported is the logarithm of the median that peers report, from the
		// number reportedSamples of samples.
		reported        float64
		reportedSamples int
	}

	speedProfile struct {
		id, kind string
		ratios   window
		// inherited is the logarithm of the speed that an earlier holder has
		// learnt from the number inheritedSamples of samples.
		inherited        float64
		inheritedSamples int
		logSpeed         float64
	}
)

// NewProfiles returns profiles without endpoints and queues.
func NewProfiles() *Profiles {
	return &Profiles{endpoints: map[string]*speedProfile{}, kinds: map[string]*window{}, queues: map[string]*queueProfile{}, reported: map[string]float64{}}
}

// Kind returns the kind of the endpoint: its first label; empty if it has none.
func (i Info) Kind() string {
	if len(i.Labels) == 0 {
		return ""
	}
	return i.Labels[0]
}

// Add adds an endpoint with the speed that an earlier holder has learnt from a
// number of samples. Zero samples mean that nothing is known.
func (p *Profiles) Add(info Info, speed float64, samples int) {
	if p.endpoints[info.ID] != nil {
		return
	}
	s := &speedProfile{id: info.ID, kind: info.Kind(), ratios: newWindow(speedSamples)}
	if samples > 0 && speed > 0 {
		s.inherited, s.inheritedSamples = math.Log(boundSpeed(speed)), min(samples, maxInherited)
	}
	p.endpoints[info.ID] = s
	p.forgetReported(info.ID)
	p.update(s)
}

// Remove removes an endpoint.
func (p *Profiles) Remove(id string) {
	s := p.endpoints[id]
	if s == nil {
		return
	}
	delete(p.endpoints, id)
	p.sum -= s.logSpeed
	p.updateMean()
}

// Report records the speed of an endpoint that a peer holds. A speed of zero
// removes it.
func (p *Profiles) Report(id string, speed float64) {
	if p.endpoints[id] != nil {
		return
	}
	p.forgetReported(id)
	if speed > 0 && len(p.reported) < maxReportedEndpoints {
		p.reported[id] = math.Log(boundSpeed(speed))
		p.reportedSum += p.reported[id]
	}
	p.updateMean()
}

func (p *Profiles) forgetReported(id string) {
	p.reportedSum -= p.reported[id]
	delete(p.reported, id)
}

// ReportQueue includes what a peer has learnt of a queue.
func (p *Profiles) ReportQueue(name string, medianRatio float64, samples int) {
	q := p.queue(name)
	if q == nil || samples < minQueueSamples || medianRatio <= 0 {
		return
	}
	n := min(samples, queueSamples)
	logRatio := min(max(math.Log(medianRatio), -maxLogSample), maxLogSample)
	q.reported += float64(n) / float64(q.reportedSamples+n) * (logRatio - q.reported)
	q.reportedSamples = min(q.reportedSamples+n, queueSamples)
}

// Queues returns the names of the queues of which enough is known for Ratios, in
// order.
func (p *Profiles) Queues() []string {
	var names []string
	for name, q := range p.queues {
		if q.ratios.len() >= minQueueSamples {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// logRatio returns the logarithm of the queue's median ratio, own and reported,
// and the number of samples.
func (q *queueProfile) logRatio() (median float64, samples int) {
	own := q.ratios.len()
	samples = own + q.reportedSamples
	if samples == 0 {
		return 0, 0
	}
	return (float64(own)*q.ratios.median() + float64(q.reportedSamples)*q.reported) / float64(samples), samples
}

// Observe adds a successful run.
func (p *Profiles) Observe(id, queue string, ran, estimate time.Duration) {
	s := p.endpoints[id]
	if s == nil || ran <= 0 || estimate <= 0 {
		return
	}
	q := p.queue(queue)
	if q == nil {
		return
	}
	ratio := math.Log(float64(ran) / float64(estimate))
	q.ratios.add(float32(ratio + s.logSpeed - p.mean))
	median, samples := q.logRatio()
	if samples < minQueueSamples {
		return
	}
	sample := float32(min(max(median-ratio, -maxLogSample), maxLogSample))
	s.ratios.add(sample)
	if s.inheritedSamples > 0 {
		s.inheritedSamples-- // own samples replace what was inherited
	}
	p.kind(s.kind).add(sample)
	p.update(s)
}

func (p *Profiles) queue(name string) *queueProfile {
	q := p.queues[name]
	if q == nil && len(p.queues) < maxQueues {
		q = &queueProfile{ratios: newWindow(queueSamples)}
		p.queues[name] = q
	}
	return q
}

func (p *Profiles) kind(name string) *window {
	k := p.kinds[name]
	if k == nil {
		w := newWindow(kindSamples)
		k = &w
		p.kinds[name] = k
	}
	return k
}

// update computes the speed of an endpoint from its own samples, what was
// inherited and the speed of its kind.
func (p *Profiles) update(s *speedProfile) {
	n, sum := float64(s.ratios.len()), float64(s.ratios.len())*s.ratios.median()
	n += float64(s.inheritedSamples)
	sum += float64(s.inheritedSamples) * s.inherited
	if k := p.kinds[s.kind]; k != nil && k.len() >= minKindSamples {
		n += priorWeight
		sum += priorWeight * k.median()
	} else {
		n += priorWeight // speed 1
	}
	p.sum += sum/n - s.logSpeed
	s.logSpeed = sum / n
	p.updateMean()
}

// updateMean computes the mean of the speeds. Without it, slow endpoints and long
// queues could explain each other with ever larger numbers.
func (p *Profiles) updateMean() {
	p.mean = (p.sum + p.reportedSum) / float64(max(len(p.endpoints)+len(p.reported), 1))
}

// Speed returns the learnt speed of the endpoint and the number of samples
// behind it; 1 and 0 if it is not known.
func (p *Profiles) Speed(id string) (speed float64, samples int) {
	s := p.endpoints[id]
	if s == nil {
		return 1, 0
	}
	return boundSpeed(math.Exp(s.logSpeed - p.mean)), s.ratios.len() + s.inheritedSamples
}

// Ratios returns the median and the tail of the run time divided by the estimate
// of a queue's tasks at an endpoint of speed 1, and the number of samples; 1, 1
// and 0 if too little is known.
func (p *Profiles) Ratios(queue string) (median, tail float64, samples int) {
	q := p.queues[queue]
	if q == nil || q.ratios.len() < minQueueSamples {
		return 1, 1, 0
	}
	logMedian, samples := q.logRatio()
	return math.Exp(logMedian), math.Exp(q.ratios.quantile(tailQuantile)), samples
}

func boundSpeed(speed float64) float64 { return min(max(speed, minProfileSpeed), maxProfileSpeed) }
