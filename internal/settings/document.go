package settings

import (
	"time"

	"cloverdoor/policy"
)

// microseconds is a duration as it is given in the JSON object.
type microseconds int64

func (m microseconds) duration() time.Duration { return time.Duration(m) * time.Microsecond }

// document is the JSON object. Unknown keys are ignored. A key that is absent has the zero value, which means
// unknown unless the field's comment says otherwise. The elements of a list by class or by zone are in the
// order of Classes or Zones.
type document struct {
	Zones        []string `json:"areas"`         // names
	Kinds        []string `json:"host-types"`    // names of the kinds of servers
	Zone         int      `json:"zone"`          // index of this proxy's zone
	Routers      int      `json:"group-size"`    // number of proxies
	RouterIndex  int      `json:"index"`         // number of this proxy among them, from 0
	WeightSource string   `json:"weight-source"` // what the servers' weights mean, see weightIsCapacity

	Classes []classDocument `json:"classes"`
	Costs   costsDocument   `json:"costs"`
	Domain  domainDocument  `json:"domain"`
	Limits  limitsDocument  `json:"limits"`
	Rules   rulesDocument   `json:"rules"`
}

// classDocument describes one class of requests.
type classDocument struct {
	Name                        string        `json:"name"`
	Idempotency                 string        `json:"semantics"` // see idempotencyOf
	DeduplicationScope          string        `json:"key-scope"` // see scopeOf
	DeduplicationWindow         microseconds  `json:"window-us"` // time for which a repeat with the same key is dropped
	Deadline                    *microseconds `json:"deadline-us"`
	LatencyObjective            microseconds  `json:"promise-us"`
	LatencyObjectivePerTransfer float64       `json:"aim-stretch"` // multiple of the transfer time, added to promise-us
	PriorityWeight              float64       `json:"gain"`
	Stream                      bool          `json:"stream"` // its answers are streamed
}

// costsDocument holds the prices of operations.
type costsDocument struct {
	Handshake float64 `json:"handshake"` // price of a new connection
}

// domainDocument describes the caches, the links between zones and the rules for fills and purges.
type domainDocument struct {
	OriginKind int  `json:"root-kind"`  // index in Kinds
	ParentKind *int `json:"upper-kind"` // index in Kinds; -1 or absent: there are no parents

	FreshFor    []microseconds `json:"class-fresh-us"` // by class; 0: until purged
	StaleFor    []microseconds `json:"grace-for-us"`   // by class: time after FreshFor for which a copy may be served
	Uncacheable []bool         `json:"pass-on"`        // by class

	DirectRequests bool   `json:"direct"`        // parents and the origin accept requests too
	CoalesceFills  bool   `json:"can-join"`      // a request may wait for a fill in progress
	Siblings       string `json:"peers-fill"`    // which caches may be the source of a fill, see siblingsOf
	ZoneHubs       []int  `json:"attached-to"`   // by zone: index of the hub zone that it is attached to
	RoutersByZone  []int  `json:"count-by-zone"` // by zone: number of proxies

	TransferKBPerSecond float64   `json:"one-flow-kb-per-s"` // maximum rate of one transfer to a client
	LinkKBPerSecond     []float64 `json:"pipe-kb-per-s"`     // by zone: capacity of the link into it; 0: unknown

	ParentSlowStartCapacity float64      `json:"parent-floor"`        // fraction of a parent's capacity at its start
	ParentSlowStartDuration microseconds `json:"upper-cold-us"`       // until a parent has its full capacity
	ParentOverloadMultiple  float64      `json:"parent-limit-factor"` // as rules.fall-multiple, but for a parent

	PurgeGrace           microseconds `json:"purge-slack-us"`    // time after which a known purge must be observed
	PurgeCompletedWithin microseconds `json:"cleared-within-us"` // time after a purge until no cache has an older copy
}

// limitsDocument holds the limits on connections, requests and attempts.
type limitsDocument struct {
	ServerIdleTimeout microseconds `json:"conn-idle-us"` // servers close connections that are idle for this long
	ConnectTimeout    microseconds `json:"connect-timeout-us"`
	MaxOpenRequests   int          `json:"max-open"`         // of one proxy; 0: no limit besides the proxy's own
	MaxStreamsPerConn int          `json:"streams-per-conn"` // attempts on one connection at once; 0: unknown
	MaxAttempts       *int         `json:"max-attempts"`     // attempts of one request after which it is not retried
	RetryAfter        *bool        `json:"retry-after"`      // rejected clients get a Retry-After; absent: true
	MaxRetryAfter     microseconds `json:"max-retry-after-us"`
	CancelAttempts    bool         `json:"may-cancel"`    // attempts may be cancelled
	Hedging           bool         `json:"second-copies"` // an overdue attempt may be repeated while it is in flight
}

// rulesDocument describes the slow start of caches and when they fail from overload.
type rulesDocument struct {
	OverloadMultiple  float64      `json:"fall-multiple"`  // multiple of a cache's present capacity that overloads it
	OverloadWindow    microseconds `json:"fall-us"`        // time for which a cache is overloaded before it fails
	SlowStartCapacity float64      `json:"start-capacity"` // fraction of a cache's capacity at its start
	SlowStartDuration microseconds `json:"warm-within-us"` // until a cache has its full capacity
}

// idempotencyOf maps classes[].semantics. Any other value means policy.NonIdempotent.
var idempotencyOf = map[string]policy.Idempotency{
	"read_like":       policy.Idempotent,
	"idempotency_key": policy.IdempotencyKey,
	"non_idempotent":  policy.NonIdempotent,
}

// scopeOf maps classes[].key-scope. Any other value means policy.ScopeCell.
var scopeOf = map[string]policy.DeduplicationScope{
	"all":  policy.ScopeAll,
	"zone": policy.ScopeZone,
	"cell": policy.ScopeCell,
}

// siblingsOf maps domain.peers-fill. Any other value means policy.SiblingsNone.
var siblingsOf = map[string]policy.Siblings{
	"location": policy.SiblingsZone,
	"any":      policy.SiblingsAny,
}

// weightIsCapacity reports whether a server's weight is its capacity, counted in transfers that each go to
// one client at full rate.
func weightIsCapacity(weightSource string) bool {
	return weightSource == "nominal" || weightSource == "rough"
}
