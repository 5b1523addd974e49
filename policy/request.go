package policy

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	clientTime = 30 * time.Millisecond // taken off the aim for the answer's way to the client
)

type request struct {
	Request
	class           *Class
	key             uint64  // hash of object and part
	work            float64 // sending time of one transfer, seconds
	sized           bool    // work is known; else it is the mean of the class
	aim, deadline   time.Duration
	attempts        []*attempt
	pending, failed int      // numbers of attempts
	mayHaveRun      *attempt // the first attempt that is not proven not to have run
	finished        bool
	avoid           map[*member]bool // members that lack the object, failed or did not answer
}

func (arrived Request) apply(r *Router) {
	if arrived.Class < 0 || arrived.Class >= len(r.settings.Classes) {
		r.actions = append(r.actions, Fail{ID: arrived.ID})
		return
	}
	class := &r.settings.Classes[arrived.Class]
	req := &request{Request: arrived, class: class, avoid: map[*member]bool{}, deadline: r.now + arrived.Remaining}
	req.key = mixHash(xxhash.Sum64String(arrived.Object) + uint64(arrived.Part)*0x9e3779b97f4a7c15)
	learned, known := r.partWork.Get(req.key)
	req.sized = known || arrived.SizeKB > 0
	req.work = cmp.Or(learned, r.classWork[class.Name].value, class.LatencyObjective.Seconds()/4)
	if arrived.SizeKB > 0 && r.settings.TransferKBPerSecond > 0 {
		req.work = arrived.SizeKB / r.settings.TransferKBPerSecond
		r.classWork[class.Name].add(req.work, requestSamples)
	}
	stretch := time.Duration(class.LatencyObjectiveStretch * req.work * float64(time.Second))
	req.aim = min(r.now+class.LatencyObjective+stretch-clientTime, req.deadline)
	r.requests[arrived.ID] = req
	r.meanWork.add(req.work, requestSamples)
	r.meanWorth.add(class.PriorityWeight, requestSamples)
	r.retryBudget = min(r.retryBudget+retryShare, retryBurst)
	r.decide(req)
}

func (o Outcome) apply(r *Router) {
	a := r.pendingAttempt(o.ID, o.Attempt)
	if a == nil {
		return
	}
	req := a.request
	a.pending = false
	req.pending--
	a.leaveLinks(r.now)
	if o.Result == ResultOK {
		a.target.lastAnswerSent = max(a.target.lastAnswerSent, a.sent)
		r.attributeFailures(req, a.target)
	}
	if a.failed = o.Result == ResultError || o.Result == ResultReset; a.failed {
		req.failed++
	}
	r.observeHealth(a, o)
	r.observeOrigin(a, o)
	r.observeCopy(a, o)
	r.observePace(a, o)
	r.observeSize(a, o)
	neverRan := []Result{ResultRejected, ResultConnectFailed, ResultNotSent, ResultNotFound}
	if req.mayHaveRun == a && slices.Contains(neverRan, o.Result) {
		req.mayHaveRun = nil
	}
	if o.RequestFinished || req.finished {
		r.finishID(req.ID)
	} else if o.Result != ResultOK {
		r.retry(a, o)
	}
}

func (started StreamStarted) apply(r *Router) { r.finishID(started.ID) }

func (gone ClientDisconnected) apply(r *Router) { r.finishID(gone.ID) }

// finishID marks a request as finished; it is forgotten when its last attempt has ended.
func (r *Router) finishID(id int64) {
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
	if req.pending == 0 {
		delete(r.requests, id)
	}
}
