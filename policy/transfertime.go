package policy

// Transfer times are the unit of load: how long an answer's bytes take at the pace of a single unhindered
// transfer.
//
// Inputs: the size of a request where it is reported, otherwise the transfer times of earlier answers, of the
// same part or of the class (seconds). Result: a request's expected transfer time, in seconds.

import "time"

// partTableSize is the number of parts whose transfer times are remembered.
const partTableSize = 8192

// objectivePerTransfer is the assumed ratio of a class's latency objective to a transfer time, until one is
// known.
const objectivePerTransfer = 4

// durationOf converts seconds to a duration.
func durationOf(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// estimateTransferTime sets the expected transfer time of a request that has arrived.
func (r *Router) estimateTransferTime(req *request) {
	ofClass := r.classTransferSeconds[req.class.Name]
	ofPart, partKnown := r.partTransferSeconds.Get(req.key)
	req.sizeKnown = partKnown || req.SizeKB > 0
	switch {
	case req.SizeKB > 0 && r.settings.TransferKBPerSecond > 0:
		req.transferSeconds = req.SizeKB / r.settings.TransferKBPerSecond
		ofClass.add(req.transferSeconds, requestSamples)
	case ofPart != 0:
		req.transferSeconds = ofPart
	case ofClass.value != 0:
		req.transferSeconds = ofClass.value
	default:
		req.transferSeconds = req.class.LatencyObjective.Seconds() / objectivePerTransfer
	}
}

// updateTransferTimes learns the transfer time of a part, and of its class, from an answer to a request of
// unknown size: from the answer's bytes, otherwise from the time of a cache hit over a link without
// congestion.
func (r *Router) updateTransferTimes(a *attempt, o Outcome) {
	req := a.request
	if o.Result != ResultOK || req.SizeKB != 0 || req.class.Uncacheable {
		return
	}
	seconds := o.TransferTime.Seconds()
	freeLink := a.targetSeconds < congestedMultiple*req.transferSeconds
	if seconds == 0 && o.servedFromCache() && freeLink {
		seconds = o.Elapsed.Seconds()
	}
	if seconds <= 0 {
		return
	}
	r.classTransferSeconds[req.class.Name].add(seconds, requestSamples)
	r.partTransferSeconds.Add(req.key, seconds)
}
