// Package fault plans faults on streams of bytes. A script says which faults, a seed decides what is left to
// chance, and the same bytes always meet the same faults, however they are cut into reads. The package uses
// no socket and no clock: callers pass bytes and times in and carry out the output that comes back.
//
// This file holds a script as data: links, rules and what rules may say.
package fault

import (
	"errors"
	"net/netip"
	"time"
)

// Direction is a direction of a relayed connection.
type Direction int

// The directions. Up is from the client to the target, Down the way back; Both in a rule stands for each of
// them.
const (
	Up Direction = iota
	Down
	Both
)

// String is the direction as logs name it.
func (d Direction) String() string {
	switch d {
	case Up:
		return "up"
	case Down:
		return "down"
	default:
		return "both"
	}
}

// Kind is what a fault does.
type Kind int

// The kinds of faults.
const (
	Delay     Kind = iota // holds bytes back by a fixed time and a drawn one
	Rate                  // limits the throughput
	Pieces                // splits output into small writes
	Silence               // holds all bytes back while the connection stays open
	HalfClose             // closes the sending direction
	Close                 // closes the connection
	Reset                 // closes the connection with RST
	Garble                // changes bytes
	Drop                  // leaves bytes out
	Repeat                // sends bytes twice
	Refuse                // refuses new connections
	Stall                 // lets new connections time out
)

var kindsByWord = map[string]Kind{
	"delay": Delay, "rate": Rate, "pieces": Pieces, "silence": Silence, "halfclose": HalfClose, "close": Close,
	"reset": Reset, "garble": Garble, "drop": Drop, "repeat": Repeat, "refuse": Refuse, "stall": Stall,
}

// String is the script's word for the kind.
func (k Kind) String() string {
	for word, kind := range kindsByWord {
		if kind == k {
			return word
		}
	}
	return "none"
}

// BlocksNewConns reports whether the kind acts on connections that are yet to be accepted.
func (k Kind) BlocksNewConns() bool { return k == Refuse || k == Stall }

// hasForOption reports whether a rule of the kind may limit its duration by the word 'for'.
func (k Kind) hasForOption() bool { return k == Delay || k == Rate || k == Pieces }

// ending is how a fault of the kind ends its stream.
func (k Kind) ending() Ending {
	switch k {
	case HalfClose:
		return EndHalfClosed
	case Close:
		return EndClosed
	case Reset:
		return EndReset
	default:
		return NotEnded
	}
}

// Link is an address to listen on and the one to relay to.
type Link struct {
	Name           string
	Listen, Target netip.AddrPort
}

// Trigger says when a rule fires: at a time, after a number of bytes, or after the nth match of a pattern. A
// trigger with none of the three fires when its connection begins.
type Trigger struct {
	Time     time.Duration // since the start; -1: not by time
	Byte     int64         // bytes of the stream; -1: not by bytes
	Pattern  string        // empty: not by a pattern
	NthMatch int           // which match of the pattern, from 1
}

// Rule is one line of a script.
type Rule struct {
	ScriptLine  int // from 1
	Link        string
	Direction   Direction
	ConnNumber  int     // which connection of the link, from 1; 0: all
	EveryNth    int     // only connections whose number is a multiple of it; 0: all
	Probability float64 // that a connection meets the fault; 0: not by chance
	Trigger     Trigger
	Kind        Kind
	Duration    time.Duration // 0: until the connection ends
	Amount      int64         // bytes; of Rate: bytes a second
	Delay       time.Duration
	Jitter      time.Duration // upper limit of what is drawn on top of Delay
}

// Script is a plan as it was written.
type Script struct {
	Seed  uint64
	Links []Link
	Rules []Rule
}

// ErrScript marks a script that can't be used.
var ErrScript = errors.New("script")
