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
