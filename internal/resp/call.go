package resp

import (
	"strconv"
	"time"
)

// Call is one request to a cache, a parent or the origin.
type Call struct {
	ID             string
	Class          string
	Object         string
	Part           string
	Timeout        time.Duration // how long the answer is waited for
	Source         string        // empty: no fill
	RetentionRank  int
	MaxAge         time.Duration // 0: the fresh time of the class
	KnownVersion   string        // tag of the client's copy; empty: none
	IdempotencyKey string        // idempotency key; empty: none

	CoalesceFill, CachedOnly, Transit, StaleWhileRevalidate bool

	Body []byte
}

// AppendCall encodes a call.
func AppendCall(dst []byte, c *Call) []byte {
	dst = append(dst, "*4\r\n"...)
	dst = appendBulk(dst, "REQ")
	dst = appendBulk(dst, c.ID)
	dst = appendBulk(dst, callFields(c))
	return appendBulk(dst, c.Body)
}

// AppendStop encodes the giving up of a call.
func AppendStop(dst []byte, id string) []byte {
	return appendBulk(appendBulk(append(dst, "*2\r\n"...), "STOP"), id)
}

func callFields(c *Call) []byte {
	f := append([]byte("c="), c.Class...)
	add := func(name, value string) { f = append(append(append(append(f, ','), name...), '='), value...) }
	millis := func(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
	add("k", c.Object)
	add("p", c.Part)
	add("w", millis(c.Timeout))
	if c.Source != "" {
		add("src", c.Source)
	}
	if c.RetentionRank != 0 {
		add("keep", strconv.Itoa(c.RetentionRank))
	}
	if c.MaxAge > 0 {
		// Rounded down, as an older copy may be from before a purge; but 0 would mean any fresh copy.
		add("maxage", millis(max(c.MaxAge, time.Millisecond)))
	}
	if flags := callFlags(c); flags != "" {
		add("flags", flags)
	}
	if c.KnownVersion != "" {
		add("have", c.KnownVersion)
	}
	if c.IdempotencyKey != "" {
		add("i", c.IdempotencyKey)
	}
	return f
}

func callFlags(c *Call) (flags string) {
	for _, flag := range []struct {
		on   bool
		name string
	}{{c.CoalesceFill, "coalesce"}, {c.CachedOnly, "shallow"}, {c.Transit, "transit"}, {c.StaleWhileRevalidate, "freshen"}} {
		if flag.on && flags != "" {
			flags += "+"
		}
		if flag.on {
			flags += flag.name
		}
	}
	return flags
}
