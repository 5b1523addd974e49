// Package settings decodes the operators' settings object, the same JSON for the simulator's adapter and for
// the proxy, into the settings of package policy and those of the proxy's sockets. The names of its keys are
// those of the operators; this package alone maps them to the terms that the rest of the program uses.
package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"cloverdoor/policy"
)

// noParents is the value of policy.Settings.ParentKind if there are no parents.
const noParents = -1

// Settings is the decoded settings object.
type Settings struct {
	Policy policy.Settings

	Zones []string // names, by the index that package policy uses
	Kinds []string // names of the kinds of servers, by the index that package policy uses

	MaxDeadline       time.Duration // the longest deadline of a class; 0: unknown
	ServerIdleTimeout time.Duration // servers close a connection that is idle for this long; 0: unknown
	ConnectTimeout    time.Duration // 0: unknown

	// HandshakesPriced says that the settings put a price on each new connection (its handshake). Idempotent calls
	// then share connections even while there are so few that each call would otherwise get one of its own.
	HandshakesPriced bool

	MaxOpenRequests    int  // requests that may be open at once; 0: no limit besides the proxy's own
	MaxStreamsPerConn  int  // attempts that one connection may carry at once; 0: unknown
	RetryAfterDisabled bool // rejected clients get no Retry-After

	document document
}

// Decode decodes the settings object. Absent keys have the zero value, which package policy takes as unknown.
// Empty text counts as {}. Decode fails only for text that is not JSON with the expected types; Check checks
// the values.
func Decode(raw json.RawMessage) (Settings, error) {
	var doc document
	if len(raw) > 0 {
		if err := json.Unmarshal(raw, &doc); err != nil {
			return Settings{}, fmt.Errorf("settings: %w", err)
		}
	}
	return Settings{
		Policy:             doc.policySettings(),
		Zones:              doc.Zones,
		Kinds:              doc.Kinds,
		MaxDeadline:        doc.maxDeadline(),
		ServerIdleTimeout:  doc.Limits.ServerIdleTimeout.duration(),
		ConnectTimeout:     doc.Limits.ConnectTimeout.duration(),
		HandshakesPriced:   doc.Costs.Handshake > 0,
		MaxOpenRequests:    doc.Limits.MaxOpenRequests,
		MaxStreamsPerConn:  doc.Limits.MaxStreamsPerConn,
		RetryAfterDisabled: doc.Limits.RetryAfter != nil && !*doc.Limits.RetryAfter,
		document:           doc,
	}, nil
}

// policySettings returns the settings of package policy that the document holds.
func (d *document) policySettings() policy.Settings {
	return policy.Settings{
		Zone:                    d.Zone,
		Classes:                 d.classes(),
		ParentKind:              valueOr(d.Domain.ParentKind, noParents),
		OriginKind:              d.Domain.OriginKind,
		Routers:                 d.Routers,
		RouterIndex:             d.RouterIndex,
		RoutersInZone:           d.routersInZone(),
		ZoneHubs:                d.Domain.ZoneHubs,
		WeightsConfigured:       weightIsCapacity(d.WeightSource),
		TransferKBPerSecond:     d.Domain.TransferKBPerSecond,
		ZoneLinkTransfers:       d.zoneLinkTransfers(),
		DirectRequests:          d.Domain.DirectRequests,
		CoalesceFills:           d.Domain.CoalesceFills,
		Siblings:                siblingsOf[d.Domain.Siblings],
		MaxAttempts:             valueOr(d.Limits.MaxAttempts, 0),
		CancelAttempts:          d.Limits.CancelAttempts,
		Hedging:                 d.Limits.Hedging,
		MaxRetryAfter:           d.Limits.MaxRetryAfter.duration(),
		SlowStartCapacity:       d.Rules.SlowStartCapacity,
		SlowStartDuration:       d.Rules.SlowStartDuration.duration(),
		OverloadMultiple:        d.Rules.OverloadMultiple,
		OverloadWindow:          d.Rules.OverloadWindow.duration(),
		ParentSlowStartCapacity: d.Domain.ParentSlowStartCapacity,
		ParentSlowStartDuration: d.Domain.ParentSlowStartDuration.duration(),
		ParentOverloadMultiple:  d.Domain.ParentOverloadMultiple,
		PurgeGrace:              d.Domain.PurgeGrace.duration(),
		PurgeCompletedWithin:    d.Domain.PurgeCompletedWithin.duration(),
	}
}

// classes returns the classes of requests, each with its elements of the lists by class.
func (d *document) classes() []policy.Class {
	var classes []policy.Class
	for i, class := range d.Classes {
		classes = append(classes, policy.Class{
			Name:                        class.Name,
			Idempotency:                 idempotencyOf[class.Idempotency],
			DeduplicationScope:          scopeOf[class.DeduplicationScope],
			DeduplicationWindow:         class.DeduplicationWindow.duration(),
			LatencyObjective:            class.LatencyObjective.duration(),
			LatencyObjectivePerTransfer: class.LatencyObjectivePerTransfer,
			PriorityWeight:              class.PriorityWeight,
			FreshFor:                    elementOrZero(d.Domain.FreshFor, i).duration(),
			StaleFor:                    elementOrZero(d.Domain.StaleFor, i).duration(),
			Uncacheable:                 elementOrZero(d.Domain.Uncacheable, i),
			Stream:                      class.Stream,
		})
	}
	return classes
}

// maxDeadline returns the longest deadline of a class, 0 if no class has one.
func (d *document) maxDeadline() time.Duration {
	var longestDeadline time.Duration
	for _, class := range d.Classes {
		longestDeadline = max(longestDeadline, valueOr(class.Deadline, 0).duration())
	}
	return longestDeadline
}

// routersInZone returns the number of proxies in this proxy's zone, at least 1 for this proxy itself; 0: unknown.
func (d *document) routersInZone() int {
	if d.Zone < 0 || d.Zone >= len(d.Domain.RoutersByZone) {
		return 0
	}
	return max(1, d.Domain.RoutersByZone[d.Zone])
}

// zoneLinkTransfers returns the number of transfers, each to one client, that the link into this proxy's zone
// carries at once; 0: unknown.
func (d *document) zoneLinkTransfers() float64 {
	if d.Domain.TransferKBPerSecond <= 0 {
		return 0
	}
	return elementOrZero(d.Domain.LinkKBPerSecond, d.Zone) / d.Domain.TransferKBPerSecond
}

// elementOrZero returns list[i], or the zero value if there is no such element.
func elementOrZero[T any](list []T, i int) T {
	if i < 0 || i >= len(list) {
		var zero T
		return zero
	}
	return list[i]
}

// valueOr returns *p, or fallback if p is nil.
func valueOr[T any](p *T, fallback T) T {
	if p == nil {
		return fallback
	}
	return *p
}
