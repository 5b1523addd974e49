package proxy

// This file writes the metrics that operators fetch.

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// gauge is one metric without labels.
type gauge struct {
	name  string // without the prefix svc_
	value int
}

// stats returns all metrics as text, one per line.
func (p *Proxy) stats() string {
	var b strings.Builder
	p.counters.writeOutcomeMetrics(&b)
	for _, g := range p.gauges() {
		fmt.Fprintf(&b, "svc_%s %d\n", g.name, g.value)
	}
	p.counters.writeNotServedMetrics(&b)
	p.counters.writeDenialMetrics(&b)
	p.counters.writeCloseMetrics(&b)
	p.writeHeldMetrics(&b)
	p.invariants.writeMetrics(&b)
	return b.String()
}

func (p *Proxy) gauges() []gauge {
	return []gauge{
		{"open_requests", p.openRequests},
		{"registry_entries", p.endpoints.count()},
		{"out_of_rotation", p.router.OutOfRotation(p.loop.Now())},
		{"cfg_accepted", p.counters.configsAccepted},
		{"cfg_invalid", p.counters.configsRejected},
		{"log_lines_dropped", p.droppedLogLines()},
		{"registry_unreadable", p.counters.unreadableParts},
		{"registry_silent_ms", p.coordinator.silentMillis()},
	}
}

// writeHeldMetrics writes how many client connections a drain or a shutdown waits for, by reason, in a fixed order.
func (p *Proxy) writeHeldMetrics(b *strings.Builder) {
	for _, f := range p.fastcgiServers {
		held := f.countHeldConns()
		for _, reason := range slices.Sorted(maps.Keys(held)) {
			fmt.Fprintf(b, "svc_conns_held{reason=%q} %d\n", reason, held[reason])
		}
	}
}

// droppedLogLines returns how many log lines were dropped because the reader of the log was slow; 0: none, or
// unknown.
func (p *Proxy) droppedLogLines() int {
	if p.countDroppedLines == nil {
		return 0
	}
	return int(p.countDroppedLines())
}
