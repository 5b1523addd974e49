// Package settings decodes the operators' settings object, the same JSON for the simulator's adapter and for
// the real proxy, into what package policy and the sockets need to be told.
package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"cloverdoor/policy"
)

// Settings is the decoded object: the module's part, and what only real sockets need.
type Settings struct {
	Policy policy.Settings

	Zones []string // names, by the index that the module uses
	Kinds []string

	MaxDeadline        time.Duration // deadline of all classes; 0: not told
	ServerIdleTimeout  time.Duration // a cache closes a connection left idle for this long
	ConnectTimeout     time.Duration
	HandshakesPriced   bool // new connections are priced
	MaxOpenRequests    int  // requests that may be open at once; 0: not told
	MaxStreamsPerConn  int  // attempts that one connection carries together; 0: not told
	RetryAfterDisabled bool // refused clients are not told when to come again

	read conf
}

// conf mirrors the JSON object; unknown keys are ignored.
type conf struct {
	Areas   []string `json:"areas"`
	Classes []struct {
		AimStretch float64 `json:"aim-stretch"`
		Gain       float64 `json:"gain"`
		Deadline   *int64  `json:"deadline-us"`
		KeyScope   string  `json:"key-scope"`
		Name       string  `json:"name"`
		Promise    int64   `json:"promise-us"`
		Semantics  string  `json:"semantics"`
		Stream     bool    `json:"stream"`
		Window     int64   `json:"window-us"`
	} `json:"classes"`
	Costs struct {
		Handshake float64 `json:"handshake"`
	} `json:"costs"`
	Domain struct {
		AttachedTo        []int     `json:"attached-to"`
		CanJoin           bool      `json:"can-join"`
		Fresh             []int64   `json:"class-fresh-us"`
		ClearedWithin     int64     `json:"cleared-within-us"`
		CountByZone       []int     `json:"count-by-zone"`
		Direct            bool      `json:"direct"`
		Grace             []int64   `json:"grace-for-us"`
		FlowKBps          float64   `json:"one-flow-kb-per-s"`
		ParentFloor       float64   `json:"parent-floor"`
		ParentLimitFactor float64   `json:"parent-limit-factor"`
		PassOn            []bool    `json:"pass-on"`
		PeersFill         string    `json:"peers-fill"`
		PipeKBps          []float64 `json:"pipe-kb-per-s"`
		PurgeSlack        int64     `json:"purge-slack-us"`
		RootKind          int       `json:"root-kind"`
		UpperCold         int64     `json:"upper-cold-us"`
		UpperKind         *int      `json:"upper-kind"`
	} `json:"domain"`
	GroupSize int      `json:"group-size"`
	Index     int      `json:"index"`
	HostTypes []string `json:"host-types"`
	Limits    struct {
		ConnIdle       int64 `json:"conn-idle-us"`
		ConnectTimeout int64 `json:"connect-timeout-us"`
		MaxOpen        int   `json:"max-open"`
		StreamsPerConn int   `json:"streams-per-conn"`
		MaxAttempts    *int  `json:"max-attempts"`
		MaxRetryAfter  int64 `json:"max-retry-after-us"`
		RetryAfter     *bool `json:"retry-after"`
		MayCancel      bool  `json:"may-cancel"`
		SecondCopies   bool  `json:"second-copies"`
	} `json:"limits"`
	Rules struct {
		FallMultiple  float64 `json:"fall-multiple"`
		Fall          int64   `json:"fall-us"`
		StartCapacity float64 `json:"start-capacity"`
		WarmWithin    int64   `json:"warm-within-us"`
	} `json:"rules"`
	WeightSource string `json:"weight-source"`
	Zone         int    `json:"zone"`
}

func us(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func at[T any](list []T, i int) (value T) {
	if i >= 0 && i < len(list) {
		value = list[i]
	}
	return value
}

var effects = map[string]policy.Idempotency{
	"read_like": policy.Idempotent, "idempotency_key": policy.IdempotencyKey, "non_idempotent": policy.NonIdempotent,
}

var scopes = map[string]policy.DeduplicationScope{"all": policy.ScopeAll, "zone": policy.ScopeZone, "cell": policy.ScopeCell}

var siblings = map[string]policy.Siblings{"location": policy.SiblingsZone, "any": policy.SiblingsAny}

// Decode reads the settings object. Absent keys keep their zero value, which the module takes as 'not told'.
func Decode(raw json.RawMessage) (Settings, error) {
	var c conf
	if len(raw) > 0 {
		if err := json.Unmarshal(raw, &c); err != nil {
			return Settings{}, fmt.Errorf("settings: %w", err)
		}
	}
	d := c.Domain
	s := policy.Settings{
		Zone: c.Zone, ParentKind: -1, OriginKind: d.RootKind, Routers: c.GroupSize, RouterIndex: c.Index,
		ZoneHubs: d.AttachedTo, WeightsConfigured: c.WeightSource == "nominal" || c.WeightSource == "rough",
		TransferKBPerSecond: d.FlowKBps, DirectRequests: d.Direct, CoalesceFills: d.CanJoin,
		Siblings:  siblings[d.PeersFill],
		MayCancel: c.Limits.MayCancel, Hedging: c.Limits.SecondCopies,
		MaxRetryAfter:     us(c.Limits.MaxRetryAfter),
		SlowStartCapacity: c.Rules.StartCapacity,
		SlowStartDuration: us(c.Rules.WarmWithin), OverloadMultiple: c.Rules.FallMultiple, OverloadWindow: us(c.Rules.Fall),
		ParentSlowStartCapacity: d.ParentFloor, ParentSlowStartDuration: us(d.UpperCold),
		ParentOverloadMultiple: d.ParentLimitFactor,
		PurgeGrace:             us(d.PurgeSlack), PurgeCompletedWithin: us(d.ClearedWithin),
	}
	if d.FlowKBps > 0 {
		s.ZoneLinkTransfers = at(d.PipeKBps, c.Zone) / d.FlowKBps
	}
	if c.Zone >= 0 && c.Zone < len(d.CountByZone) {
		s.RoutersInZone = max(1, d.CountByZone[c.Zone])
	}
	if c.Limits.MaxAttempts != nil {
		s.MaxAttempts = *c.Limits.MaxAttempts
	}
	if d.UpperKind != nil {
		s.ParentKind = *d.UpperKind
	}
	var longest time.Duration
	for i, k := range c.Classes {
		if k.Deadline != nil {
			longest = max(longest, us(*k.Deadline))
		}
		s.Classes = append(s.Classes, policy.Class{
			Name: k.Name, Idempotency: effects[k.Semantics], DeduplicationScope: scopes[k.KeyScope], DeduplicationWindow: us(k.Window),
			LatencyObjective: us(k.Promise), LatencyObjectiveStretch: k.AimStretch,
			PriorityWeight: k.Gain,
			FreshFor:       us(at(d.Fresh, i)), StaleFor: us(at(d.Grace, i)),
			Uncacheable: at(d.PassOn, i), Stream: k.Stream,
		})
	}
	return Settings{
		Policy: s, Zones: c.Areas, Kinds: c.HostTypes,
		MaxDeadline: longest, ServerIdleTimeout: us(c.Limits.ConnIdle), ConnectTimeout: us(c.Limits.ConnectTimeout),
		HandshakesPriced: c.Costs.Handshake > 0,
		MaxOpenRequests:  c.Limits.MaxOpen, MaxStreamsPerConn: c.Limits.StreamsPerConn,
		RetryAfterDisabled: c.Limits.RetryAfter != nil && !*c.Limits.RetryAfter,
		read:               c,
	}, nil
}
