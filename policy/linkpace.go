package policy

// The pace of answers shows the capacity of links. An answer over a congested link that came faster or slower
// than expected changes the link's learned capacity. An answer that was slow over a link without congestion
// shows that the endpoint is slow, and changes its slowdown.
//
// Inputs: the times of an answer and of its first byte, its transfer time at full pace (transfertime.go)
// where known, and the attempt's expected transfer time, in seconds. Result: updates of links (links.go) and
// of the fraction of misses.

import "math"

const (
	// minSlowdownSampleSeconds is the shortest transfer time at full pace that is used to detect a slowdown.
	minSlowdownSampleSeconds = 0.02

	// slowTransferMultiple is the multiple of the full-pace time from which on a transfer counts as slow: few
	// objects are so much larger than the mean.
	slowTransferMultiple = 3.0
)

// transferSample compares the measured transfer time of an answer with the expected one.
type transferSample struct {
	hit             bool    // served from the target's cache
	bytesReported   bool    // fullPaceSeconds follows from the answer's bytes
	sizeKnown       bool    // fullPaceSeconds is the part's own transfer time, not the mean of its class
	fullPaceSeconds float64 // transfer time without congestion
	expectedSeconds float64 // transfer time with the congestion that was expected
	measuredSeconds float64 // from the source's first byte to the attempt's end
}

// newTransferSample returns the sample of an answered attempt.
func newTransferSample(a *attempt, o Outcome) transferSample {
	sample := transferSample{
		hit:             o.servedFromCache(),
		bytesReported:   o.FullPaceTransferTime > 0,
		sizeKnown:       o.FullPaceTransferTime > 0 || a.request.sizeKnown,
		fullPaceSeconds: a.request.transferSeconds,
		expectedSeconds: a.expectedSeconds,
		measuredSeconds: (o.Elapsed - o.SourceFirstByte).Seconds(),
	}
	if sample.hit {
		sample.expectedSeconds = a.targetSeconds
	}
	if sample.bytesReported {
		sample.fullPaceSeconds = o.FullPaceTransferTime.Seconds()
		sample.expectedSeconds *= sample.fullPaceSeconds / a.request.transferSeconds
	}
	return sample
}

// explainedBySize reports whether an unknown size may explain the time of an answer, which then says nothing
// about the link.
func (s transferSample) explainedBySize() bool {
	return !s.sizeKnown && s.expectedSeconds < congestedMultiple*s.fullPaceSeconds &&
		s.measuredSeconds < slowTransferMultiple*s.fullPaceSeconds
}

// showsCongestion reports whether the expected or the measured transfer time includes congestion.
func (s transferSample) showsCongestion() bool {
	return math.Max(s.measuredSeconds, s.expectedSeconds) >= congestedMultiple*s.fullPaceSeconds
}

// updateLinks learns from the pace of an answer. A coalesced answer shows nothing, as it waited for the fill
// of another request.
func (r *Router) updateLinks(a *attempt, o Outcome) {
	if o.Result != ResultOK || o.CacheStatus == CacheStatusCoalesced {
		return
	}
	r.updateMissFraction(a, o)
	sample := newTransferSample(a, o)
	if sample.explainedBySize() {
		return
	}
	sample.measuredSeconds = math.Max(sample.measuredSeconds, sample.fullPaceSeconds)
	if !a.congested && sample.sizeKnown {
		r.updateSlowdown(a, sample)
	} else {
		updateLinkCapacity(a, sample)
	}
}

// updateMissFraction counts the hits and misses of caches that were not expected to have the object.
func (r *Router) updateMissFraction(a *attempt, o Outcome) {
	if a.expectHit || o.CacheStatus == CacheStatusNone || !r.isCache(a.target) {
		return
	}
	miss := 1.0
	if o.servedFromCache() {
		miss = 0
	}
	r.missFraction.add(miss, missSamples)
}

// updateSlowdown attributes a slow transfer without congestion to the endpoint that sent it.
func (r *Router) updateSlowdown(a *attempt, sample transferSample) {
	if sample.fullPaceSeconds < minSlowdownSampleSeconds {
		return
	}
	sender := a.source
	if sample.hit {
		sender = a.target
	}
	sender.link.updateSlowdown(r.now, sample.measuredSeconds/sample.fullPaceSeconds)
}

// updateLinkCapacity attributes the pace of a transfer under congestion to the slowest link, or to the
// target's link after a hit. An answer whose bytes are not reported does not change a configured capacity:
// the load of other routers is then the more likely cause.
func updateLinkCapacity(a *attempt, sample transferSample) {
	slowest := a.slowestLink
	if sample.hit {
		slowest = &a.target.link
	}
	mayLearn := sample.bytesReported || !slowest.configured
	if mayLearn && sample.showsCongestion() {
		expectedSeconds := math.Max(sample.expectedSeconds, sample.fullPaceSeconds)
		slowest.updateCapacity(expectedSeconds / sample.measuredSeconds)
	}
}
