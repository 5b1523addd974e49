// Package resp is the codec of the upstream side: commands to and answers from caches, parents and the
// origin, as RESP arrays of bulk strings. It touches no socket.
package resp

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"
)

// Limits of one answer. An object holds 240,000 bytes at most.
const (
	maxID      = 64
	maxWord    = 32
	maxFields  = 4 << 10
	maxBody    = 256 << 10
	maxDigits  = 7 // of a length
	answerSize = 4 // elements of an answer
)

// ErrMalformed says that a peer's bytes are no answer; its connection cannot be used any further.
var ErrMalformed = errors.New("resp: malformed answer")

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

// Status is how an answer ended.
type Status int

// The words of an answer.
const (
	StatusServed Status = iota + 1
	StatusNotModified
	StatusNotFound
	StatusOverloaded
	StatusCrashed
	StatusNotRun
)

var words = map[string]Status{
	"served": StatusServed, "still_good": StatusNotModified, "not_here": StatusNotFound,
	"overload": StatusOverloaded, "crashed": StatusCrashed, "nobody": StatusNotRun,
}

// CacheStatus tells how an answer was had or why a fill failed, numbered as the simulator numbers them; 0: none.
type CacheStatus int

var notes = map[string]CacheStatus{
	"TCP_HIT": 1, "TCP_MISS": 2, "TCP_MISS_ROOT": 3, "TCP_JOIN": 4, "TCP_STALE": 5,
	"PEER_DENY": 6, "PEER_DEAD": 7, "PEER_MISS": 8, "FILL_FULL": 9, "ROOT_FAIL": 10,
}

// Answer is one decoded answer. Its Body is a copy of its own.
type Answer struct {
	ID              string
	Status          Status
	CacheStatus     CacheStatus
	SourceFirstByte time.Duration
	Version         string
	CreatedAtMillis int64 // Unix millisecond at which the origin gave the copy out; 0: not told
	Body            []byte
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

func appendBulk[T string | []byte](dst []byte, s T) []byte {
	dst = strconv.AppendInt(append(dst, '$'), int64(len(s)), 10)
	dst = append(dst, "\r\n"...)
	return append(append(dst, s...), "\r\n"...)
}

// Decode takes one answer off data. It returns how many bytes it used, 0 when the answer is not whole yet.
func Decode(data []byte) (used int, a Answer, err error) {
	n, count, err := number(data, '*')
	if n == 0 || err != nil {
		return 0, a, err
	}
	if count != answerSize {
		return 0, a, fmt.Errorf("%w: array of %d", ErrMalformed, count)
	}
	used = n
	var parts [answerSize][]byte
	for i, limit := range [answerSize]int{maxID, maxWord, maxFields, maxBody} {
		size, part, err := bulk(data[used:], limit)
		if size == 0 || err != nil {
			return 0, a, err
		}
		parts[i], used = part, used+size
	}
	a, err = answer(parts)
	return used, a, err
}

func answer(parts [answerSize][]byte) (Answer, error) {
	a := Answer{ID: string(parts[0]), Status: words[string(parts[1])]}
	if a.Status == 0 {
		return a, fmt.Errorf("%w: word %q", ErrMalformed, parts[1])
	}
	if err := a.fields(parts[2]); err != nil {
		return a, err
	}
	a.Body = bytes.Clone(parts[3])
	return a, nil
}

// fields reads the fields that are used; others, the load report among them, are passed over.
func (a *Answer) fields(list []byte) (err error) {
	if string(list) == "-" {
		return nil
	}
	for field := range bytes.SplitSeq(list, []byte{','}) {
		name, value, ok := bytes.Cut(field, []byte{'='})
		if !ok {
			return fmt.Errorf("%w: field %q", ErrMalformed, field)
		}
		switch string(name) {
		case "note":
			a.CacheStatus = notes[string(value)]
		case "ttfb":
			var ms float64
			if ms, err = strconv.ParseFloat(string(value), 64); err == nil && ms >= 0 && ms < 1e9 {
				a.SourceFirstByte = time.Duration(ms * float64(time.Millisecond))
			}
		case "etag":
			a.Version = string(value)
		case "made":
			a.CreatedAtMillis, err = strconv.ParseInt(string(value), 10, 64)
		}
		if err != nil {
			return fmt.Errorf("%w: field %q", ErrMalformed, field)
		}
	}
	return nil
}

// number reads a prefix byte and a decimal number with its line end; n is 0 when it is not whole.
func number(data []byte, prefix byte) (n, value int, err error) {
	if len(data) == 0 {
		return 0, 0, nil
	}
	if data[0] != prefix {
		return 0, 0, fmt.Errorf("%w: %q in place of %q", ErrMalformed, data[0], prefix)
	}
	for i, c := range data[1:] {
		switch {
		case c == '\r' && i > 0:
			if len(data) < i+3 {
				return 0, 0, nil
			}
			if data[i+2] != '\n' {
				return 0, 0, fmt.Errorf("%w: bare CR", ErrMalformed)
			}
			return i + 3, value, nil
		case c < '0' || c > '9' || i >= maxDigits:
			return 0, 0, fmt.Errorf("%w: bad length", ErrMalformed)
		}
		value = value*10 + int(c-'0')
	}
	return 0, 0, nil
}

func bulk(data []byte, limit int) (size int, part []byte, err error) {
	n, length, err := number(data, '$')
	if n == 0 || err != nil {
		return 0, nil, err
	}
	if length > limit {
		return 0, nil, fmt.Errorf("%w: bulk string of %d bytes", ErrMalformed, length)
	}
	if len(data) < n+length+2 {
		return 0, nil, nil
	}
	if data[n+length] != '\r' || data[n+length+1] != '\n' {
		return 0, nil, fmt.Errorf("%w: bulk string without its end", ErrMalformed)
	}
	return n + length + 2, data[n : n+length], nil
}
