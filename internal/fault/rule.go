// Package fault plans faults on streams of bytes: a script says which, a seed decides what is left to chance, and the
// same bytes always meet the same faults, however they are cut into reads. It touches no socket and no clock.
package fault

import (
	"errors"
	"net/netip"
	"time"
)

// Direction is a side of a relayed connection.
type Direction int

// The directions: up goes from whoever connected to the target, down comes back. Both stands for either.
const (
	Up Direction = iota
	Down
	Both
)

func (d Direction) String() string { return [...]string{"up", "down", "both"}[d] }

// Kind is what a fault does.
type Kind int

// The verbs. Those up to Pieces last for a time; Silence holds everything back with the connection open; those from
// HalfClose to Reset end it; the next three change bytes; the last two are about connections that are yet to come.
const (
	Delay Kind = iota
	Rate
	Pieces
	Silence
	HalfClose
	Close
	Reset
	Garble
	Drop
	Repeat
	Refuse
	Stall
)

var kindsByWord = map[string]Kind{
	"delay": Delay, "rate": Rate, "pieces": Pieces, "silence": Silence, "halfclose": HalfClose, "close": Close,
	"reset": Reset, "garble": Garble, "drop": Drop, "repeat": Repeat, "refuse": Refuse, "stall": Stall,
}

func (v Kind) String() string {
	for name, verb := range kindsByWord {
		if verb == v {
			return name
		}
	}
	return "none"
}

// Link is an address to listen on and the one to relay to.
type Link struct {
	Name           string
	Listen, Target netip.AddrPort
}

// Trigger says when a rule fires: at a time since the start, after so many bytes, after the nth match of a pattern;
// with none of them as soon as its connection begins.
type Trigger struct {
	Time     time.Duration // -1: not by time
	Byte     int64         // -1: not by bytes
	Pattern  string        // empty: not by a pattern
	NthMatch int
}

// Rule is one line of a script.
type Rule struct {
	ScriptLine  int
	Link        string
	Direction   Direction
	ConnNumber  int     // which connection of the link, from 1; 0: every one
	EveryNth    int     // each so manieth; 0: not by this
	Probability float64 // by chance; 0: not by this
	Trigger     Trigger
	Kind        Kind
	Duration    time.Duration // how long it lasts; 0: for good
	Amount      int64         // bytes, or bytes a second
	Delay       time.Duration
	Jitter      time.Duration
}

// Script is a whole plan as it was written.
type Script struct {
	Seed  uint64
	Links []Link
	Rules []Rule
}

// ErrScript marks a script that can't be used.
var ErrScript = errors.New("script")
