// Package fault plans faults on streams of bytes. A script lists the faults, and its seed alone determines all random
// choices, so that the same bytes always get the same faults, however they are split into reads. The package uses no
// sockets and no clock: callers pass in bytes and times, write the outputs that it returns and apply their endings.
//
// A Script holds Links and Rules. A ConnPlan applies the rules of a link to one of its connections, with a
// StreamPlan for each direction.
package fault

import (
	"errors"
	"net/netip"
	"time"
)

// Direction is a direction of a relayed connection.
type Direction int

// The directions. Up is from the client to the target, Down from the target to the client. A rule for Both applies
// to each of them separately.
const (
	Up Direction = iota
	Down
	Both
)

// String returns the word for the direction in logs.
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

// Kind identifies the effect of a fault.
type Kind int

// The kinds of faults.
const (
	Delay     Kind = iota // delays bytes by a fixed time plus a random one
	Rate                  // limits the throughput
	Pieces                // splits output into small writes
	Silence               // holds back all bytes while the connection stays open
	HalfClose             // closes one direction
	Close                 // closes the connection
	Reset                 // closes the connection with RST
	Garble                // changes bytes
	Drop                  // discards bytes
	Repeat                // sends bytes twice
	Refuse                // refuses new connections
	Stall                 // makes new connections time out
)

var kindsByWord = map[string]Kind{
	"delay": Delay, "rate": Rate, "pieces": Pieces, "silence": Silence, "halfclose": HalfClose, "close": Close,
	"reset": Reset, "garble": Garble, "drop": Drop, "repeat": Repeat, "refuse": Refuse, "stall": Stall,
}

// String returns the word for the kind in scripts and logs.
func (k Kind) String() string {
	for word, kind := range kindsByWord {
		if kind == k {
			return word
		}
	}
	return "none"
}

// BlocksNewConns reports whether the kind acts on new connections before they are accepted.
func (k Kind) BlocksNewConns() bool { return k == Refuse || k == Stall }

// hasForOption reports whether a rule of the kind may limit its duration with the option 'for'. Silence, Refuse and
// Stall take a duration without that word.
func (k Kind) hasForOption() bool { return k == Delay || k == Rate || k == Pieces }

// ending returns how a fault of the kind ends its stream.
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

// Link is an address to listen on and the target address that its connections are relayed to.
type Link struct {
	Name           string
	Listen, Target netip.AddrPort
}

// Trigger says when a rule fires: at a time (a timed rule), after a number of bytes, or after the nth match of a
// pattern. A rule whose trigger has none of the three fires when its connection begins or, if the rule blocks new
// connections, earlier: when the run starts or, for connection N, when connection N-1 has been accepted.
type Trigger struct {
	Time     time.Duration // since the start of the run; -1: not a timed rule
	Byte     int64         // bytes of the stream before the rule fires; -1: not after a number of bytes
	Pattern  string        // empty: not after a match
	NthMatch int           // number of the match of the pattern after which the rule fires, from 1
}

// Rule is a line of a script that describes a fault: its connections, its trigger and its effect.
type Rule struct {
	ScriptLine  int // from 1
	Link        string
	Direction   Direction
	ConnNumber  int     // number of the only connection of the link, from 1; 0: all
	EveryNth    int     // only connections whose number is a multiple of EveryNth; 0: all
	Probability float64 // probability that the rule applies to a connection; 0: not selected by chance
	Trigger     Trigger
	Kind        Kind
	Duration    time.Duration // 0: until the connection ends
	Amount      int64         // Garble, Drop, Repeat: bytes to change; Rate: bytes per second; Pieces: maximum bytes per piece
	Delay       time.Duration
	Jitter      time.Duration // upper limit of the random time added to Delay
}

// Script is a parsed script. Its rules are in the order of their lines.
type Script struct {
	Seed  uint64
	Links []Link
	Rules []Rule
}

// ErrScript is wrapped by every error of Parse: the script can't be used.
var ErrScript = errors.New("script")
