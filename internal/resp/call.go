package resp

import (
	"strconv"
	"strings"
	"time"
)

// Commands.
const (
	commandCall   = "REQ"
	commandCancel = "STOP"
)

// Fields of a call.
const (
	fieldClass          = "c"
	fieldObject         = "k"
	fieldPart           = "p"
	fieldTimeout        = "w"
	fieldSource         = "src"
	fieldRetentionRank  = "keep"
	fieldMaxAge         = "maxage"
	fieldFlags          = "flags" // joined by "+"
	fieldKnownVersion   = "have"
	fieldIdempotencyKey = "i"
)

// Flags of a call.
const (
	flagCoalesceFill         = "coalesce"
	flagSourceCachedOnly     = "shallow"
	flagStaleWhileRevalidate = "freshen"
)

// Call is a request to a cache, a parent or the origin.
type Call struct {
	ID             string // of the request; the answer carries it too
	Class          string // name of the request's class
	Object         string
	Part           string        // number of the object's part, in decimal digits
	Timeout        time.Duration // how long the caller waits for the answer; sent in milliseconds, rounded down
	Source         string        // ID of the server to fill from on a cache miss; empty: none
	RetentionRank  int           // of the cached copy, 1 to 3: copies of rank 1 are evicted first; 0: not cached
	MaxAge         time.Duration // maximum age of a cached copy that may be served; 0: the class's freshness limit
	KnownVersion   string        // tag of the copy that the client has; empty: none
	IdempotencyKey string        // empty: none

	CoalesceFill         bool // wait for a fill of the object that is in progress
	SourceCachedOnly     bool // the source of a fill must answer from its cache or not at all
	StaleWhileRevalidate bool // a stale copy is served and refreshed in the background

	Body []byte
}

// AppendCall appends an encoded call to dst.
func AppendCall(dst []byte, c *Call) []byte {
	dst = appendArray(dst, 4)
	dst = appendBulk(dst, commandCall)
	dst = appendBulk(dst, c.ID)
	dst = appendBulk(dst, callFields(c))
	return appendBulk(dst, c.Body)
}

// AppendStop appends the cancellation of a call to dst.
func AppendStop(dst []byte, id string) []byte {
	dst = appendArray(dst, 2)
	dst = appendBulk(dst, commandCancel)
	return appendBulk(dst, id)
}

// callFields encodes the fields of a call. Optional fields are omitted if they have their zero value.
func callFields(c *Call) []byte {
	fields := appendField(nil, fieldClass, c.Class)
	fields = appendField(fields, fieldObject, c.Object)
	fields = appendField(fields, fieldPart, c.Part)
	fields = appendField(fields, fieldTimeout, formatMillis(c.Timeout))
	if c.Source != "" {
		fields = appendField(fields, fieldSource, c.Source)
	}
	if c.RetentionRank != 0 {
		fields = appendField(fields, fieldRetentionRank, strconv.Itoa(c.RetentionRank))
	}
	if c.MaxAge > 0 {
		// MaxAge is rounded down, as a copy older than it may be from before a purge, but not to 0, which would
		// allow any copy that is fresh by its class.
		fields = appendField(fields, fieldMaxAge, formatMillis(max(c.MaxAge, time.Millisecond)))
	}
	flags := callFlags(c)
	if flags != "" {
		fields = appendField(fields, fieldFlags, flags)
	}
	if c.KnownVersion != "" {
		fields = appendField(fields, fieldKnownVersion, c.KnownVersion)
	}
	if c.IdempotencyKey != "" {
		fields = appendField(fields, fieldIdempotencyKey, c.IdempotencyKey)
	}
	return fields
}

// callFlags joins the names of the flags that are set.
func callFlags(c *Call) string {
	var flags []string
	if c.CoalesceFill {
		flags = append(flags, flagCoalesceFill)
	}
	if c.SourceCachedOnly {
		flags = append(flags, flagSourceCachedOnly)
	}
	if c.StaleWhileRevalidate {
		flags = append(flags, flagStaleWhileRevalidate)
	}
	return strings.Join(flags, "+")
}

// formatMillis formats d in milliseconds, rounded down.
func formatMillis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// appendField appends a field, after a comma if it is not the first.
func appendField(dst []byte, name, value string) []byte {
	if len(dst) > 0 {
		dst = append(dst, ',')
	}
	dst = append(dst, name...)
	dst = append(dst, '=')
	return append(dst, value...)
}
