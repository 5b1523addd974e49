package settings

// Keys describes the keys of a JSON object that the operators' pages name. Keys that are not in it are unknown
// and have to be ignored, whether they are present or not.
type Keys map[string]Key

// Key describes one key. The zero value is a key that a later configuration must have if the one in use has it.
type Key struct {
	Optional bool // the key may come and go
	Fields   Keys // keys of the value, if it is an object, or of each element, if it is a list; nil: not checked
}

// DocumentKeys returns the keys of the settings object, those that this program doesn't read among them.
func DocumentKeys() Keys {
	return merge(
		namedKeys("areas", "host-types", "zone", "group-size", "index", "layer", "tiers", "weight-source", "workload",
			"worth-by", "over-share-worth", "registry-mode", "tick-us"),
		Keys{
			"callers":       {Fields: namedKeys("marks-retry")},
			"classes":       {Fields: classKeys()},
			"costs":         {Fields: costsKeys()},
			"domain":        {Fields: domainKeys()},
			"limits":        {Fields: limitsKeys()},
			"objective-mix": {Fields: namedKeys("whole", "worst-class", "worst-tenant", "worst-window")},
			"report":        {Fields: namedKeys("fields", "how")},
			"rules":         {Fields: rulesKeys()},
			"tenants":       {Fields: namedKeys("name", "allowance-per-s", "portion")},
		})
}

// classKeys returns the keys of a class of requests. Only classes whose latency objective depends on the transfer
// have aim-stretch.
func classKeys() Keys {
	return merge(
		namedKeys("name", "semantics", "key-scope", "window-us", "deadline-us", "promise-us", "late-worth", "gain", "stream"),
		Keys{"aim-stretch": {Optional: true}})
}

// costsKeys returns the keys of the prices of operations.
func costsKeys() Keys {
	return merge(
		namedKeys("connection", "cross-zone", "handshake", "late-fail", "moves", "origin", "peer", "probe", "registry-mode",
			"waste"),
		Keys{"fleet": {Optional: true}})
}

// domainKeys returns the keys of the description of the caches, the links between zones, fills and purges.
func domainKeys() Keys {
	return namedKeys("attached-to", "can-join", "class-fresh-us", "class-stale-worth", "cleared-within-us", "count-by-zone",
		"direct", "grace-for-us", "in-pieces", "link-price", "one-flow-kb-per-s", "origin-bears-us", "origin-stops-at",
		"parent-floor", "parent-limit-factor", "pass-on", "peers-fill", "pipe-kb-per-s", "purge-slack-us", "report-x0",
		"report-x1", "root-kind", "says", "upper-cold-us", "upper-kind")
}

// limitsKeys returns the keys of the limits on connections, requests and attempts.
func limitsKeys() Keys {
	return namedKeys("conn-idle-us", "connect-timeout-us", "cpu-us-per-request", "cpu-us-per-s", "max-attempts", "max-open",
		"max-retry-after-us", "may-cancel", "may-probe", "peer-messages", "retry-after", "second-copies", "streams-per-conn")
}

// rulesKeys returns the keys of the rules on slow starts, drains and deadlines.
func rulesKeys() Keys {
	return namedKeys("answer-slack-us", "ask-every-us", "drain-grace-us", "fall-multiple", "fall-us", "start-capacity",
		"warm-within-us")
}

// namedKeys returns keys that are not optional and whose values are not checked further.
func namedKeys(names ...string) Keys {
	keys := Keys{}
	for _, name := range names {
		keys[name] = Key{}
	}
	return keys
}

// merge adds the keys of other to keys and returns keys.
func merge(keys, other Keys) Keys {
	for name, key := range other {
		keys[name] = key
	}
	return keys
}
