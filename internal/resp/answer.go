package resp

import (
	"bytes"
	"fmt"
	"strconv"
	"time"
)

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
