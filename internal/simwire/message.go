package simwire

import (
	"encoding/json"
	"time"
)

// microseconds is a duration or a time on the wire.
type microseconds int64

func (m microseconds) duration() time.Duration { return time.Duration(m) * time.Microsecond }

// batch is a line of input: events that happen at the same time.
type batch struct {
	Now    *microseconds     `json:"moment-us"` // time of all events; required
	Events []json.RawMessage `json:"happened"`
}

// reply is a line of output: the answer to a batch.
type reply struct {
	Actions []action `json:"cmds"`
}

// Names of events. Others are ignored.
const (
	eventEndpointList       = "Page"       // defines a numbered list of endpoints, which any instance may use
	eventStart              = "Born"       // starts an instance
	eventStop               = "PowerOff"   // stops an instance
	eventEndpointUpdate     = "Membership" // gives an instance a numbered list
	eventRequest            = "Ingress"
	eventOutcome            = "Reply"
	eventStreamStarted      = "FirstByte"
	eventPurge              = "Voided"
	eventClientDisconnected = "ClientLeft"
	eventTimerFired         = "Due"
)

// event is an event of any kind. Fields that are not of its kind are zero.
type event struct {
	Name     string `json:"op"`
	Instance string `json:"proxy-id"`

	// Fields of eventStart.
	Seed     uint64          `json:"prng"`
	Settings json.RawMessage `json:"conf"`

	// Fields of eventEndpointList and eventEndpointUpdate.
	ListNumber int        `json:"ref"`
	Endpoints  []endpoint `json:"hosts"`
	UpdateMode updateMode `json:"mode"`

	// Fields of eventRequest. Object and Group are also used by eventPurge, and Request is also used by
	// eventOutcome, eventStreamStarted and eventClientDisconnected.
	Request   int64        `json:"job"`
	Object    string       `json:"asset"`
	Class     int          `json:"kind"`
	Remaining microseconds `json:"expires-in-us"` // until the client's deadline
	SizeKB    float64      `json:"size-kb"`       // 0: unknown
	Part      float64      `json:"part"`
	Group     float64      `json:"set-no"`

	// Field of eventTimerFired.
	Token uint64 `json:"mark"`

	// Fields of eventOutcome. Attempt is also used by eventStreamStarted.
	Attempt         int          `json:"try"`
	Result          int          `json:"verdict"` // see resultOf
	Elapsed         microseconds `json:"duration-us"`
	RequestFinished bool         `json:"finished"`
	CacheStatus     int          `json:"note"` // see cacheStatusOf
	SourceFirstByte microseconds `json:"source-wait-us"`

	// Field of eventPurge.
	Age microseconds `json:"age-us"` // time since the purge
}

// updateMode says what the list of an eventEndpointUpdate holds. A number other than
// these means that the update failed.
type updateMode int

const (
	updateChanges    updateMode = 0 // changed entries only
	updateFull       updateMode = 1 // the complete list
	updateFullCached updateMode = 2 // the complete list, which may be out of date
)

// endpoint is an entry of a numbered list.
type endpoint struct {
	Started microseconds `json:"online-since-us"` // 0: long ago
	State   int          `json:"status"`          // see stateOf
	Kind    int          `json:"class-of-host"`
	Zone    int          `json:"rack-zone"`
	Weight  float64      `json:"share"`
	ID      string       `json:"store"`
	Cell    int          `json:"stripe"`
}

// Names of actions.
const (
	actionFetch      = "FetchThrough"
	actionReject     = "PushBack"
	actionFail       = "EndFailed"
	actionCancel     = "DropAttempt"
	actionStartTimer = "Sleep"
	actionFault      = "Fault" // reports a panic; ends the simulation
)

// action is an action of any kind. Its fields are sent in the order in which they are declared.
type action struct {
	Name          string        `json:"op"`
	Instance      string        `json:"proxy-id"`
	Request       *int64        `json:"job,omitempty"`
	Target        string        `json:"store,omitempty"`
	Source        string        `json:"from-where,omitempty"`
	RetentionRank *int          `json:"hold-rank,omitempty"`
	FetchFlags    int           `json:"manner,omitempty"` // sum of flags such as flagCoalesceFill
	MaxAge        microseconds  `json:"age-us,omitempty"`
	RetryAfter    microseconds  `json:"cool-down-us,omitempty"`
	Attempt       *int          `json:"try,omitempty"`
	In            *microseconds `json:"in-us,omitempty"` // time from now until the timer fires
	Token         *uint64       `json:"mark,omitempty"`
	Message       string        `json:"message,omitempty"`
}
