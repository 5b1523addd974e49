// The interface of this module (settings, events, actions) is in policy/types.go. All decisions are here,
// in the order in which a request meets them: observe, eligible, cache, source, attempt, finish.

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
	startBeta   = 100.0 // the paper's miss penalty, until waits have been measured
	rhoEpoch    = 20    // fills of one epoch of rho; the paper's 100 are hardly reached by sibling fills
	rhoSmooth   = 0.3   // weight of a new epoch; above the paper's 0.1 as epochs are fewer
	waitCount   = 10    // first-byte waits that a mean goes over
	meanCount   = 100   // requests that the mean sizes and worths go over
	beliefCount = 8192  // beliefs kept for a cache: more parts than one keeps
	beliefAge   = 30 * time.Second

	unknownCap   = 4.0  // transfers a cache's link is taken to carry at full pace until answers tell
	passedUp     = 0.33 // share of what caches carry that is filled from above: two of three are hits
	capSmooth    = 0.1  // how fast a link's share follows its answers
	capRange     = 4.0  // a link's share stays within this factor of where it started
	dragSmooth   = 0.3  // how fast a member's slowness follows its answers
	dragMost     = 10.0
	dragLeast    = 0.5  // less than this is no slowness
	dragWork     = 0.02 // seconds of sending under which an answer's time says nothing of it
	stretched    = 1.2  // an answer slower than this many sending times says something of a link
	unusual      = 3.0  // objects more times as large as the mean are few; such an answer was slowed
	roomShare    = 0.7  // share of the time to the aim that a link may take before its member is passed over
	fullPressure = 2.0  // at this many times the sending time long requests weigh in full

	farWeight  = 0.25  // of a parent, for each hub further: bytes cost and take longer on the way
	gateMost   = 128.0 // attempts that may make the origin work: no bound before it fails
	gateCut    = 0.7   // what a failure leaves of them
	gateSlow   = 0.85  // and what an answer that waited longer than the aim leaves
	coldMargin = 0.9   // share of a cold member's budget that is used: routers do not all use theirs up
	turnShare  = 0.33  // of that, given out in turns: those of two windows may meet in one
	retryShare = 0.6   // further attempts for each request: a third may fail, but not for good
	retryBurst = 10.0
	mostFailed = 3 // attempts that may fail: what no cache can use must not go round all of them
	errorsDown = 2 // requests in a row failed by one member and answered by another

	dragFor    = 5 * time.Second        // slowness is forgotten in this time, so that it is tried again
	gatePause  = 100 * time.Millisecond // failures of one burst count once
	useOver    = 5 * time.Second        // own transfers are averaged over this to guess the other routers'
	clientWay  = 30 * time.Millisecond  // taken off the aim for the way to the client
	overdue    = 200 * time.Millisecond // what an answer may take over its expected time
	overdueBy  = 8.0                    // and this many times it: sizes are not told, and differ much
	suspectFor = 500 * time.Millisecond // first suspicion; doubles with each further one
	mostDoubts = 5
	comeBack   = 300 * time.Millisecond // least advice to a refused client
)

// Router decides for one proxy. It is not safe for concurrent use.
type Router struct {
	set     Settings
	rng     *rand.Rand
	now     time.Duration
	born    time.Duration // when it was told something first
	out     []Action
	members map[string]*member
	caches  []*member // of the own zone, by id
	parents []*member // by id
	origin  *member
	link    lane // the zone's link in
	gate    gate // the origin's
	open    map[int64]*request
	purges  map[any]time.Duration           // moments of those still remembered, by object or group
	work    map[string]*mean                // sending time of each class, by its name, seconds
	sizes   *simplelru.LRU[uint64, float64] // and of single parts, as answers showed it

	meanWork, meanWorth     mean    // of all requests
	miss                    mean    // share of fills among what caches were not believed to hold
	parentWait, siblingWait mean    // first-byte waits, seconds
	retries                 float64 // further attempts that may still be made
}

// member is one cache, parent or origin, with all that was observed of it.
type member struct {
	Member
	hash    uint64
	lane    lane
	wait    mean // first-byte wait as a source, seconds
	rho     ratio
	beliefs *simplelru.LRU[uint64, belief]
	charges []*attempt // what it was sent lately, kept while it is cold

	doubts       int // health: suspicions in a row
	errors       int // requests in a row that it failed and another answered
	until, heard time.Duration
	answered     time.Duration // when the last sent of its answered attempts was sent
}

// belief is what an answer told of a copy: when it was filled, and when it was last heard of.
type belief struct{ filled, told time.Duration }

// mean is plain over the first values, then smoothed: one early value must not stand for all.
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

// lane is a link as this router sees it: the one-client transfers that it carries at full pace, this router's
// attempts under way on it, and their mean number, which each other router that shares the link is taken to
// have too. The danger of a fixed share of the link: with many routers an idle link looks full.
type lane struct {
	start, cap float64
	routers    float64 // that share it
	under      []*attempt
	mean       float64
	moved      time.Duration // when mean was last brought up to date
	drag       float64       // sending times by which transfers lasted longer than a full link explains
	dragged    time.Duration // when that was learned
}

// gate bounds the attempts under way that may make the origin work: one that is crowded and asked on stops.
// Under one, an attempt passes by chance, as one for each of many routers may be more than it can do.
type gate struct {
	size  float64
	least float64 // this router's part of what the origin is taken to do at once
	under int
	cut   time.Duration
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
	mayRun          *attempt // the first attempt that is not proven not to have run
	finished        bool
	avoid           map[*member]bool // lacks it, failed or kept silent
}

type attempt struct {
	req            *request
	number         int
	target, source *member
	lanes          []*lane
	sent, begun    time.Duration // decided, and its first byte written, as far as known
	takes          float64       // sending time expected of the target's link, seconds
	expected       float64       // and of the slowest link of the way, if it has to be filled
	slowest        *lane         // that link
	crowded        bool          // a link of the way was held to be
	miss           float64       // how likely a fill is
	pending        bool
	failed, gated  bool // it may have run, and brought no answer; it may make the origin work
	heldOnly, hit  bool // the source gives only what it holds; the target is believed to hold it
}

// New returns a router that knows nothing but its settings.
func New(set Settings, seed uint64) *Router {
	sizes, _ := simplelru.NewLRU[uint64, float64](beliefCount, nil)
	r := &Router{
		sizes: sizes, work: map[string]*mean{}, rng: rand.New(rand.NewPCG(seed, 0)), retries: retryBurst,
		open: map[int64]*request{}, purges: map[any]time.Duration{},
		gate: gate{size: gateMost}, link: lane{start: 1, cap: 1}, members: map[string]*member{},
	}
	r.observeSettings(set)
	return r
}

// Handle takes one event at the clock time now and returns what is to be done.
func (r *Router) Handle(now time.Duration, ev Event) []Action {
	r.now, r.born, r.out = now, cmp.Or(r.born, now), nil
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
	return r.out
}

// Recheck is asked when an attempt's first byte is about to be written. It returns its orders as they are by
// now, or false when it must not go: its member may be drained, its copy purged, the time for repeats over.
func (r *Router) Recheck(now time.Duration, id int64, number int) (Fetch, bool) {
	r.now = now
	q := r.open[id]
	if q == nil || q.finished || number >= len(q.attempts) || !q.attempts[number].pending {
		return Fetch{}, false
	}
	a := q.attempts[number]
	if a.target.State != Ready || a.source.State != Ready || q.mayRun != a && !r.mayRepeat(q, a.target) {
		return Fetch{}, false
	}
	a.begun = now
	return r.fetch(q, a), true
}

// ---- observe

// observeSettings keeps what was learned of a class by its name: its number may become another's.
func (r *Router) observeSettings(set Settings) {
	r.set = set
	for _, c := range set.Classes {
		r.work[c.Name] = cmp.Or(r.work[c.Name], &mean{})
	}
	r.sortMembers()
}

func (r *Router) observeList(list MemberList) {
	for _, m := range r.members {
		if list.Whole { // who is not named again is gone
			m.State = Gone
		}
	}
	for _, told := range list.Members {
		m := r.members[told.ID]
		if m == nil {
			m = &member{hash: xxhash.Sum64String(told.ID), lane: lane{start: 1, cap: 1}}
			r.members[told.ID] = m
		}
		if m.beliefs == nil || m.Started != told.Started || told.State == Gone { // empty: no belief holds
			m.beliefs, _ = simplelru.NewLRU[uint64, belief](beliefCount, nil)
			m.rho, m.doubts, m.until, m.charges, m.lane.drag = ratio{}, 0, 0, nil, 0
		}
		m.Member = told
	}
	r.sortMembers()
}

// size sets what a link is taken to carry. What was learned of it, as a share of that, holds on.
func (l *lane) size(start, routers float64) {
	l.start, l.cap, l.routers = start, l.cap*start/l.start, routers
}

// sortMembers lists by id who is not gone, and sizes their links: as told, else caches alike and each tier
// above to carry passedUp of the one below. One thought to grow with the routers is pushed over when cold.
func (r *Router) sortMembers() {
	r.caches, r.parents, r.origin = nil, nil, nil
	all, zone, instances := 0.0, 0.0, float64(max(1, r.set.Instances))
	zoneRouters := instances
	if r.set.Zone < len(r.set.ZoneRouters) {
		zoneRouters = float64(max(1, r.set.ZoneRouters[r.set.Zone]))
	}
	for _, id := range slices.Sorted(maps.Keys(r.members)) {
		m := r.members[id]
		switch size := r.told(m, unknownCap); {
		case m.State == Gone:
		case m.Kind == r.set.OriginKind && (r.origin == nil || m.State > r.origin.State):
			r.origin = m
		case m.Kind == r.set.ParentKind:
			r.parents = append(r.parents, m)
		case r.isCache(m):
			all += size
			if m.Zone == r.set.Zone {
				m.lane.size(size, zoneRouters)
				r.caches = append(r.caches, m)
				zone += size * passedUp
			}
		}
	}
	for _, m := range r.parents {
		m.lane.size(r.told(m, max(passedUp*all/float64(len(r.parents)), unknownCap)), instances)
	}
	if r.origin != nil {
		r.origin.lane.size(max(passedUp*passedUp*all, unknownCap), instances)
		r.gate.least = min(1, r.origin.lane.start/instances)
	}
	if r.set.Zone < len(r.set.LinkKBps) && r.set.LinkKBps[r.set.Zone] > 0 && r.set.FlowKBps > 0 {
		zone = r.set.LinkKBps[r.set.Zone] / r.set.FlowKBps
	}
	r.link.size(max(zone, 1), zoneRouters)
}

// told is the size of a member's link where the list tells it.
func (r *Router) told(m *member, other float64) float64 {
	if r.set.WeightsTold && m.Weight > 0 {
		return m.Weight
	}
	return other
}

// observePurge remembers the purge for as long as an older copy or a belief in one may be about.
func (r *Router) observePurge(p Purge) {
	moment, memory := r.now-p.Age, max(beliefAge, r.set.ClearedWithin+r.set.PurgeGrace)
	maps.DeleteFunc(r.purges, func(_ any, at time.Duration) bool { return r.now-at > memory })
	key := any(p.Object)
	if p.Object == "" {
		key = p.Group
	}
	r.purges[key] = max(moment, r.purges[key])
}

// purgedAt returns the moment of the last purge that a copy for q must be younger than.
func (r *Router) purgedAt(q *request) (time.Duration, bool) {
	object, purged := r.purges[q.Object]
	group, voided := r.purges[q.Group]
	return max(object, group), purged || voided
}

func (r *Router) observeRequest(told Request) {
	if told.Class < 0 || told.Class >= len(r.set.Classes) {
		r.out = append(r.out, Fail{ID: told.ID}) // a class it was not told of still gets its answer
		return
	}
	q := &request{Request: told, class: &r.set.Classes[told.Class], avoid: map[*member]bool{}}
	q.key = mix(xxhash.Sum64String(told.Object) + uint64(told.Part)*0x9e3779b97f4a7c15)
	size, sized := r.sizes.Get(q.key)
	q.sized = sized || told.SizeKB > 0
	q.work = cmp.Or(size, r.work[q.class.Name].value, q.class.Aim.Seconds()/4)
	if told.SizeKB > 0 && r.set.FlowKBps > 0 {
		q.work = told.SizeKB / r.set.FlowKBps
		r.work[q.class.Name].add(q.work, meanCount)
	}
	stretch := time.Duration(q.class.AimStretch * q.work * float64(time.Second))
	q.deadline = r.now + told.Left
	q.aim = min(r.now+q.class.Aim+stretch-clientWay, q.deadline)
	r.open[told.ID] = q
	r.meanWork.add(q.work, meanCount)
	r.meanWorth.add(q.class.Worth, meanCount)
	r.retries = min(r.retries+retryShare, retryBurst)
	r.decide(q)
}

func (r *Router) observeOutcome(o Outcome) {
	q := r.open[o.ID]
	if q == nil || o.Attempt < 0 || o.Attempt >= len(q.attempts) || !q.attempts[o.Attempt].pending {
		return
	}
	a := q.attempts[o.Attempt]
	a.pending = false
	q.pending--
	a.leaveLanes(r.now)
	if o.Result == ResultOK {
		a.target.answered = max(a.target.answered, a.sent)
		r.blame(q, a.target)
	}
	if a.failed = o.Result == ResultError || o.Result == ResultReset; a.failed {
		q.failed++
	}
	r.observeHealth(a, o)
	r.observeOrigin(a, o)
	r.observeCopy(a, o)
	r.observePace(a, o)
	r.observeSize(a, o)
	unrun := []Result{ResultFull, ResultConnectFailed, ResultMoot, ResultMiss}
	if q.mayRun == a && slices.Contains(unrun, o.Result) {
		q.mayRun = nil
	}
	if o.Finished || q.finished {
		r.finishID(q.ID)
	} else if o.Result != ResultOK {
		r.again(q, a, o)
	}
}

// hit says that the answer came from a copy that was there.
func (o Outcome) hit() bool { return o.Note == NoteHit || o.Note == NoteStale }

// observeHealth blames the one that failed: the target, the source behind it, or the origin behind a parent.
func (r *Router) observeHealth(a *attempt, o Outcome) {
	switch {
	case o.Note == NoteSourceFailed:
		a.target.well(r.now)
		a.source.suspect(r.now)
	case o.Note == NoteOriginFailed, o.Note == NoteSourceLacks,
		o.Note == NoteFilled, o.Note == NoteFilledByOrigin:
		a.target.well(r.now)
		a.source.well(r.now)
	case o.Note == NoteSourceRefused, o.Result == ResultOK, o.Result == ResultMiss, o.Result == ResultFull:
		a.target.well(r.now)
	case o.Result == ResultConnectFailed:
		a.target.suspect(r.now)
	}
}

// observeOrigin moves the gate: a failure shuts it by a share, a late answer by less, others open it.
func (r *Router) observeOrigin(a *attempt, o Outcome) {
	if a.gated {
		r.gate.under--
	}
	left, direct := 0.0, a.source == r.origin
	switch {
	case o.Note == NoteOriginFailed, direct && (o.Note == NoteSourceRefused || o.Note == NoteSourceFailed),
		direct && a.target == r.origin && o.Result == ResultFull:
		left = gateCut
	case o.Note == NoteFilledByOrigin && o.SourceWait > a.req.class.Aim:
		left = gateSlow
	case o.Note == NoteFilledByOrigin, direct && o.Result == ResultOK:
		r.gate.size = min(r.gate.size+min(1/math.Sqrt(r.gate.size), r.gate.size), gateMost)
	}
	if left > 0 && r.now-r.gate.cut > gatePause {
		r.gate.size = max(r.gate.least, min(r.gate.size, float64(r.gate.under+1))*left)
		r.gate.cut = r.now
	}
}

// blame holds a failure against its member once another has answered the same request: one that fails
// everything at once looks free. What fails wherever it goes is at fault itself, and one failure says little.
func (r *Router) blame(q *request, answered *member) {
	for i, b := range q.attempts {
		if !b.failed || b.target == answered || i > 0 && b.target == q.attempts[i-1].target {
			continue
		}
		if b.target.errors++; b.target.errors >= errorsDown {
			b.target.suspect(r.now)
		}
	}
}

// well takes a good answer: it ends a suspicion, and takes one doubt back of those it had.
func (m *member) well(now time.Duration) {
	m.doubts, m.until, m.heard, m.errors = max(0, m.doubts-1), 0, now, 0
}

func (m *member) suspect(now time.Duration) {
	if now < m.until {
		return
	}
	m.until = now + suspectFor<<m.doubts
	m.doubts = min(m.doubts+1, mostDoubts)
}

// observeCopy keeps the beliefs, the ratio of the sibling and the waits that beta is made of.
func (r *Router) observeCopy(a *attempt, o Outcome) {
	q, sibling := a.req, a.source != a.target && r.isCache(a.source)
	if o.Result == ResultOK && o.Note != NoteNone && r.isCache(a.target) && !q.class.PassOn {
		r.believe(a.target, q, !o.hit())
	}
	filled := o.Result == ResultOK && (o.Note == NoteFilled || o.Note == NoteFilledByOrigin)
	if sibling && (filled || o.Note == NoteSourceLacks) {
		a.source.rho.count(o.Note == NoteSourceLacks)
	}
	if o.Note == NoteSourceLacks {
		q.avoid[a.source] = true
		if sibling {
			a.source.beliefs.Remove(q.key)
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
	waited.wait.add(o.SourceWait.Seconds(), waitCount)
	tier.add(o.SourceWait.Seconds(), waitCount)
}

func (r *Router) believe(m *member, q *request, filled bool) {
	b, known := m.beliefs.Peek(q.key)
	if !known || filled {
		b.filled = r.now
	}
	b.told = r.now
	m.beliefs.Add(q.key, b)
}

// believes says whether m is believed to hold a copy that will still do for q.
func (r *Router) believes(m *member, q *request) bool {
	b, ok := m.beliefs.Peek(q.key)
	at, purged := r.purgedAt(q)
	return ok && (!purged || at < b.filled) && r.now-b.told < beliefAge &&
		(q.class.Fresh == 0 || r.now-b.filled < q.class.Fresh)
}

func (r *ratio) count(lacked bool) {
	r.asked++
	if lacked {
		r.lacked++
	}
	plain := float64(r.lacked) / float64(r.asked)
	switch {
	case r.epochs == 0:
		r.value = plain
	case r.asked == rhoEpoch:
		r.value += rhoSmooth * (plain - r.value)
	}
	if r.asked == rhoEpoch {
		r.asked, r.lacked, r.epochs = 0, 0, r.epochs+1
	}
}

// observePace lets the link that an answer was expected to wait for learn from what it took.
func (r *Router) observePace(a *attempt, o Outcome) {
	if o.Result != ResultOK || o.Note == NoteJoined {
		return
	}
	hit := o.hit()
	if !a.hit && o.Note != NoteNone && r.isCache(a.target) {
		r.miss.add(map[bool]float64{false: 1}[hit], waitCount)
	}
	l, expected := a.slowest, a.expected
	if hit {
		l, expected = &a.target.lane, a.takes
	}
	took, work := (o.Took - o.SourceWait).Seconds(), a.req.work
	if o.Sending > 0 {
		work = o.Sending.Seconds()
		expected *= work / a.req.work
	} else if !a.req.sized && expected < stretched*work && took < unusual*work {
		return
	}
	took = math.Max(took, work)
	if !a.crowded && (o.Sending > 0 || a.req.sized) {
		if !hit {
			l = &a.source.lane
		}
		if work >= dragWork {
			l.learnDrag(r.now, took/work)
		}
	} else if math.Max(took, expected) >= stretched*work {
		l.learn(math.Max(expected, work) / took)
	}
}

// observeSize learns how long a part takes to send; where its bytes are not told, an answer over free links
// shows it. The danger: a large object on a free link looks like a full link, and small requests are refused.
func (r *Router) observeSize(a *attempt, o Outcome) {
	q, work := a.req, o.Sending.Seconds()
	if work == 0 && o.hit() && a.takes < stretched*q.work {
		work = o.Took.Seconds()
	}
	if work > 0 && o.Result == ResultOK && q.SizeKB == 0 && !q.class.PassOn {
		r.work[q.class.Name].add(work, meanCount)
		r.sizes.Add(q.key, work)
	}
}

func (l *lane) learn(better float64) {
	learned := l.cap * math.Pow(min(max(better, 0.5), 2), capSmooth)
	l.cap = min(max(learned, l.start/capRange), l.start*capRange)
}

// fullness is how many sending times work more takes, shared with what is under way.
func (l *lane) fullness(now time.Duration, work, warm float64) float64 {
	sum := 1 + (l.routers-1)*l.use(now)
	for _, a := range l.under {
		sum += min(a.req.work/work, 1) * a.share(l)
	}
	return math.Max(1, sum/max(l.cap*warm, 1e-6))
}

// takes returns the seconds in which the lane carries work more.
func (l *lane) takes(now time.Duration, work, warm float64) float64 {
	takes := work * l.fullness(now, work, warm)
	if slow := l.slowness(now); slow >= dragLeast {
		takes *= 1 + slow
	}
	return takes
}

// slowness is the drag as it is held to be now.
func (l *lane) slowness(now time.Duration) float64 {
	return l.drag * math.Exp(-(now-l.dragged).Seconds()/dragFor.Seconds())
}

// learnDrag takes the pace of an answer that no full link explains. The danger: a slow parent with few
// transfers under way looks like a free one, and the link behind it like a full one.
func (l *lane) learnDrag(now time.Duration, times float64) {
	was := l.slowness(now)
	l.drag, l.dragged = was+dragSmooth*(min(max(times, 1), dragMost)-1-was), now
}

// share is the part of an attempt's work that a link is expected to carry: most that could fill are hits.
func (a *attempt) share(l *lane) float64 {
	if l == &a.target.lane {
		return 1
	}
	return a.miss
}

// use is the mean load that this router has put on a link.
func (l *lane) use(now time.Duration) float64 {
	load := 0.0
	for _, a := range l.under {
		load += a.share(l)
	}
	return l.mean + (load-l.mean)*-math.Expm1(-(now-l.moved).Seconds()/useOver.Seconds())
}

func (l *lane) enter(a *attempt, now time.Duration) {
	l.mean, l.moved = l.use(now), now
	l.under = append(l.under, a)
}

func (a *attempt) leaveLanes(now time.Duration) {
	for _, l := range a.lanes {
		l.mean, l.moved = l.use(now), now
		l.under = slices.DeleteFunc(l.under, func(b *attempt) bool { return a == b })
	}
}

// ---- eligible

// usable says whether a member may be sent to at all: told ready, and not cold beyond its budget.
func (r *Router) usable(m *member, q *request) bool {
	return m != nil && m.State == Ready && r.withinColdBudget(m, q)
}

// Avoided is how many listed members get nothing new at the clock time now.
func (r *Router) Avoided(now time.Duration) (n int) {
	for _, m := range r.members {
		if m.State == Draining || m.State == Ready && now < m.until {
			n++
		}
	}
	return n
}

// healthy is the one notion of health: a suspect is left alone, then tried with one attempt at a time.
func (r *Router) healthy(m *member) bool {
	return r.now >= m.until && (m.doubts == 0 || len(m.lane.under) == 0)
}

func (r *Router) coldFigures(m *member) (share float64, warm time.Duration, multiple float64) {
	if m.Kind == r.set.ParentKind {
		return r.set.ParentColdShare, r.set.ParentWarmWithin, r.set.ParentFallMultiple
	}
	return r.set.ColdShare, r.set.WarmWithin, r.set.FallMultiple
}

// warmth is the share of its capacity that a member can surely give.
func (r *Router) warmth(m *member) float64 {
	share, within, _ := r.coldFigures(m)
	age := r.now - m.Started
	if m.Started == 0 || age >= within || within == 0 || m.Kind == r.set.OriginKind {
		return 1
	}
	return share + (1-share)*max(0, age.Seconds())/within.Seconds()
}

// withinColdBudget keeps a cold member from being pushed over: this router's part of what it surely bears.
// What was sent before this router's own start is not known to it.
func (r *Router) withinColdBudget(m *member, q *request) bool {
	warm := r.warmth(m)
	if warm >= 1 {
		m.charges = nil
		return true
	}
	_, _, multiple := r.coldFigures(m)
	window, weight := max(r.set.FallWindow, time.Second), r.charge(q)
	m.charges = slices.DeleteFunc(m.charges, func(c *attempt) bool { return r.now-c.begun > window })
	sum := weight
	for _, c := range m.charges {
		sum += r.charge(c.req)
	}
	part := coldMargin * multiple * min(m.lane.cap, m.lane.start) / m.lane.routers
	return (m.Started >= r.born || r.now-r.born >= window) &&
		(sum <= part*warm*window.Seconds() || sum == weight && r.turn(m, window, weight/(part*turnShare)))
}

// turn says whether it is this router's turn to send a cold member one request, which takes so many seconds
// of its part. Where a window's part is less, none would ever send, or all at the same time: they take turns
// from the told start on, each from its own place, and a turn lasts for a window.
func (r *Router) turn(m *member, window time.Duration, takes float64) bool {
	share, within, _ := r.coldFigures(m)
	turns := func(at time.Duration) float64 {
		age := max(at-m.Started, 0).Seconds()
		warmed := age * (share + (1-share)*age/within.Seconds()/2)
		return math.Floor(math.Mod(float64(r.set.Index)*math.Phi, 1) + warmed/takes)
	}
	return turns(r.now) > turns(r.now-window)
}

// charge is what an attempt costs a cold member: the rules count some at their own size, some at the mean.
func (r *Router) charge(q *request) float64 { return math.Max(q.work, r.work[q.class.Name].value) }

func (r *Router) isCache(m *member) bool {
	return m.Kind != r.set.ParentKind && m.Kind != r.set.OriginKind
}

// ordered returns the members by weighted rendezvous hashing of the part that q asks for.
func (r *Router) ordered(list []*member, q *request) []*member {
	return slices.SortedStableFunc(slices.Values(list), func(a, b *member) int {
		return cmp.Compare(r.score(b, q), r.score(a, q))
	})
}

// score weighs a parent down for each hub on the way, where the ring of hubs is told.
func (r *Router) score(m *member, q *request) float64 {
	weight, hubs := r.told(m, 1), r.set.ZoneHubs
	if m.Kind == r.set.ParentKind && max(r.set.Zone, m.Zone) < len(hubs) && min(r.set.Zone, m.Zone) >= 0 {
		way, ring := math.Abs(float64(hubs[r.set.Zone]-hubs[m.Zone])), float64(slices.Max(hubs)+1)
		weight *= math.Pow(farWeight, max(0, min(way, ring-way)))
	}
	return -weight / math.Log((float64(mix(m.hash^q.key)>>11)+0.5)/(1<<53))
}

// mix is the finaliser of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ---- cache

// decide finds the cache and the source for the next attempt, or finishes the request.
func (r *Router) decide(q *request) {
	target := r.companion(q, r.ordered(r.caches, q))
	switch {
	case q.class.PassOn && !r.usable(r.origin, q):
		r.finishUnserved(q)
	case q.class.PassOn && r.set.Direct:
		r.attempt(q, r.origin, r.origin)
	case q.class.PassOn && target != nil:
		r.attempt(q, target, r.origin)
	case target != nil && (r.healthy(target) || !r.set.Direct):
		r.attempt(q, target, r.source(q, target))
	case r.set.Direct && r.parent(q) != nil && r.usable(r.origin, q): // no cache is up
		r.attempt(q, r.parent(q), r.origin)
	default:
		r.finishUnserved(q)
	}
}

// companion walks the hash order to the first member with room for q, else most room; a suspect comes last.
func (r *Router) companion(q *request, walk []*member) *member {
	var best, last *member
	least := math.Inf(1)
	for _, m := range walk {
		if !r.usable(m, q) || !r.mayRepeat(q, m) {
			continue
		}
		last = cmp.Or(last, m)
		if !r.healthy(m) || q.avoid[m] {
			continue
		}
		over := r.over(m, q)
		if over <= 0 {
			return m
		}
		if over < least {
			best, least = m, over
		}
	}
	return cmp.Or(best, last)
}

// over is by how much m would take longer for q than its share of the time to the aim, in seconds.
func (r *Router) over(m *member, q *request) float64 {
	takes := m.lane.takes(r.now, q.work, r.warmth(m))
	if !r.isCache(m) {
		takes += m.wait.value
	}
	return takes - max(roomShare*(q.aim-r.now).Seconds(), q.work)
}

// ---- source

// source is the design's choice: the believed holder with the lowest ratio if worth it, else a parent.
func (r *Router) source(q *request, target *member) *member {
	return cmp.Or(r.sibling(q, target), r.parent(q), target)
}

func (r *Router) sibling(q *request, target *member) *member {
	if r.set.Siblings == SiblingsNone {
		return nil
	}
	var best *member
	lowest, mean := math.Inf(1), r.meanRho()
	for _, m := range r.ordered(r.caches, q) {
		// Routers rank siblings alike: one whose link is full already is not asked too (herding).
		if m == target || q.avoid[m] || !r.believes(m, q) || !r.usable(m, q) || !r.healthy(m) ||
			r.over(m, q) > 0 {
			continue
		}
		rho := m.rho.value
		if m.rho.asked+m.rho.epochs == 0 {
			rho = mean
		}
		if rho < lowest {
			best, lowest = m, rho
		}
	}
	if beta := r.beta(); best != nil && 1+beta*lowest < beta {
		return best
	}
	return nil
}

func (r *Router) meanRho() float64 {
	sum, n := 0.0, 0.0
	for _, m := range r.caches {
		if m.rho.asked+m.rho.epochs > 0 {
			sum, n = sum+m.rho.value, n+1
		}
	}
	return sum / max(n, 1)
}

func (r *Router) beta() float64 {
	if r.parentWait.value == 0 || r.siblingWait.value == 0 {
		return startBeta
	}
	return r.parentWait.value / r.siblingWait.value
}

// parent is the hashed parent; the origin comes last in the walk, for when none is up or can fill in time.
func (r *Router) parent(q *request) *member {
	return r.companion(q, append(r.ordered(r.parents, q), r.origin))
}

// ---- attempt

// attempt sends q to target; every send, charge and time-out is made here.
func (r *Router) attempt(q *request, target, source *member) {
	a := &attempt{req: q, number: len(q.attempts), target: target, source: source, slowest: &target.lane}
	a.sent, a.begun = r.now, r.now
	wait := r.expect(a)
	if !r.isCache(source) && !a.hit && !q.class.PassOn { // may make the origin work
		a.gated = float64(r.gate.under) < r.gate.size && r.rng.Float64() < r.gate.size
		a.heldOnly = !a.gated
	}
	if a.heldOnly && source == r.origin && !q.class.PassOn || r.hopeless(q, a, wait) {
		r.finishUnserved(q)
		return
	}
	for _, l := range a.lanes {
		l.enter(a, r.now)
	}
	for _, m := range []*member{target, source} {
		if r.warmth(m) < 1 && (m == target || m.Kind == r.set.ParentKind) {
			m.charges = append(m.charges, a)
		}
	}
	if a.gated {
		r.gate.under++
	}
	if a.number > 0 {
		r.retries--
	}
	a.pending = true
	q.attempts = append(q.attempts, a)
	q.pending++
	q.mayRun = cmp.Or(q.mayRun, a)
	patience := time.Duration(overdueBy*(wait+a.expected)*float64(time.Second)) + overdue
	r.out = append(r.out, r.fetch(q, a), StartTimer{patience, uint64(q.ID)<<8 | uint64(a.number&255)})
}

// expect finds what an attempt will take on each link of its way, and returns the wait for the first byte.
func (r *Router) expect(a *attempt) (wait float64) {
	q := a.req
	use := func(l *lane, warm float64) (takes float64) {
		a.lanes = append(a.lanes, l)
		a.crowded = a.crowded || l.fullness(r.now, q.work, warm) >= stretched
		if takes = l.takes(r.now, q.work, warm); takes > a.expected {
			a.slowest, a.expected = l, takes
		}
		return takes
	}
	a.takes = use(&a.target.lane, r.warmth(a.target))
	if a.hit = r.isCache(a.target) && r.believes(a.target, q); q.class.PassOn || a.hit {
		return 0
	}
	a.miss = 1
	if r.isCache(a.target) && r.miss.count > 0 {
		a.miss = r.miss.value
	}
	if !r.isCache(a.target) || !r.isCache(a.source) {
		use(&r.link, 1)
	}
	if a.source != a.target {
		use(&a.source.lane, r.warmth(a.source))
		wait = a.source.wait.value
		if !r.isCache(a.source) {
			wait = r.parentWait.value
		}
	}
	return wait
}

// hopeless says that a full link makes q late whatever is done, and sending it would make others late too; a
// slow member with room does not. Long requests meet this first: their worth per sending time is the least.
func (r *Router) hopeless(q *request, a *attempt, wait float64) bool {
	cheap := q.class.Worth / q.work / (r.meanWorth.value / r.meanWork.value)
	share := min(1, math.Pow(cheap, min(1, (a.expected/q.work-1)/(fullPressure-1))))
	full := a.crowded && a.expected > stretched*q.work
	return r.mayRefuse(q) && full && wait+a.expected > share*(q.aim-r.now).Seconds()
}

func (r *Router) fetch(q *request, a *attempt) Fetch {
	f := Fetch{ID: q.ID, Target: a.target.ID, Source: a.source.ID}
	if q.class.PassOn {
		return f
	}
	f.Keep, f.Join, f.HeldOnly = 1, r.set.CanJoin, a.heldOnly
	if slices.ContainsFunc(r.caches, func(m *member) bool { return m.beliefs.Contains(q.key) }) {
		f.Keep = 2 // asked for before: kept longer than what came once
	}
	f.Renew = q.class.Fresh > 0 && !a.heldOnly
	if (a.number > 0 || a.heldOnly) && q.class.Fresh > 0 {
		f.MaxAge = q.class.Fresh + q.class.Grace
	}
	// A copy from before a purge may still be about: bound the age, and join no fill that may be older.
	if at, purged := r.purgedAt(q); purged && r.now-at <= r.set.ClearedWithin+r.set.PurgeGrace {
		since := max(r.now-at, time.Microsecond)
		f.MaxAge = min(cmp.Or(f.MaxAge, q.class.Fresh, since), since)
		f.Join = false
	}
	return f
}

// observeTimer looks at an attempt that is overdue: the silent member is suspected, and the request moves on
// where that is allowed. The danger: a member that does the work and loses answers is heard all the time.
// There an answer that others overtook is taken for lost, and asked for again where the copy is.
func (r *Router) observeTimer(t TimerFired) {
	q, number := r.open[int64(t.Token>>8)], int(t.Token&255)
	if q == nil || q.finished || number >= len(q.attempts) || !q.attempts[number].pending {
		return
	}
	a := q.attempts[number]
	lost := a.target.answered > a.sent
	if lost { // its transfer is over: it must not make the link look full
		a.leaveLanes(r.now)
		q.avoid[a.source] = a.source != a.target // or its source is silent
	}
	if !lost && a.target.heard <= a.sent {
		a.target.suspect(r.now)
	} else if a.source.heard <= a.sent && !a.hit {
		a.source.suspect(r.now)
	}
	silent := !r.healthy(a.target) || !r.healthy(a.source)
	inTime := r.now+time.Duration(q.work*float64(time.Second)) < q.aim
	switch {
	case !lost && !(silent && inTime) || q.class.Effect != Safe || r.retries < 1:
	case r.set.SecondCopies:
		r.decide(q)
	case r.set.MayCancel:
		r.out = append(r.out, Cancel{ID: q.ID, Attempt: number})
	}
}

// again decides what follows a failed attempt.
func (r *Router) again(q *request, a *attempt, o Outcome) {
	if q.pending > 0 {
		return
	}
	if o.Note != NoteSourceLacks {
		if o.Note == NoteSourceFailed || o.Note == NoteSourceRefused || o.Note == NoteOriginFailed {
			q.avoid[a.source] = true
		} else if (!a.failed && o.Result != ResultCancelled) || a.number > 0 || !r.healthy(a.target) {
			// One error, broken connection or lost answer is no death: the copy is still there.
			q.avoid[a.target] = true
		}
	}
	left := q.deadline - r.now - time.Duration(q.work*float64(time.Second))
	spent := left <= 0 || len(q.attempts) >= cmp.Or(r.set.MaxAttempts, 2) || r.retries < 1
	if spent || q.failed >= mostFailed || !r.mayRepeat(q, a.target) {
		r.finishUnserved(q)
	} else {
		r.decide(q)
	}
}

// mayRepeat says whether another attempt at m is harmless. A keyed request that may have run goes only to
// the stores that drop its repeats, and while they remember.
func (r *Router) mayRepeat(q *request, m *member) bool {
	first := q.mayRun
	switch {
	case first == nil || q.class.Effect == Safe:
		return true
	case q.class.Effect == Unsafe || r.now-first.sent >= q.class.Window:
		return false
	case q.class.Scope == ScopeZone:
		return m.Zone == first.target.Zone
	}
	return q.class.Scope == ScopeAll || m.Cell == first.target.Cell && m.Zone == first.target.Zone
}

// mayRefuse says whether telling the client to try again is harmless.
func (r *Router) mayRefuse(q *request) bool {
	return q.class.Effect == Safe || q.mayRun == nil || q.class.Effect == Keyed && q.class.Scope == ScopeAll
}

// ---- finish

// finishUnserved gives the final answer to a request that is given up.
func (r *Router) finishUnserved(q *request) {
	if q.pending > 0 { // another copy is out and may still be answered
		return
	}
	if r.mayRefuse(q) {
		wait := comeBack + time.Duration(r.rng.Int64N(int64(comeBack)))
		r.out = append(r.out, Refuse{ID: q.ID, ComeBack: min(wait, max(r.set.MaxComeBack, comeBack))})
	} else {
		r.out = append(r.out, Fail{ID: q.ID})
	}
	r.finishID(q.ID)
}

// finishID marks a request as finished; it is forgotten when its last attempt has ended.
func (r *Router) finishID(id int64) {
	q := r.open[id]
	if q == nil {
		return
	}
	q.finished = true
	for _, a := range q.attempts {
		if a.pending && r.set.MayCancel && !q.class.Stream {
			r.out = append(r.out, Cancel{ID: q.ID, Attempt: a.number})
		}
	}
	if q.pending == 0 {
		delete(r.open, id)
	}
}
