package soak

// settingsFor are the settings of one proxy.
func settingsFor(index, fleet int, secondCopies bool) map[string]any {
	class := func(name, effect string, gain float64) map[string]any {
		return map[string]any{"name": name, "semantics": effect, "promise-us": 500000, "deadline-us": 2000000, "gain": gain, "aim-stretch": 2.0}
	}
	keyed := class(classKeyed, "idempotency_key", 1)
	keyed["key-scope"], keyed["window-us"] = "all", keyWindow.Microseconds()
	return map[string]any{
		"areas": []string{"hub", "edge"}, "host-types": []string{"std", "parent", "origin"}, "zone": 1,
		"group-size": fleet, "index": index, "weight-source": "nominal",
		"classes": []any{class(classRead, "read_like", 2), class(classWrite, "non_idempotent", 3), keyed},
		"domain": map[string]any{"direct": true, "root-kind": 2, "upper-kind": 1, "can-join": true, "pass-on": []bool{false, true, false},
			"cleared-within-us": 6000000, "purge-slack-us": 300000, "peers-fill": "location", "one-flow-kb-per-s": flowBytes / 1000,
			"count-by-zone": []int{0, fleet}, "attached-to": []int{0, 0}, "pipe-kb-per-s": []float64{0, 4000},
			"parent-floor": 0.5, "upper-cold-us": 1, "parent-limit-factor": 2},
		"limits": map[string]any{"connect-timeout-us": 400000, "conn-idle-us": 15000000, "streams-per-conn": 32,
			"max-attempts": 8, "may-cancel": true, "second-copies": secondCopies, "max-retry-after-us": 500000},
		"rules": map[string]any{"start-capacity": 0.1, "warm-within-us": 4000000, "fall-multiple": 2, "fall-us": 1000000},
	}
}
