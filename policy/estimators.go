package policy

import (
	"math"
	"slices"
	"time"
)

const (
	epochFills      = 20   // fills of one epoch of a ratio; the paper's 100 are hardly reached
	epochWeight     = 0.3  // weight of a new epoch; above the paper's 0.1 as epochs are fewer
	waitSamples     = 10   // first-byte waits that a mean goes over
	requestSamples  = 100  // requests that the mean sizes and worths go over
	capacityWeight  = 0.1  // how fast a link's capacity follows its answers
	capacityRange   = 4.0  // it stays within this factor of the nominal one
	slowdownWeight  = 0.3  // how fast a member's slowdown follows its answers
	maxSlowdown     = 10.0 // sending times
	minSlowdown     = 0.5  // less does not count
	minTimedWork    = 0.02 // seconds of sending under which an answer's time says nothing of the link
	congestedFrom   = 1.2  // an answer slower than this many sending times says something of a link
	unusualFrom     = 3.0  // few objects are so many times larger than the mean: the answer was slowed
	slowdownMemory  = 5 * time.Second
	loadAverageTime = 5 * time.Second // own transfers are averaged over this to estimate the other routers'
)

// mean is plain over the first values and then smoothed, so that one early value does not stand for all.
type mean struct{ value, count float64 }

func (m *mean) add(value, maxCount float64) {
	m.count = min(m.count+1, maxCount)
	m.value += (value - m.value) / m.count
}

// ratio is the paper's estimator of a misindication ratio (Section VIII-B).
type ratio struct {
	asked, lacked, epochs int
	value                 float64
}

func (r *ratio) known() bool { return r.asked+r.epochs > 0 }

func (r *ratio) add(lacked bool) {
	r.asked++
	r.lacked += map[bool]int{true: 1}[lacked]
	plain := float64(r.lacked) / float64(r.asked)
	if r.epochs == 0 {
		r.value = plain
	} else if r.asked == epochFills {
		r.value += epochWeight * (plain - r.value)
	}
	if r.asked == epochFills {
		r.asked, r.lacked, r.epochs = 0, 0, r.epochs+1
	}
}

// link is a network link as this router sees it. Each router that shares it is taken to load it alike.
type link struct {
	nominal, capacity float64 // one-client transfers at full pace: as configured, and as learned
	told              bool    // the nominal capacity rests on sizes that were told
	sharers           float64 // routers that share it
	inFlight          []*attempt
	meanLoad          float64 // of this router
	slowdown          float64 // sending times by which transfers lasted longer than congestion explains

	loadUpdated, slowdownUpdated time.Duration
}

func newLink() link { return link{nominal: 1, capacity: 1} }

func (l *link) resize(nominal, sharers float64, told bool) {
	l.nominal, l.capacity, l.sharers, l.told = nominal, l.capacity*nominal/l.nominal, sharers, told
}

func (l *link) learnCapacity(better float64) {
	learned := l.capacity * math.Pow(min(max(better, 0.5), 2), capacityWeight)
	l.capacity = min(max(learned, l.nominal/capacityRange), l.nominal*capacityRange)
}

// congestion is how many sending times a further transfer of work seconds takes.
func (l *link) congestion(now time.Duration, work, warm float64) float64 {
	sum := 1 + (l.sharers-1)*l.load(now)
	for _, a := range l.inFlight {
		sum += min(a.request.work/work, 1) * a.loadOn(l)
	}
	return math.Max(1, sum/max(l.capacity*warm, 1e-6))
}

func (l *link) transferTime(now time.Duration, work, warm float64) float64 {
	slowdown := l.currentSlowdown(now)
	if slowdown < minSlowdown {
		slowdown = 0
	}
	return work * l.congestion(now, work, warm) * (1 + slowdown)
}

func (l *link) currentSlowdown(now time.Duration) float64 {
	return l.slowdown * math.Exp(-(now-l.slowdownUpdated).Seconds()/slowdownMemory.Seconds())
}

func (l *link) learnSlowdown(now time.Duration, times float64) {
	current := l.currentSlowdown(now)
	change := slowdownWeight * (min(max(times, 1), maxSlowdown) - 1 - current)
	l.slowdown, l.slowdownUpdated = current+change, now
}

func (l *link) load(now time.Duration) float64 {
	current := 0.0
	for _, a := range l.inFlight {
		current += a.loadOn(l)
	}
	elapsed := (now - l.loadUpdated).Seconds()
	return l.meanLoad + (current-l.meanLoad)*-math.Expm1(-elapsed/loadAverageTime.Seconds())
}

func (a *attempt) loadOn(l *link) float64 {
	if l == &a.target.link {
		return 1
	}
	return a.missChance
}

func (l *link) enter(a *attempt, now time.Duration) {
	l.meanLoad, l.loadUpdated = l.load(now), now
	l.inFlight = append(l.inFlight, a)
}

func (a *attempt) leaveLinks(now time.Duration) {
	for _, l := range a.links {
		l.meanLoad, l.loadUpdated = l.load(now), now
		l.inFlight = slices.DeleteFunc(l.inFlight, func(other *attempt) bool { return a == other })
	}
}

func (r *Router) observePace(a *attempt, o Outcome) {
	if o.Result != ResultOK || o.CacheStatus == CacheStatusCoalesced {
		return
	}
	hit := o.fromCopy()
	if !a.expectHit && o.CacheStatus != CacheStatusNone && r.isCache(a.target) {
		r.missShare.add(map[bool]float64{false: 1}[hit], waitSamples)
	}
	l, expected := a.slowest, a.expected
	if hit {
		l, expected = &a.target.link, a.targetTime
	}
	took, work := (o.Elapsed - o.SourceFirstByte).Seconds(), a.request.work
	if o.TransferTime > 0 {
		work = o.TransferTime.Seconds()
		expected *= work / a.request.work
	} else if !a.request.sized && expected < congestedFrom*work && took < unusualFrom*work {
		return
	}
	took = math.Max(took, work)
	if !a.congested && (o.TransferTime > 0 || a.request.sized) {
		if !hit {
			l = &a.source.link
		}
		if work >= minTimedWork {
			l.learnSlowdown(r.now, took/work)
		}
	} else if (o.TransferTime > 0 || !l.told) && math.Max(took, expected) >= congestedFrom*work {
		l.learnCapacity(math.Max(expected, work) / took)
	}
}

func (r *Router) observeSize(a *attempt, o Outcome) {
	req, work := a.request, o.TransferTime.Seconds()
	if work == 0 && o.fromCopy() && a.targetTime < congestedFrom*req.work {
		work = o.Elapsed.Seconds()
	}
	if work > 0 && o.Result == ResultOK && req.SizeKB == 0 && !req.class.Uncacheable {
		r.classWork[req.class.Name].add(work, requestSamples)
		r.partWork.Add(req.key, work)
	}
}
