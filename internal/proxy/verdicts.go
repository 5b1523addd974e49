package proxy

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"cloverdoor/policy"
)

// action is what a guard was asked about.
type action string

// The actions that guards look at.
const (
	actionSend  action = "send"
	actionStart action = "start"
	actionClose action = "close"
)

// denial is one way in which a guard has turned an action down.
type denial struct {
	action action
	policy.Verdict
}

// denials counts what the guards have turned down since the start.
type denials map[denial]int64

// allows counts a verdict that denies, and says whether it allows.
func (d denials) allows(a action, verdict policy.Verdict) bool {
	if verdict.Allowed() {
		return true
	}
	d[denial{a, verdict}]++
	return false
}

// write adds the figures, in a fixed order.
func (d denials) write(b *strings.Builder) {
	order := func(x, y denial) int { return strings.Compare(x.label(), y.label()) }
	for _, key := range slices.SortedFunc(maps.Keys(d), order) {
		fmt.Fprintf(b, "svc_denied{%s} %d\n", key.label(), d[key])
	}
}

func (d denial) label() string {
	return fmt.Sprintf("action=%q,rule=%q,reason=%q", d.action, d.Rule, d.Reason)
}
