package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	clientTime    = 30 * time.Millisecond  // taken off the aim for the answer's way to the client
	overdueSlack  = 200 * time.Millisecond // what an answer may take beyond its expected time
	overdueFactor = 8.0                    // and the multiple of that: sizes are often not known
)

// Router makes all decisions of one proxy. It is not safe for concurrent use.
type Router struct {
	settings       Settings
	rng            *rand.Rand
	now, startedAt time.Duration // of this event, and of the first one
	actions        []Action

	members         map[string]*member
	caches, parents []*member // of this router's zone, and of all; by id
	origin          *member
	originLimiter   limiter
	zoneLink        link // the zone's inbound link

	requests    map[int64]*request
	retryBudget float64                         // further attempts that may still be made
	purges      map[any]time.Duration           // time of each remembered purge, by object or group
	partWork    *simplelru.LRU[uint64, float64] // sending times of single parts, seconds
	classWork   map[string]*mean                // mean sending time by class name, seconds

	meanWork, meanWorth     mean // over all requests
	missShare               mean // share of fills among answers of caches not expected to hold a copy
	parentWait, siblingWait mean // first-byte waits, seconds
}

// New returns a router that knows nothing but its settings.
func New(settings Settings, seed uint64) *Router {
	partWork, _ := simplelru.NewLRU[uint64, float64](copyTableSize, nil)
	r := &Router{
		rng: rand.New(rand.NewPCG(seed, 0)), members: map[string]*member{}, requests: map[int64]*request{},
		purges: map[any]time.Duration{}, partWork: partWork, classWork: map[string]*mean{},
		zoneLink: newLink(), originLimiter: limiter{limit: originMaxInFlight}, retryBudget: retryBurst,
	}
	settings.apply(r)
	return r
}

// Handle processes one event at time now and returns the actions to carry out.
func (r *Router) Handle(now time.Duration, event Event) []Action {
	r.now, r.startedAt, r.actions = now, cmp.Or(r.startedAt, now), nil
	event.apply(r)
	return r.actions
}

// What was learned about a class is kept under its name: class numbers may be reassigned.
func (settings Settings) apply(r *Router) {
	r.settings = settings
	for _, class := range settings.Classes {
		r.classWork[class.Name] = cmp.Or(r.classWork[class.Name], &mean{})
	}
	r.sortMembers()
}

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

type attempt struct {
	request             *request
	number              int
	target, source      *member
	links               []*link
	sent, begun         time.Duration // when it was decided, and when its first byte was written, if known
	targetTime          float64       // expected sending time on the target's link, seconds
	expected            float64       // and on the slowest link of the way, if it has to be filled
	slowest             *link
	congested           bool    // a link of the way was expected to be
	missChance          float64 // how likely a fill is
	pending, failed     bool    // failed: it may have run, and brought no answer
	limited             bool    // it counts in the origin's limiter
	heldOnly, expectHit bool    // the source gives only what it holds; the target likely holds a copy
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

func (r *Router) pendingAttempt(id int64, number int) *attempt {
	req := r.requests[id]
	if req == nil || number < 0 || number >= len(req.attempts) || !req.attempts[number].pending {
		return nil
	}
	return req.attempts[number]
}

func (r *Router) startAttempt(req *request, target, source *member) {
	a := &attempt{request: req, number: len(req.attempts), target: target, source: source,
		slowest: &target.link, sent: r.now, begun: r.now}
	wait := r.estimate(a)
	if !r.isCache(source) && !a.expectHit && !req.class.Uncacheable { // it may load the origin
		a.limited = r.originLimiter.admits(r.rng.Float64)
		a.heldOnly = !a.limited
	}
	if a.heldOnly && source == r.origin && !req.class.Uncacheable || r.shouldShed(a, wait) {
		r.finishUnserved(req)
		return
	}
	for _, l := range a.links {
		l.enter(a, r.now)
	}
	for _, m := range []*member{target, source} {
		if r.weighsOn(m, a) && !slices.Contains(m.coldAttempts, a) {
			m.coldAttempts = append(m.coldAttempts, a)
		}
	}
	if a.limited {
		r.originLimiter.inFlight++
	}
	if a.number > 0 {
		r.retryBudget--
	}
	a.pending = true
	req.attempts = append(req.attempts, a)
	req.pending++
	req.mayHaveRun = cmp.Or(req.mayHaveRun, a)
	token := uint64(req.ID)<<8 | uint64(a.number&255)
	patience := time.Duration(overdueFactor*(wait+a.expected)*float64(time.Second)) + overdueSlack
	r.actions = append(r.actions, r.fetch(a), StartTimer{patience, token})
}

// estimate works out what an attempt takes on each link, and returns the wait for the first byte of a fill.
func (r *Router) estimate(a *attempt) (wait float64) {
	work := a.request.work
	use := func(l *link, warm float64) (seconds float64) {
		a.links = append(a.links, l)
		a.congested = a.congested || l.congestion(r.now, work, warm) >= congestedFrom
		if seconds = l.transferTime(r.now, work, warm); seconds > a.expected {
			a.slowest, a.expected = l, seconds
		}
		return seconds
	}
	a.targetTime = use(&a.target.link, r.warmShare(a.target))
	a.expectHit = r.isCache(a.target) && r.likelyHolds(a.target, a.request)
	if a.request.class.Uncacheable || a.expectHit {
		return 0
	}
	a.missChance = 1
	if r.isCache(a.target) && r.missShare.count > 0 {
		a.missChance = r.missShare.value
	}
	if !r.isCache(a.target) || !r.isCache(a.source) {
		use(&r.zoneLink, 1)
	}
	if a.source != a.target {
		use(&a.source.link, r.warmShare(a.source))
		wait = a.source.firstByteWait.value
		if !r.isCache(a.source) {
			wait = r.parentWait.value
		}
	}
	return wait
}

// shouldShed reports whether congestion makes a request late; those of least worth for their time go first.
func (r *Router) shouldShed(a *attempt, wait float64) bool {
	req := a.request
	value := req.class.PriorityWeight / req.work / (r.meanWorth.value / r.meanWork.value)
	share := min(1, math.Pow(value, min(1, a.expected/req.work-1)))
	full := a.congested && a.expected > congestedFrom*req.work
	return r.mayRefuse(req) && full && wait+a.expected > share*(req.aim-r.now).Seconds()
}

func (r *Router) fetch(a *attempt) Fetch {
	req, f := a.request, Fetch{ID: a.request.ID, Target: a.target.ID, Source: a.source.ID}
	if req.class.Uncacheable {
		return f
	}
	f.RetentionRank, f.CoalesceFill, f.CachedOnly = 1, r.settings.CoalesceFills, a.heldOnly
	if slices.ContainsFunc(r.caches, func(m *member) bool { return m.copies.Contains(req.key) }) {
		f.RetentionRank = 2 // it was asked for before: kept longer than what came once
	}
	f.StaleWhileRevalidate = req.class.FreshFor > 0 && !a.heldOnly
	if (a.number > 0 || a.heldOnly) && req.class.FreshFor > 0 {
		f.MaxAge = req.class.FreshFor + req.class.StaleFor
	}
	// A copy from before a purge may still exist: its age is bounded. A further attempt joins no fill.
	if at, purged := r.purgedAt(req); purged && r.now-at <= r.settings.PurgeCompletedWithin+r.settings.PurgeGrace {
		since := max(r.now-at, time.Microsecond)
		f.MaxAge = min(cmp.Or(f.MaxAge, req.class.FreshFor, since), since)
		f.CoalesceFill = f.CoalesceFill && a.number == 0
	}
	return f
}
