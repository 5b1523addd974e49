package proxy

// This file defines the configuration: the part that is fixed at the start, the part that a reload replaces,
// and the limits that are derived from them.

import (
	"cmp"
	"time"

	"cloverdoor/internal/connpool"
	"cloverdoor/internal/dedup"
	"cloverdoor/internal/settings"
	"cloverdoor/internal/watch"
)

const (
	// maxOpenRequests is the maximum number of requests held at once, from admission to release; the settings may
	// set a lower limit.
	maxOpenRequests = 4096
	// maxSharedCalls is the maximum number of idempotent calls that share a connection if the settings put a price
	// on new connections (handshakes). With one more, less than an eighth of the remaining handshakes would be saved,
	// and a connection that breaks would lose more calls.
	maxSharedCalls = 8
	// reservedDescriptors is subtracted from the caches' half of the descriptors. Together with the tenth that
	// is assigned to neither clients nor caches, these descriptors serve admin connections (16), the coordinator's
	// streams, the listening sockets, the event loop and the configuration file.
	reservedDescriptors = 20

	// Defaults of settings that are optional.
	defaultServerIdleTimeout = 15 * time.Second
	defaultConnectTimeout    = time.Second
)

// Config is what a proxy needs at its start. Its settings and transfer rate can be replaced by a reload.
type Config struct {
	Settings               settings.Settings
	Seed                   uint64             // seed of the random decisions
	InitialState           watch.InitialState // endpoints and purges known at the start
	MaxDescriptors         int                // descriptors that the process may hold
	MaxMemoryBytes         int                // bytes that the process may use
	TransferBytesPerSecond float64            // rate of one transfer; 0: unknown

	ClaimedIDs *dedup.Table // the ids of writes, which may be shared with another process; nil: a table of its own

	DroppedLogLines func() int64         // number of log lines dropped so far; nil: unknown
	OnViolation     func(message string) // called when the invariant checker finds a violation; nil: it is only counted
}

// runtimeConfig is the part of the configuration that a reload replaces, with the values derived from it. It
// is replaced as a whole and never modified: requests that are open keep the class and the idempotency that
// they were admitted with.
type runtimeConfig struct {
	settings.Settings
	classIndexes           map[string]int // index in the settings' classes, by class name
	transferBytesPerSecond float64        // rate of one transfer; 0: unknown
}

// newRuntimeConfig returns the configuration for settings, which must be valid.
func newRuntimeConfig(proxySettings settings.Settings, transferBytesPerSecond float64) runtimeConfig {
	c := runtimeConfig{
		Settings:               proxySettings,
		classIndexes:           map[string]int{},
		transferBytesPerSecond: transferBytesPerSecond,
	}
	for i, class := range proxySettings.Policy.Classes {
		c.classIndexes[class.Name] = i
	}
	return c
}

// openRequestLimit returns the maximum number of requests held at once. A request is held from its admission to its
// release.
func (c *runtimeConfig) openRequestLimit() int {
	return min(maxOpenRequests, cmp.Or(c.MaxOpenRequests, maxOpenRequests))
}

// poolLimits returns the limits on connections to caches, parents and the origin, maxConns in total.
func (c *runtimeConfig) poolLimits(maxConns int) connpool.Limits {
	sharedCalls := 0
	if c.HandshakesPriced {
		sharedCalls = maxSharedCalls
	}
	serverIdleTimeout := cmp.Or(c.ServerIdleTimeout, defaultServerIdleTimeout)
	return connpool.Limits{
		MaxUsesPerConn: max(1, c.MaxStreamsPerConn),
		MaxSharedUses:  sharedCalls,
		MaxConns:       maxConns,
		DedicatedConns: maxConns / 2,
		ConnectTimeout: cmp.Or(c.ConnectTimeout, defaultConnectTimeout),
		// Well below the server's timeout: a call that crosses the server's close is lost.
		IdleTimeout: serverIdleTimeout * 2 / 3,
	}
}

// transferTime returns the time that the transfer of a body takes at the rate of one transfer; 0: unknown.
func (c *runtimeConfig) transferTime(bodyBytes int) time.Duration {
	if c.transferBytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bodyBytes) / c.transferBytesPerSecond * float64(time.Second))
}

// applyRetryAfterSetting removes the Retry-After advice from an answer if the settings disable it.
func (c *runtimeConfig) applyRetryAfterSetting(a Answer) Answer {
	if c.RetryAfterDisabled {
		a.RetryAfter = 0
	}
	return a
}

// MaxClientConns returns the maximum number of descriptors for client connections: two fifths of the process's.
func MaxClientConns(descriptors int) int { return descriptors * 2 / 5 }

// MaxUpstreamConns returns the maximum number of descriptors for connections to caches, parents and the origin: half
// of the process's less reservedDescriptors, but at least 1.
func MaxUpstreamConns(descriptors int) int { return max(1, descriptors/2-reservedDescriptors) }
