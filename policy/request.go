package policy

// A request is kept from its arrival until it has its final answer and its last attempt has ended. It is
// finished when an attempt answers it, when a streamed answer starts, when it is rejected or failed, or when
// its client disconnects. Its pending attempts are then cancelled if the settings allow it.

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// clientDeliveryTime is subtracted from the latency objective, as the answer still has to reach the client.
const clientDeliveryTime = 30 * time.Millisecond

// partHashFactor spreads the parts of an object over the key space (2^64 divided by the golden ratio).
const partHashFactor = 0x9e3779b97f4a7c15

// request is a request that has arrived and has not been removed yet.
type request struct {
	Request
	class *Class // as it was when the request arrived
	key   uint64 // hash of object and part

	transferSeconds float64 // expected transfer time at full pace
	sizeKnown       bool    // transferSeconds is the part's own transfer time, not the mean of its class

	objectiveAt time.Duration // when its latency objective is missed
	deadline    time.Duration // when its client stops waiting

	attempts         []*attempt
	pendingAttempts  int
	failedAttempts   int      // attempts that ended as attemptFailed
	firstPossibleRun *attempt // the first attempt that may have run, or nil
	finished         bool     // it has its final answer, or needs none

	avoided map[*endpointState]bool // endpoints that lack the object, failed or did not answer
}

// newRequest returns the state of a request that has arrived now, with its expected transfer time.
func (r *Router) newRequest(arrived Request) *request {
	class := &r.settings.Classes[arrived.Class]
	req := &request{
		Request:  arrived,
		class:    class,
		key:      mixHash(xxhash.Sum64String(arrived.Object) + uint64(arrived.Part)*partHashFactor),
		deadline: r.now + arrived.Remaining,
		avoided:  map[*endpointState]bool{},
	}
	r.estimateTransferTime(req)
	objective := class.LatencyObjective + durationOf(class.LatencyObjectivePerTransfer*req.transferSeconds)
	req.objectiveAt = min(r.now+objective-clientDeliveryTime, req.deadline)
	return req
}

// apply starts a request's first attempt. A request of an unknown class fails: it is not rejected, as a
// rejection would say that it may be repeated, which is unknown.
func (arrived Request) apply(r *Router) {
	if arrived.Class < 0 || arrived.Class >= len(r.settings.Classes) {
		r.emit(Fail{ID: arrived.ID, Reason: ReasonUnknownClass})
		return
	}
	req := r.newRequest(arrived)
	r.requests[arrived.ID] = req
	r.meanTransferSeconds.add(req.transferSeconds, requestSamples)
	r.meanPriorityWeight.add(req.class.PriorityWeight, requestSamples)
	r.addToRetryBudget()
	r.route(req)
}

// apply ends an attempt, updates what the router learns from outcomes, and finishes or retries the request.
func (o Outcome) apply(r *Router) {
	a := r.pendingAttempt(o.ID, o.Attempt)
	if a == nil {
		return
	}
	r.endAttempt(a, o.Result)
	r.updateOutliers(a, o)
	r.updateOriginLimit(a, o)
	r.updateCacheIndex(a, o)
	r.updateMisindication(a, o)
	r.updateFirstByteTimes(a, o)
	r.updateLinks(a, o)
	r.updateTransferTimes(a, o)
	if o.RequestFinished || a.request.finished {
		r.finishRequest(a.request.ID)
		return
	}
	if a.state != attemptSucceeded {
		r.retry(a, o)
	}
}

// apply finishes a request whose streamed answer has started.
func (started StreamStarted) apply(r *Router) { r.finishRequest(started.ID) }

// apply finishes a request whose client has disconnected or whose deadline has passed.
func (ended RequestEnded) apply(r *Router) { r.finishRequest(ended.ID) }

// finishRequest marks a request as finished and cancels its pending attempts, except those of streams, whose
// answers the client still receives. The request is removed once no attempt is pending.
func (r *Router) finishRequest(id int64) {
	req := r.requests[id]
	if req == nil {
		return
	}
	req.finished = true
	if r.settings.CancelAttempts && !req.class.Stream {
		r.cancelPending(req)
	}
	if req.pendingAttempts == 0 {
		delete(r.requests, id)
	}
}

// cancelPending cancels the pending attempts of a request.
func (r *Router) cancelPending(req *request) {
	for _, a := range req.attempts {
		if a.state == attemptPending {
			r.emit(Cancel{ID: req.ID, Attempt: a.number})
		}
	}
}
