package policy

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	clientDeliveryTime = 30 * time.Millisecond // taken off the aim for the answer's way to the client
)

type request struct {
	Request
	class                           *Class
	key                             uint64  // hash of object and part
	transferSeconds                 float64 // sending time of one transfer, seconds
	sizeKnown                       bool    // work is known; else it is the mean of the class
	objectiveAt, deadline           time.Duration
	attempts                        []*attempt
	pendingAttempts, failedAttempts int      // numbers of attempts
	mayHaveRun                      *attempt // the first attempt that is not proven not to have run
	finished                        bool
	avoid                           map[*endpointState]bool // members that lack the object, failed or did not answer
}

func (arrived Request) apply(r *Router) {
	if arrived.Class < 0 || arrived.Class >= len(r.settings.Classes) {
		r.actions = append(r.actions, Fail{ID: arrived.ID})
		return
	}
	class := &r.settings.Classes[arrived.Class]
	req := &request{Request: arrived, class: class, avoid: map[*endpointState]bool{}, deadline: r.now + arrived.Remaining}
	req.key = mixHash(xxhash.Sum64String(arrived.Object) + uint64(arrived.Part)*0x9e3779b97f4a7c15)
	learned, known := r.partTransferSeconds.Get(req.key)
	req.sizeKnown = known || arrived.SizeKB > 0
	req.transferSeconds = cmp.Or(learned, r.classTransferSeconds[class.Name].value, class.LatencyObjective.Seconds()/4)
	if arrived.SizeKB > 0 && r.settings.TransferKBPerSecond > 0 {
		req.transferSeconds = arrived.SizeKB / r.settings.TransferKBPerSecond
		r.classTransferSeconds[class.Name].add(req.transferSeconds, requestSamples)
	}
	stretch := time.Duration(class.LatencyObjectiveStretch * req.transferSeconds * float64(time.Second))
	req.objectiveAt = min(r.now+class.LatencyObjective+stretch-clientDeliveryTime, req.deadline)
	r.requests[arrived.ID] = req
	r.meanTransferSeconds.add(req.transferSeconds, requestSamples)
	r.meanPriorityWeight.add(class.PriorityWeight, requestSamples)
	r.retryBudget = min(r.retryBudget+retriesPerRequest, maxRetryBudget)
	r.route(req)
}

func (o Outcome) apply(r *Router) {
	a := r.pendingAttempt(o.ID, o.Attempt)
	if a == nil {
		return
	}
	req := a.request
	a.pending = false
	req.pendingAttempts--
	a.leaveLinks(r.now)
	if o.Result == ResultOK {
		a.target.lastAnsweredDecidedAt = max(a.target.lastAnsweredDecidedAt, a.decidedAt)
		r.countFailures(req, a.target)
	}
	if a.failed = o.Result == ResultError || o.Result == ResultReset; a.failed {
		req.failedAttempts++
	}
	r.updateOutliers(a, o)
	r.updateOriginLimit(a, o)
	r.updateFillKnowledge(a, o)
	r.updateLinks(a, o)
	r.updateTransferTimes(a, o)
	neverRan := []Result{ResultRejected, ResultConnectFailed, ResultNotSent, ResultNotFound}
	if req.mayHaveRun == a && slices.Contains(neverRan, o.Result) {
		req.mayHaveRun = nil
	}
	if o.RequestFinished || req.finished {
		r.finishRequest(req.ID)
	} else if o.Result != ResultOK {
		r.retry(a, o)
	}
}

func (started StreamStarted) apply(r *Router) { r.finishRequest(started.ID) }

func (gone ClientDisconnected) apply(r *Router) { r.finishRequest(gone.ID) }

// finishRequest marks a request as finished; it is forgotten when its last attempt has ended.
func (r *Router) finishRequest(id int64) {
	req := r.requests[id]
	if req == nil {
		return
	}
	req.finished = true
	for _, a := range req.attempts {
		if a.pending && r.settings.MayCancel && !req.class.Stream {
			r.actions = append(r.actions, Cancel{ID: req.ID, Attempt: a.number})
		}
	}
	if req.pendingAttempts == 0 {
		delete(r.requests, id)
	}
}
