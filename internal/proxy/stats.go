package proxy

import (
	"fmt"
	"strings"
)

// outcome is how a request ended, or that an attempt was written, as the figures name it.
type outcome int

// The outcomes that are counted for each class.
const (
	fulfilled outcome = iota
	throttled
	faulted
	relayed // attempts, not requests
	outcomes
)

func (o outcome) String() string {
	return [...]string{"fulfilled", "throttled", "faulted", "relayed"}[o]
}

// tallies counts outcomes since the start, by class, in the order in which the classes came up. A class that is
// gone keeps its counts: they never fall while the process runs.
type tallies struct {
	names  []string
	counts map[string]*[outcomes]int64
}

// add makes a class known.
func (t *tallies) add(class string) *[outcomes]int64 {
	if t.counts == nil {
		t.counts = map[string]*[outcomes]int64{}
	}
	c := t.counts[class]
	if c == nil {
		c = new([outcomes]int64)
		t.counts[class], t.names = c, append(t.names, class)
	}
	return c
}

func (t *tallies) count(class string, o outcome) { t.add(class)[o]++ }

// counted says what a final answer counts as.
func (s Status) counted() outcome {
	switch s {
	case Served, NotModified:
		return fulfilled
	case Rejected, Overloaded:
		return throttled
	}
	return faulted
}

// droppedLines is how many lines of the log found no room.
func (p *Proxy) droppedLines() int {
	if p.logDropped == nil {
		return 0
	}
	return int(p.logDropped())
}

// stats are the figures as operators fetch them.
func (p *Proxy) stats() string {
	var b strings.Builder
	for _, class := range p.tallies.names {
		for o, n := range p.tallies.counts[class] {
			fmt.Fprintf(&b, "svc_operations{priority=%q,status=%q} %d\n", class, outcome(o), n)
		}
	}
	for _, figure := range []struct {
		name  string
		value int
	}{
		{"open_requests", p.open},
		{"registry_entries", len(p.servers)},
		{"out_of_rotation", p.router.OutOfRotation(p.loop.Now())},
		{"cfg_accepted", p.accepted},
		{"cfg_invalid", p.invalid},
		{"log_lines_dropped", p.droppedLines()},
		{"registry_unreadable", p.unreadable},
		{"registry_silent_ms", p.follower.silentFor()},
	} {
		fmt.Fprintf(&b, "svc_%s %d\n", figure.name, figure.value)
	}
	p.denied.write(&b)
	p.audit.write(&b)
	return b.String()
}
