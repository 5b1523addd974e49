package policy

// Transfer times measure the load of requests: a transfer time is the time that an answer's bytes take at
// full pace, which is the pace of a single transfer over a link without congestion.
//
// Inputs: the size of a request where it is reported, otherwise the transfer times of earlier answers for the
// same part or of the same class, in seconds. Result: a request's expected transfer time, in seconds.

import "time"

// partTableSize is the number of parts whose transfer times are remembered.
const partTableSize = 8192

// objectivePerTransfer is the assumed ratio of a class's latency objective to its transfer time, until a
// transfer time is known.
const objectivePerTransfer = 4

// durationOf converts seconds to a duration.
func durationOf(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// estimateTransferTime sets the expected transfer time of a request that has arrived. A time that
// follows from a reported size also counts in the mean of the class.
func (r *Router) estimateTransferTime(req *request) {
	classMean := r.classTransferSeconds[req.class.Name]
	partSeconds, partKnown := r.partTransferSeconds.Get(req.key)
	req.sizeKnown = partKnown || req.SizeKB > 0
	switch {
	case req.SizeKB > 0 && r.settings.TransferKBPerSecond > 0:
		req.transferSeconds = req.SizeKB / r.settings.TransferKBPerSecond
		classMean.add(req.transferSeconds, requestSamples)
	case partSeconds != 0:
		req.transferSeconds = partSeconds
	case classMean.value != 0:
		req.transferSeconds = classMean.value
	default:
		req.transferSeconds = req.class.LatencyObjective.Seconds() / objectivePerTransfer
	}
}

// updateTransferTimes learns the transfer time of a part, and of its class, from the answer to a request of
// unknown size. It uses the transfer time of the answer's bytes if reported, otherwise the elapsed time of a
// cache hit over a link without congestion.
func (r *Router) updateTransferTimes(a *attempt, o Outcome) {
	req := a.request
	if o.Result != ResultOK || req.SizeKB != 0 || req.class.Uncacheable {
		return
	}
	seconds := o.FullPaceTransferTime.Seconds()
	uncongested := a.targetSeconds < congestedMultiple*req.transferSeconds
	if seconds == 0 && o.servedFromCache() && uncongested {
		seconds = o.Elapsed.Seconds()
	}
	if seconds <= 0 {
		return
	}
	r.classTransferSeconds[req.class.Name].add(seconds, requestSamples)
	r.partTransferSeconds.Add(req.key, seconds)
}
