package soak

import "time"

// The values that proxies are configured with and that the rules check.
const (
	proxyMemoryMB       = 64
	proxyDescriptors    = 256
	flowBytesPerSecond  = 200_000 // rate of one transfer; an object takes about 50 ms
	cacheWeight         = 3.0     // concurrent transfers that a cache's link carries
	deduplicationWindow = 400 * time.Millisecond
	slowStartCapacity   = 0.1 // fraction of a server's capacity at its start
	slowStartDuration   = 4 * time.Second
	overloadMultiple    = 2 // multiple of a server's capacity above which it is overloaded
	overloadWindow      = time.Second
	maxDeadline         = 3 * time.Second
)

// classDeadlines are the deadlines of the classes in the settings of the proxies, in turn by number. The kill comes early
// after SIGTERM where they are short.
var classDeadlines = []time.Duration{6 * time.Second, 800 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second}

// classDeadline returns the deadline of all classes in the settings of the proxy with a number.
func classDeadline(number int) time.Duration { return classDeadlines[number%len(classDeadlines)] }

// The grace periods after a proxy was notified, as the rules set them.
const (
	drainGrace = 500 * time.Millisecond
	purgeGrace = 300 * time.Millisecond
)

const kbPerMB = 1 << 10

// fleetLimits returns the limits, which are the same for all proxies.
func fleetLimits() Limits {
	return Limits{
		MemoryKB: proxyMemoryMB * kbPerMB, Descriptors: proxyDescriptors,
		DrainGrace: drainGrace, PurgeGrace: purgeGrace,
		OverloadMultiple: overloadMultiple, OverloadWindow: overloadWindow,
		SlowStartCapacity: slowStartCapacity, SlowStartDuration: slowStartDuration,
		LinkTransfers: cacheWeight, TransferTime: bodySize * time.Second / flowBytesPerSecond,
		MaxDeadline: maxDeadline, DeduplicationWindow: deduplicationWindow,
	}
}

// settingsFor returns the settings for the configuration of one proxy, with hedging on or off. number is that of the
// proxy, and fleetSize the number of proxies.
func settingsFor(number, fleetSize int, hedging bool) map[string]any {
	return map[string]any{
		"areas": []string{"hub", "edge"}, "host-types": []string{"std", "parent", "origin"}, "zone": 1,
		"group-size": fleetSize, "index": number, "weight-source": "nominal",
		"classes": classSettings(classDeadline(number)),
		"domain": map[string]any{
			"direct": true, "root-kind": 2, "upper-kind": 1, "can-join": true, "pass-on": []bool{false, true, false},
			"cleared-within-us": 6000000, "purge-slack-us": 300000, "peers-fill": "location", "one-flow-kb-per-s": flowBytesPerSecond / 1000,
			"count-by-zone": []int{0, fleetSize}, "attached-to": []int{0, 0}, "pipe-kb-per-s": []float64{0, 4000},
			"parent-floor": 0.5, "upper-cold-us": 1, "parent-limit-factor": 2,
		},
		"limits": map[string]any{
			"connect-timeout-us": 400000, "conn-idle-us": 15000000, "streams-per-conn": 32,
			"max-attempts": 8, "may-cancel": true, "second-copies": hedging, "max-retry-after-us": 500000,
		},
		"rules": map[string]any{
			"start-capacity": slowStartCapacity, "warm-within-us": slowStartDuration.Microseconds(),
			"fall-multiple": overloadMultiple, "fall-us": overloadWindow.Microseconds(),
		},
	}
}

// classSettings returns the settings of the classes of requests, which have the same deadline.
func classSettings(deadline time.Duration) []any {
	class := func(name, semantics string, gain float64) map[string]any {
		return map[string]any{
			"name": name, "semantics": semantics, "promise-us": 500000, "deadline-us": deadline.Microseconds(), "gain": gain, "aim-stretch": 2.0,
		}
	}
	keyedClass := class(classKeyed, "idempotency_key", 1)
	keyedClass["key-scope"] = "all"
	keyedClass["window-us"] = deduplicationWindow.Microseconds()
	return []any{class(classRead, "read_like", 2), class(classWrite, "non_idempotent", 3), keyedClass}
}
