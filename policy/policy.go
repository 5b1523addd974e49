package policy

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Every tuned value of the module, with its reason.
const (
	initialMissPenalty = 100.0 // the paper's miss penalty, until waits have been measured
	epochFills         = 20    // fills of one epoch of a ratio; the paper's 100 are hardly reached
	epochWeight        = 0.3   // weight of a new epoch; above the paper's 0.1 as epochs are fewer
	waitSamples        = 10    // first-byte waits that a mean goes over
	requestSamples     = 100   // requests that the mean sizes and worths go over
	copyTableSize      = 8192  // beliefs kept for a cache: more parts than one keeps
	copyMemory         = 30 * time.Second

	defaultCapacity = 4.0  // transfers a cache's link is taken to carry at full pace until answers tell
	fillShare       = 0.33 // share of what caches carry that is filled from above: two of three are hits
	capacityWeight  = 0.1  // how fast a link's share follows its answers
	capacityRange   = 4.0  // a link's share stays within this factor of where it started
	slowdownWeight  = 0.3  // how fast a member's slowness follows its answers
	maxSlowdown     = 10.0
	minSlowdown     = 0.5  // less than this is no slowness
	minTimedWork    = 0.02 // seconds of sending under which an answer's time says nothing of it
	congestedFrom   = 1.2  // an answer slower than this many sending times says something of a link
	unusualFrom     = 3.0  // objects more times as large as the mean are few; such an answer was slowed
	aimShare        = 0.7  // share of the time to the aim that a transfer may take
	fullPressure    = 2.0  // at this many times the sending time long requests weigh in full

	hopWeight         = 0.25  // of a parent, for each hub further: bytes cost and take longer on the way
	originMaxInFlight = 128.0 // attempts that may make the origin work: no bound before it fails
	failureDecrease   = 0.7   // what a failure leaves of them
	lateDecrease      = 0.85  // and what an answer that waited longer than the aim leaves
	coldMargin        = 0.9   // share of a cold member's budget that is used
	turnMargin        = 0.33  // of that, given out in turns: those of two windows may meet in one
	retryShare        = 0.6   // further attempts for each request: a third may fail, but not for good
	retryBurst        = 10.0
	maxFailures       = 3 // attempts that may fail: what no cache can use must not go round all of them
	failuresToSuspect = 2 // requests in a row failed by one member and answered by another

	slowdownMemory  = 5 * time.Second        // slowness is forgotten in this time, so that it is tried again
	decreasePause   = 100 * time.Millisecond // failures of one burst count once
	loadAverageTime = 5 * time.Second        // own transfers are averaged over this
	clientTime      = 30 * time.Millisecond  // taken off the aim for the way to the client
	overdueSlack    = 200 * time.Millisecond // what an answer may take over its expected time
	overdueFactor   = 8.0                    // and this many times it: sizes are often not known
	firstSuspicion  = 500 * time.Millisecond // first suspicion; doubles with each further one
	maxSuspicions   = 5
	minComeBack     = 300 * time.Millisecond // least advice to a refused client
)

// Router decides for one proxy. It is not safe for concurrent use.
type Router struct {
	settings      Settings
	rng           *rand.Rand
	now           time.Duration
	startedAt     time.Duration // time of the first event
	actions       []Action
	members       map[string]*member
	caches        []*member // of the own zone, by id
	parents       []*member // by id
	origin        *member
	zoneLink      link    // the zone's link in
	originLimiter limiter // the origin's
	requests      map[int64]*request
	purges        map[any]time.Duration           // moments of those still remembered, by object or group
	classWork     map[string]*mean                // sending time of each class, by its name, seconds
	partWork      *simplelru.LRU[uint64, float64] // and of single parts, as answers showed it

	meanWork, meanWorth     mean    // of all requests
	missShare               mean    // share of fills among answers of caches not expected to hold a copy
	parentWait, siblingWait mean    // first-byte waits, seconds
	retryBudget             float64 // further attempts that may still be made
}

// member is one cache, parent or origin, with all that was observed of it.
type member struct {
	Member
	hash          uint64
	link          link
	firstByteWait mean // first-byte wait as a source, seconds
	misindication ratio
	copies        *simplelru.LRU[uint64, copyRecord]
	coldAttempts  []*attempt // what it was sent lately, kept while it is cold

	suspicions              int // health: suspicions in a row
	failures                int // requests in a row that it failed and another answered
	suspectUntil, lastHeard time.Duration
	lastAnswerSent          time.Duration // when the last sent of its answered attempts was sent
}

// copyRecord is what answers have shown of a copy: when it was filled, and when it was last seen.
type copyRecord struct{ filled, seen time.Duration }

// meanLoad is plain over the first values, then smoothed: one early value must not stand for all.
type mean struct{ value, count float64 }

func (m *mean) add(value, most float64) {
	m.count = min(m.count+1, most)
	m.value += (value - m.value) / m.count
}

// ratio is the paper's estimator of a misindication ratio (Section VIII-B).
type ratio struct {
	asked, lacked, epochs int
	value                 float64
}

// link is a network link as this router sees it. Each router that shares it is taken to load it alike.
type link struct {
	nominal, capacity float64
	sharers           float64 // that share it
	inFlight          []*attempt
	meanLoad          float64
	loadUpdated       time.Duration // when mean was last brought up to date
	slowdown          float64       // sending times that congestion does not explain
	slowdownUpdated   time.Duration // when that was learned
}

// limiter bounds the attempts in flight that may load the origin. Under a limit of one they pass by chance.
type limiter struct {
	limit    float64
	minimum  float64 // this router's part of what the origin is taken to do at once
	inFlight int
	lastCut  time.Duration
}

// request is one client request from its arrival to its final answer.
type request struct {
	Request
	class           *Class
	key             uint64
	work            float64 // sending time of one transfer, seconds
	sized           bool    // it is known; else it is the mean of the class
	aim, deadline   time.Duration
	attempts        []*attempt
	pending, failed int      // of them
	mayHaveRun      *attempt // the first attempt that is not proven not to have run
	finished        bool
	avoid           map[*member]bool // lacks it, failed or kept silent
}

type attempt struct {
	request             *request
	number              int
	target, source      *member
	links               []*link
	sent, begun         time.Duration // decided, and its first byte written, as far as known
	targetTime          float64       // sending time expected of the target's link, seconds
	expected            float64       // and of the slowest link of the way, if it has to be filled
	slowest             *link         // that link
	congested           bool          // a link of the way was held to be
	missChance          float64       // how likely a fill is
	pending             bool
	failed, limited     bool // it may have run, and brought no answer; it may make the origin work
	heldOnly, expectHit bool // the source gives only what it holds; the target likely holds a copy
}

// New returns a router that knows nothing but its settings.
func New(set Settings, seed uint64) *Router {
	sizes, _ := simplelru.NewLRU[uint64, float64](copyTableSize, nil)
	r := &Router{
		partWork: sizes, classWork: map[string]*mean{}, rng: rand.New(rand.NewPCG(seed, 0)),
		retryBudget: retryBurst,
		requests:    map[int64]*request{}, purges: map[any]time.Duration{},
		originLimiter: limiter{limit: originMaxInFlight}, zoneLink: link{nominal: 1, capacity: 1},
		members: map[string]*member{},
	}
	r.observeSettings(set)
	return r
}

// Handle takes one event at the clock time now and returns what is to be done.
func (r *Router) Handle(now time.Duration, ev Event) []Action {
	r.now, r.startedAt, r.actions = now, cmp.Or(r.startedAt, now), nil
	switch ev := ev.(type) {
	case Settings:
		r.observeSettings(ev)
	case MemberList:
		r.observeList(ev)
	case Purge:
		r.observePurge(ev)
	case Request:
		r.observeRequest(ev)
	case Outcome:
		r.observeOutcome(ev)
	case StreamStarted:
		r.finishID(ev.ID)
	case ClientGone:
		r.finishID(ev.ID)
	case TimerFired:
		r.observeTimer(ev)
	}
	return r.actions
}

// Recheck is asked when an attempt's first byte is about to be written. It returns its orders as they are by
// now, or false when it must not go: its member may be drained, its copy purged, the time for repeats over.
func (r *Router) Recheck(now time.Duration, id int64, number int) (Fetch, bool) {
	r.now = now
	req := r.requests[id]
	if req == nil || req.finished || number >= len(req.attempts) || !req.attempts[number].pending {
		return Fetch{}, false
	}
	a := req.attempts[number]
	if a.target.State != Ready || a.source.State != Ready ||
		req.mayHaveRun != a && !r.mayRepeat(req, a.target) {
		return Fetch{}, false
	}
	a.begun = now
	return r.fetch(req, a), true
}

// observeSettings keeps what was learned of a class by its name: its number may become another's.
func (r *Router) observeSettings(set Settings) {
	r.settings = set
	for _, c := range set.Classes {
		r.classWork[c.Name] = cmp.Or(r.classWork[c.Name], &mean{})
	}
	r.sortMembers()
}

func (r *Router) observeList(list MemberList) {
	for _, m := range r.members {
		if list.Whole { // who is not named again is gone
			m.State = Gone
		}
	}
	for _, entry := range list.Members {
		m := r.members[entry.ID]
		if m == nil {
			m = &member{hash: xxhash.Sum64String(entry.ID), link: link{nominal: 1, capacity: 1}}
			r.members[entry.ID] = m
		}
		if m.copies == nil || m.Started != entry.Started || entry.State == Gone { // it is empty
			m.copies, _ = simplelru.NewLRU[uint64, copyRecord](copyTableSize, nil)
			m.misindication, m.coldAttempts, m.link.slowdown = ratio{}, nil, 0
			m.suspicions, m.suspectUntil = 0, 0
		}
		m.Member = entry
	}
	r.sortMembers()
}

// resize sets what a link is taken to carry. What was learned of it, as a share of that, holds on.
func (l *link) resize(start, routers float64) {
	l.nominal, l.capacity, l.sharers = start, l.capacity*start/l.nominal, routers
}

// sortMembers lists by id who is not gone, and sizes their links: as told, else caches alike and each tier
// above to carry passedUp of the one below. One thought to grow with the routers is pushed over when cold.
func (r *Router) sortMembers() {
	r.caches, r.parents, r.origin = nil, nil, nil
	all, zone, instances := 0.0, 0.0, float64(max(1, r.settings.Instances))
	zoneRouters := instances
	if r.settings.Zone < len(r.settings.ZoneRouters) {
		zoneRouters = float64(max(1, r.settings.ZoneRouters[r.settings.Zone]))
	}
	for _, id := range slices.Sorted(maps.Keys(r.members)) {
		m := r.members[id]
		switch size := r.linkSize(m, defaultCapacity); {
		case m.State == Gone:
		case m.Kind == r.settings.OriginKind && (r.origin == nil || m.State > r.origin.State):
			r.origin = m
		case m.Kind == r.settings.ParentKind:
			r.parents = append(r.parents, m)
		case r.isCache(m):
			all += size
			if m.Zone == r.settings.Zone {
				m.link.resize(size, zoneRouters)
				r.caches = append(r.caches, m)
				zone += size * fillShare
			}
		}
	}
	for _, m := range r.parents {
		m.link.resize(r.linkSize(m, max(fillShare*all/float64(len(r.parents)), defaultCapacity)), instances)
	}
	if r.origin != nil {
		r.origin.link.resize(max(fillShare*fillShare*all, defaultCapacity), instances)
		r.originLimiter.minimum = min(1, r.origin.link.nominal/instances)
	}
	links := r.settings.LinkKBps
	if r.settings.Zone < len(links) && links[r.settings.Zone] > 0 && r.settings.FlowKBps > 0 {
		zone = links[r.settings.Zone] / r.settings.FlowKBps
	}
	r.zoneLink.resize(max(zone, 1), zoneRouters)
}

// seen is the size of a member's link where the list tells it.
func (r *Router) linkSize(m *member, other float64) float64 {
	if r.settings.WeightsTold && m.Weight > 0 {
		return m.Weight
	}
	return other
}

// observePurge remembers the purge for as long as an older copy or a belief in one may be about.
func (r *Router) observePurge(p Purge) {
	moment, memory := r.now-p.Age, max(copyMemory, r.settings.ClearedWithin+r.settings.PurgeGrace)
	maps.DeleteFunc(r.purges, func(_ any, at time.Duration) bool { return r.now-at > memory })
	key := any(p.Object)
	if p.Object == "" {
		key = p.Group
	}
	r.purges[key] = max(moment, r.purges[key])
}

// purgedAt returns the moment of the last purge that a copy for q must be younger than.
func (r *Router) purgedAt(req *request) (time.Duration, bool) {
	object, purged := r.purges[req.Object]
	group, voided := r.purges[req.Group]
	return max(object, group), purged || voided
}

func (r *Router) observeRequest(arrived Request) {
	if arrived.Class < 0 || arrived.Class >= len(r.settings.Classes) {
		r.actions = append(r.actions, Fail{ID: arrived.ID})
		return
	}
	req := &request{Request: arrived, class: &r.settings.Classes[arrived.Class], avoid: map[*member]bool{}}
	req.key = mixHash(xxhash.Sum64String(arrived.Object) + uint64(arrived.Part)*0x9e3779b97f4a7c15)
	size, sized := r.partWork.Get(req.key)
	req.sized = sized || arrived.SizeKB > 0
	req.work = cmp.Or(size, r.classWork[req.class.Name].value, req.class.Aim.Seconds()/4)
	if arrived.SizeKB > 0 && r.settings.FlowKBps > 0 {
		req.work = arrived.SizeKB / r.settings.FlowKBps
		r.classWork[req.class.Name].add(req.work, requestSamples)
	}
	stretch := time.Duration(req.class.AimStretch * req.work * float64(time.Second))
	req.deadline = r.now + arrived.Left
	req.aim = min(r.now+req.class.Aim+stretch-clientTime, req.deadline)
	r.requests[arrived.ID] = req
	r.meanWork.add(req.work, requestSamples)
	r.meanWorth.add(req.class.Worth, requestSamples)
	r.retryBudget = min(r.retryBudget+retryShare, retryBurst)
	r.decide(req)
}

func (r *Router) observeOutcome(o Outcome) {
	req := r.requests[o.ID]
	if req == nil || o.Attempt < 0 || o.Attempt >= len(req.attempts) || !req.attempts[o.Attempt].pending {
		return
	}
	a := req.attempts[o.Attempt]
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
	unrun := []Result{ResultFull, ResultConnectFailed, ResultMoot, ResultMiss}
	if req.mayHaveRun == a && slices.Contains(unrun, o.Result) {
		req.mayHaveRun = nil
	}
	if o.Finished || req.finished {
		r.finishID(req.ID)
	} else if o.Result != ResultOK {
		r.retry(req, a, o)
	}
}

// expectHit says that the answer came from a copy that was there.
func (o Outcome) fromCopy() bool { return o.Note == NoteHit || o.Note == NoteStale }

// observeHealth updates the health of the target and of the source behind it.
func (r *Router) observeHealth(a *attempt, o Outcome) {
	switch {
	case o.Note == NoteSourceFailed:
		a.target.markHealthy(r.now)
		a.source.markSuspect(r.now)
	case o.Note == NoteOriginFailed, o.Note == NoteSourceLacks,
		o.Note == NoteFilled, o.Note == NoteFilledByOrigin:
		a.target.markHealthy(r.now)
		a.source.markHealthy(r.now)
	case o.Note == NoteSourceRefused, o.Result == ResultOK, o.Result == ResultMiss, o.Result == ResultFull:
		a.target.markHealthy(r.now)
	case o.Result == ResultConnectFailed:
		a.target.markSuspect(r.now)
	}
}

// observeOrigin moves the origin's limit: down on a failure or a late answer, up on any other answer.
func (r *Router) observeOrigin(a *attempt, o Outcome) {
	if a.limited {
		r.originLimiter.inFlight--
	}
	left, direct := 0.0, a.source == r.origin
	switch {
	case o.Note == NoteOriginFailed, direct && (o.Note == NoteSourceRefused || o.Note == NoteSourceFailed),
		direct && a.target == r.origin && o.Result == ResultFull:
		left = failureDecrease
	case o.Note == NoteFilledByOrigin && o.SourceWait > a.request.class.Aim:
		left = lateDecrease
	case o.Note == NoteFilledByOrigin, direct && o.Result == ResultOK:
		l := &r.originLimiter
		l.limit = min(l.limit+min(1/math.Sqrt(l.limit), l.limit), originMaxInFlight)
	}
	if left > 0 && r.now-r.originLimiter.lastCut > decreasePause {
		l := &r.originLimiter
		l.limit, l.lastCut = max(l.minimum, min(l.limit, float64(l.inFlight+1))*left), r.now
	}
}

// attributeFailures holds failed attempts against their members once another member has answered the request.
func (r *Router) attributeFailures(req *request, answered *member) {
	for i, b := range req.attempts {
		if !b.failed || b.target == answered || i > 0 && b.target == req.attempts[i-1].target {
			continue
		}
		if b.target.failures++; b.target.failures >= failuresToSuspect {
			b.target.markSuspect(r.now)
		}
	}
}

// markHealthy ends a suspicion and takes one back of those in a row.
func (m *member) markHealthy(now time.Duration) {
	m.suspicions, m.suspectUntil, m.lastHeard, m.failures = max(0, m.suspicions-1), 0, now, 0
}

func (m *member) markSuspect(now time.Duration) {
	if now < m.suspectUntil {
		return
	}
	m.suspectUntil = now + firstSuspicion<<m.suspicions
	m.suspicions = min(m.suspicions+1, maxSuspicions)
}

// observeCopy keeps the beliefs, the ratio of the sibling and the waits that beta is made of.
func (r *Router) observeCopy(a *attempt, o Outcome) {
	req, sibling := a.request, a.source != a.target && r.isCache(a.source)
	if o.Result == ResultOK && o.Note != NoteNone && r.isCache(a.target) && !req.class.PassOn {
		r.recordCopy(a.target, req, !o.fromCopy())
	}
	filled := o.Result == ResultOK && (o.Note == NoteFilled || o.Note == NoteFilledByOrigin)
	if sibling && (filled || o.Note == NoteSourceLacks) {
		a.source.misindication.add(o.Note == NoteSourceLacks)
	}
	if o.Note == NoteSourceLacks {
		req.avoid[a.source] = true
		if sibling {
			a.source.copies.Remove(req.key)
		}
	}
	if !filled || o.SourceWait <= 0 {
		return
	}
	waited, tier := a.source, &r.parentWait
	if o.Note == NoteFilledByOrigin && r.origin != nil {
		waited = r.origin // a wait for the origin is not the parent's doing
	}
	if sibling {
		tier = &r.siblingWait
	}
	waited.firstByteWait.add(o.SourceWait.Seconds(), waitSamples)
	tier.add(o.SourceWait.Seconds(), waitSamples)
}

func (r *Router) recordCopy(m *member, req *request, filled bool) {
	b, known := m.copies.Peek(req.key)
	if !known || filled {
		b.filled = r.now
	}
	b.seen = r.now
	m.copies.Add(req.key, b)
}

// likelyHolds reports whether a member is expected to hold a copy that will do for the request.
func (r *Router) likelyHolds(m *member, req *request) bool {
	b, ok := m.copies.Peek(req.key)
	at, purged := r.purgedAt(req)
	return ok && (!purged || at < b.filled) && r.now-b.seen < copyMemory &&
		(req.class.Fresh == 0 || r.now-b.filled < req.class.Fresh)
}

func (r *ratio) add(lacked bool) {
	r.asked++
	if lacked {
		r.lacked++
	}
	plain := float64(r.lacked) / float64(r.asked)
	switch {
	case r.epochs == 0:
		r.value = plain
	case r.asked == epochFills:
		r.value += epochWeight * (plain - r.value)
	}
	if r.asked == epochFills {
		r.asked, r.lacked, r.epochs = 0, 0, r.epochs+1
	}
}

// observePace lets the link that an answer was expected to wait for learn from what it took.
func (r *Router) observePace(a *attempt, o Outcome) {
	if o.Result != ResultOK || o.Note == NoteJoined {
		return
	}
	hit := o.fromCopy()
	if !a.expectHit && o.Note != NoteNone && r.isCache(a.target) {
		r.missShare.add(map[bool]float64{false: 1}[hit], waitSamples)
	}
	l, expected := a.slowest, a.expected
	if hit {
		l, expected = &a.target.link, a.targetTime
	}
	took, work := (o.Took - o.SourceWait).Seconds(), a.request.work
	if o.Sending > 0 {
		work = o.Sending.Seconds()
		expected *= work / a.request.work
	} else if !a.request.sized && expected < congestedFrom*work && took < unusualFrom*work {
		return
	}
	took = math.Max(took, work)
	if !a.congested && (o.Sending > 0 || a.request.sized) {
		if !hit {
			l = &a.source.link
		}
		if work >= minTimedWork {
			l.learnSlowdown(r.now, took/work)
		}
	} else if math.Max(took, expected) >= congestedFrom*work {
		l.learnCapacity(math.Max(expected, work) / took)
	}
}

// observeSize learns how long a part takes to send; where its bytes are not told, an answer over free links
// shows it. The danger: a large object on a free link looks like a full link, and small requests are refused.
func (r *Router) observeSize(a *attempt, o Outcome) {
	req, work := a.request, o.Sending.Seconds()
	if work == 0 && o.fromCopy() && a.targetTime < congestedFrom*req.work {
		work = o.Took.Seconds()
	}
	if work > 0 && o.Result == ResultOK && req.SizeKB == 0 && !req.class.PassOn {
		r.classWork[req.class.Name].add(work, requestSamples)
		r.partWork.Add(req.key, work)
	}
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

// transferTime returns the seconds that a further transfer of work seconds takes.
func (l *link) transferTime(now time.Duration, work, warm float64) float64 {
	takes := work * l.congestion(now, work, warm)
	if slow := l.currentSlowdown(now); slow >= minSlowdown {
		takes *= 1 + slow
	}
	return takes
}

func (l *link) currentSlowdown(now time.Duration) float64 {
	return l.slowdown * math.Exp(-(now-l.slowdownUpdated).Seconds()/slowdownMemory.Seconds())
}

// learnSlowdown takes the pace of an answer that congestion does not explain.
func (l *link) learnSlowdown(now time.Duration, times float64) {
	was := l.currentSlowdown(now)
	l.slowdown, l.slowdownUpdated = was+slowdownWeight*(min(max(times, 1), maxSlowdown)-1-was), now
}

// loadOn is the part of an attempt's work that a link is expected to carry: most that could fill are hits.
func (a *attempt) loadOn(l *link) float64 {
	if l == &a.target.link {
		return 1
	}
	return a.missChance
}

// load is the mean load that this router has put on a link.
func (l *link) load(now time.Duration) float64 {
	load := 0.0
	for _, a := range l.inFlight {
		load += a.loadOn(l)
	}
	elapsed := (now - l.loadUpdated).Seconds()
	return l.meanLoad + (load-l.meanLoad)*-math.Expm1(-elapsed/loadAverageTime.Seconds())
}

func (l *link) enter(a *attempt, now time.Duration) {
	l.meanLoad, l.loadUpdated = l.load(now), now
	l.inFlight = append(l.inFlight, a)
}

func (a *attempt) leaveLinks(now time.Duration) {
	for _, l := range a.links {
		l.meanLoad, l.loadUpdated = l.load(now), now
		l.inFlight = slices.DeleteFunc(l.inFlight, func(b *attempt) bool { return a == b })
	}
}

// usable reports whether a member may be sent to at all: it is ready, and not cold beyond its budget.
func (r *Router) usable(m *member, req *request) bool {
	return m != nil && m.State == Ready && r.withinColdBudget(m, req)
}

// Avoided is how many listed members get nothing new at the clock time now.
func (r *Router) Avoided(now time.Duration) (n int) {
	for _, m := range r.members {
		if m.State == Draining || m.State == Ready && now < m.suspectUntil {
			n++
		}
	}
	return n
}

// healthy is the one notion of health: a suspect is left alone, then tried with one attempt at a time.
func (r *Router) healthy(m *member) bool {
	return r.now >= m.suspectUntil && (m.suspicions == 0 || len(m.link.inFlight) == 0)
}

func (r *Router) coldRules(m *member) (share float64, warm time.Duration, multiple float64) {
	if m.Kind == r.settings.ParentKind {
		return r.settings.ParentColdShare, r.settings.ParentWarmWithin, r.settings.ParentFallMultiple
	}
	return r.settings.ColdShare, r.settings.WarmWithin, r.settings.FallMultiple
}

// warmShare is the share of its capacity that a member can surely give.
func (r *Router) warmShare(m *member) float64 {
	share, within, _ := r.coldRules(m)
	age := r.now - m.Started
	if m.Started == 0 || age >= within || within == 0 || m.Kind == r.settings.OriginKind {
		return 1
	}
	return share + (1-share)*max(0, age.Seconds())/within.Seconds()
}

// withinColdBudget keeps a cold member from being pushed over: this router's part of what it surely bears.
// What was sent before this router's own start is not known to it.
func (r *Router) withinColdBudget(m *member, req *request) bool {
	warm := r.warmShare(m)
	if warm >= 1 {
		m.coldAttempts = nil
		return true
	}
	_, _, multiple := r.coldRules(m)
	window, weight := max(r.settings.FallWindow, time.Second), r.coldCost(req)
	expired := func(c *attempt) bool { return r.now-c.begun > window }
	m.coldAttempts = slices.DeleteFunc(m.coldAttempts, expired)
	sum := weight
	for _, c := range m.coldAttempts {
		sum += r.coldCost(c.request)
	}
	part := coldMargin * multiple * min(m.link.capacity, m.link.nominal) / m.link.sharers
	return (m.Started >= r.startedAt || r.now-r.startedAt >= window) &&
		(sum <= part*warm*window.Seconds() ||
			sum == weight && r.hasColdTurn(m, window, weight/(part*turnMargin)))
}

// hasColdTurn gives out turns where one request takes up this router's part of several windows.
func (r *Router) hasColdTurn(m *member, window time.Duration, takes float64) bool {
	share, within, _ := r.coldRules(m)
	turns := func(at time.Duration) float64 {
		age := max(at-m.Started, 0).Seconds()
		warmed := age * (share + (1-share)*age/within.Seconds()/2)
		return math.Floor(math.Mod(float64(r.settings.Index)*math.Phi, 1) + warmed/takes)
	}
	return turns(r.now) > turns(r.now-window)
}

// coldCost is what an attempt costs a cold member: the rules count some at their own size, some at the mean.
func (r *Router) coldCost(req *request) float64 {
	return math.Max(req.work, r.classWork[req.class.Name].value)
}

func (r *Router) isCache(m *member) bool {
	return m.Kind != r.settings.ParentKind && m.Kind != r.settings.OriginKind
}

// ranked returns the members by weighted rendezvous hashing of the part that q asks for.
func (r *Router) ranked(list []*member, req *request) []*member {
	return slices.SortedStableFunc(slices.Values(list), func(a, b *member) int {
		return cmp.Compare(r.rendezvousScore(b, req), r.rendezvousScore(a, req))
	})
}

// rendezvousScore weighs a parent down for each hub on the way, where the ring of hubs is known.
func (r *Router) rendezvousScore(m *member, req *request) float64 {
	weight, hubs := r.linkSize(m, 1), r.settings.ZoneHubs
	zone := r.settings.Zone
	if m.Kind == r.settings.ParentKind && max(zone, m.Zone) < len(hubs) && min(zone, m.Zone) >= 0 {
		way, ring := math.Abs(float64(hubs[zone]-hubs[m.Zone])), float64(slices.Max(hubs)+1)
		weight *= math.Pow(hopWeight, max(0, min(way, ring-way)))
	}
	return -weight / math.Log((float64(mixHash(m.hash^req.key)>>11)+0.5)/(1<<53))
}

// mixHash is the finaliser of splitmix64.
func mixHash(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// decide finds the cache and the source for the next attempt, or finishes the request.
func (r *Router) decide(req *request) {
	target := r.firstWithRoom(req, r.ranked(r.caches, req))
	switch {
	case req.class.PassOn && !r.usable(r.origin, req):
		r.finishUnserved(req)
	case req.class.PassOn && r.settings.Direct:
		r.startAttempt(req, r.origin, r.origin)
	case req.class.PassOn && target != nil:
		r.startAttempt(req, target, r.origin)
	case target != nil && (r.healthy(target) || !r.settings.Direct):
		r.startAttempt(req, target, r.chooseSource(req, target))
	case r.settings.Direct && r.chooseParent(req) != nil && r.usable(r.origin, req): // no cache is up
		r.startAttempt(req, r.chooseParent(req), r.origin)
	default:
		r.finishUnserved(req)
	}
}

// firstWithRoom returns the first healthy candidate with room, else the one with most room, else a suspect.
func (r *Router) firstWithRoom(req *request, walk []*member) *member {
	var best, last *member
	least := math.Inf(1)
	for _, m := range walk {
		if !r.usable(m, req) || !r.mayRepeat(req, m) {
			continue
		}
		last = cmp.Or(last, m)
		if !r.healthy(m) || req.avoid[m] {
			continue
		}
		over := r.excessTime(m, req)
		if over <= 0 {
			return m
		}
		if over < least {
			best, least = m, over
		}
	}
	return cmp.Or(best, last)
}

// excessTime is by how much m would take longer for q than its share of the time to the aim, in seconds.
func (r *Router) excessTime(m *member, req *request) float64 {
	takes := m.link.transferTime(r.now, req.work, r.warmShare(m))
	if !r.isCache(m) {
		takes += m.firstByteWait.value
	}
	return takes - max(aimShare*(req.aim-r.now).Seconds(), req.work)
}

// chooseSource returns the likely holder with the lowest misindication ratio if that pays, else a parent.
func (r *Router) chooseSource(req *request, target *member) *member {
	return cmp.Or(r.chooseSibling(req, target), r.chooseParent(req), target)
}

func (r *Router) chooseSibling(req *request, target *member) *member {
	if r.settings.Siblings == SiblingsNone {
		return nil
	}
	var best *member
	lowest, mean := math.Inf(1), r.meanMisindication()
	for _, m := range r.ranked(r.caches, req) {
		// Routers rank siblings alike: one whose link is full already is not asked too (herding).
		if m == target || req.avoid[m] || !r.likelyHolds(m, req) || !r.usable(m, req) || !r.healthy(m) ||
			r.excessTime(m, req) > 0 {
			continue
		}
		rho := m.misindication.value
		if m.misindication.asked+m.misindication.epochs == 0 {
			rho = mean
		}
		if rho < lowest {
			best, lowest = m, rho
		}
	}
	if beta := r.missPenalty(); best != nil && 1+beta*lowest < beta {
		return best
	}
	return nil
}

func (r *Router) meanMisindication() float64 {
	sum, n := 0.0, 0.0
	for _, m := range r.caches {
		if m.misindication.asked+m.misindication.epochs > 0 {
			sum, n = sum+m.misindication.value, n+1
		}
	}
	return sum / max(n, 1)
}

func (r *Router) missPenalty() float64 {
	if r.parentWait.value == 0 || r.siblingWait.value == 0 {
		return initialMissPenalty
	}
	return r.parentWait.value / r.siblingWait.value
}

// chooseParent returns the hashed parent; the origin is the last candidate.
func (r *Router) chooseParent(req *request) *member {
	return r.firstWithRoom(req, append(r.ranked(r.parents, req), r.origin))
}

// startAttempt sends q to target; every send, charge and time-out is made here.
func (r *Router) startAttempt(req *request, target, source *member) {
	a := &attempt{request: req, number: len(req.attempts), target: target, source: source,
		slowest: &target.link, sent: r.now, begun: r.now}
	wait := r.estimate(a)
	if !r.isCache(source) && !a.expectHit && !req.class.PassOn { // may make the origin work
		limit := r.originLimiter.limit
		a.limited = float64(r.originLimiter.inFlight) < limit && r.rng.Float64() < limit
		a.heldOnly = !a.limited
	}
	if a.heldOnly && source == r.origin && !req.class.PassOn || r.shouldShed(req, a, wait) {
		r.finishUnserved(req)
		return
	}
	for _, l := range a.links {
		l.enter(a, r.now)
	}
	for _, m := range []*member{target, source} {
		if r.warmShare(m) < 1 && (m == target || m.Kind == r.settings.ParentKind) {
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
	patience := time.Duration(overdueFactor*(wait+a.expected)*float64(time.Second)) + overdueSlack
	token := uint64(req.ID)<<8 | uint64(a.number&255)
	r.actions = append(r.actions, r.fetch(req, a), StartTimer{patience, token})
}

// estimate finds what an attempt will take on each link of its way, and returns the wait for the first byte.
func (r *Router) estimate(a *attempt) (wait float64) {
	req := a.request
	use := func(l *link, warm float64) (takes float64) {
		a.links = append(a.links, l)
		a.congested = a.congested || l.congestion(r.now, req.work, warm) >= congestedFrom
		if takes = l.transferTime(r.now, req.work, warm); takes > a.expected {
			a.slowest, a.expected = l, takes
		}
		return takes
	}
	a.targetTime = use(&a.target.link, r.warmShare(a.target))
	if a.expectHit = r.isCache(a.target) && r.likelyHolds(a.target, req); req.class.PassOn || a.expectHit {
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
func (r *Router) shouldShed(req *request, a *attempt, wait float64) bool {
	cheap := req.class.Worth / req.work / (r.meanWorth.value / r.meanWork.value)
	share := min(1, math.Pow(cheap, min(1, (a.expected/req.work-1)/(fullPressure-1))))
	full := a.congested && a.expected > congestedFrom*req.work
	return r.mayRefuse(req) && full && wait+a.expected > share*(req.aim-r.now).Seconds()
}

func (r *Router) fetch(req *request, a *attempt) Fetch {
	f := Fetch{ID: req.ID, Target: a.target.ID, Source: a.source.ID}
	if req.class.PassOn {
		return f
	}
	f.Keep, f.Join, f.HeldOnly = 1, r.settings.CanJoin, a.heldOnly
	if slices.ContainsFunc(r.caches, func(m *member) bool { return m.copies.Contains(req.key) }) {
		f.Keep = 2 // asked for before: kept longer than what came once
	}
	f.Renew = req.class.Fresh > 0 && !a.heldOnly
	if (a.number > 0 || a.heldOnly) && req.class.Fresh > 0 {
		f.MaxAge = req.class.Fresh + req.class.Grace
	}
	// A copy from before a purge may still be about: bound the age, and join no fill that may be older.
	if at, purged := r.purgedAt(req); purged && r.now-at <= r.settings.ClearedWithin+r.settings.PurgeGrace {
		since := max(r.now-at, time.Microsecond)
		f.MaxAge = min(cmp.Or(f.MaxAge, req.class.Fresh, since), since)
		f.Join = false
	}
	return f
}

// observeTimer looks at an overdue attempt: its member was silent, or later attempts overtook it.
func (r *Router) observeTimer(t TimerFired) {
	req, number := r.requests[int64(t.Token>>8)], int(t.Token&255)
	if req == nil || req.finished || number >= len(req.attempts) || !req.attempts[number].pending {
		return
	}
	a := req.attempts[number]
	lost := a.target.lastAnswerSent > a.sent
	if lost { // its transfer is over: it must not make the link look full
		a.leaveLinks(r.now)
		req.avoid[a.source] = a.source != a.target // or its source is silent
	}
	if !lost && a.target.lastHeard <= a.sent {
		a.target.markSuspect(r.now)
	} else if a.source.lastHeard <= a.sent && !a.expectHit {
		a.source.markSuspect(r.now)
	}
	silent := !r.healthy(a.target) || !r.healthy(a.source)
	inTime := r.now+time.Duration(req.work*float64(time.Second)) < req.aim
	switch {
	case !lost && !(silent && inTime) || req.class.Effect != Safe || r.retryBudget < 1:
	case r.settings.SecondCopies:
		r.decide(req)
	case r.settings.MayCancel:
		r.actions = append(r.actions, Cancel{ID: req.ID, Attempt: number})
	}
}

// retry decides what follows a failed attempt.
func (r *Router) retry(req *request, a *attempt, o Outcome) {
	if req.pending > 0 {
		return
	}
	if o.Note != NoteSourceLacks {
		if o.Note == NoteSourceFailed || o.Note == NoteSourceRefused || o.Note == NoteOriginFailed {
			req.avoid[a.source] = true
		} else if (!a.failed && o.Result != ResultCancelled) || a.number > 0 || !r.healthy(a.target) {
			// One error, broken connection or lost answer is no death: the copy is still there.
			req.avoid[a.target] = true
		}
	}
	left := req.deadline - r.now - time.Duration(req.work*float64(time.Second))
	spent := left <= 0 || len(req.attempts) >= cmp.Or(r.settings.MaxAttempts, 2) || r.retryBudget < 1
	if spent || req.failed >= maxFailures || !r.mayRepeat(req, a.target) {
		r.finishUnserved(req)
	} else {
		r.decide(req)
	}
}

// mayRepeat says whether another attempt at m is harmless. A keyed request that may have run goes only to
// the stores that drop its repeats, and while they remember.
func (r *Router) mayRepeat(req *request, m *member) bool {
	first := req.mayHaveRun
	switch {
	case first == nil || req.class.Effect == Safe:
		return true
	case req.class.Effect == Unsafe || r.now-first.sent >= req.class.Window:
		return false
	case req.class.Scope == ScopeZone:
		return m.Zone == first.target.Zone
	}
	return req.class.Scope == ScopeAll || m.Cell == first.target.Cell && m.Zone == first.target.Zone
}

// mayRefuse says whether telling the client to try again is harmless.
func (r *Router) mayRefuse(req *request) bool {
	return req.class.Effect == Safe || req.mayHaveRun == nil ||
		req.class.Effect == Keyed && req.class.Scope == ScopeAll
}

// finishUnserved gives the final answer to a request that is given up.
func (r *Router) finishUnserved(req *request) {
	if req.pending > 0 { // another copy is out and may still be answered
		return
	}
	if r.mayRefuse(req) {
		wait := minComeBack + time.Duration(r.rng.Int64N(int64(minComeBack)))
		wait = min(wait, max(r.settings.MaxComeBack, minComeBack))
		r.actions = append(r.actions, Refuse{ID: req.ID, ComeBack: wait})
	} else {
		r.actions = append(r.actions, Fail{ID: req.ID})
	}
	r.finishID(req.ID)
}

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
