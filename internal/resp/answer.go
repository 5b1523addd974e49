package resp

import (
	"bytes"
	"fmt"
	"strconv"
	"time"
)

// Limits of the elements of an answer, in bytes. An object has at most 240,000 bytes.
const (
	maxIDBytes     = 64
	maxStatusBytes = 32
	maxFieldsBytes = 4 << 10
	maxBodyBytes   = 256 << 10
)

// Indexes of the elements in an answer's array.
const (
	elementID = iota
	elementStatus
	elementFields
	elementBody
	answerElements // the number of elements
)

// elementLimits has the limit of each element of an answer, in bytes.
var elementLimits = [answerElements]int{
	elementID:     maxIDBytes,
	elementStatus: maxStatusBytes,
	elementFields: maxFieldsBytes,
	elementBody:   maxBodyBytes,
}

// Status says how a call ended.
type Status int

// Statuses of an answer; 0 is not a status.
const (
	StatusServed      Status = iota + 1 // the body is the object
	StatusNotModified                   // the client's copy is current
	StatusNotFound                      // the object is not cached; the call was not executed
	StatusOverloaded                    // the server rejected the call, which was not executed
	StatusCrashed                       // the server failed during the call, which may have been executed
	StatusNotRun                        // the request had already ended; the call was not executed
)

// statusByWireName maps the values on the wire to statuses.
var statusByWireName = map[string]Status{
	"served":     StatusServed,
	"still_good": StatusNotModified,
	"not_here":   StatusNotFound,
	"overload":   StatusOverloaded,
	"crashed":    StatusCrashed,
	"nobody":     StatusNotRun,
}

// CacheStatus says how a cache got an answer or why a fill failed.
type CacheStatus int

// Cache statuses of an answer; 0 means that it is not reported, or that its value on the wire is unknown.
const (
	CacheStatusHit            CacheStatus = iota + 1 // the server had a copy
	CacheStatusFilled                                // filled from the source's copy
	CacheStatusFilledByOrigin                        // filled, and the source had to ask the origin
	CacheStatusCoalesced                             // waited for a fill that was in progress
	CacheStatusStale                                 // the server had a stale copy
	CacheStatusSourceRejected                        // the source rejected the fill
	CacheStatusSourceFailed                          // the source did not answer, or answered with an error
	CacheStatusSourceMiss                            // the source does not have the object
	CacheStatusNoFillCapacity                        // the server had no capacity for a fill
	CacheStatusOriginFailed                          // the source asked the origin, which failed
)

// cacheStatusByWireName maps the values of the field "note" to cache statuses.
var cacheStatusByWireName = map[string]CacheStatus{
	"TCP_HIT":       CacheStatusHit,
	"TCP_MISS":      CacheStatusFilled,
	"TCP_MISS_ROOT": CacheStatusFilledByOrigin,
	"TCP_JOIN":      CacheStatusCoalesced,
	"TCP_STALE":     CacheStatusStale,
	"PEER_DENY":     CacheStatusSourceRejected,
	"PEER_DEAD":     CacheStatusSourceFailed,
	"PEER_MISS":     CacheStatusSourceMiss,
	"FILL_FULL":     CacheStatusNoFillCapacity,
	"ROOT_FAIL":     CacheStatusOriginFailed,
}

// Fields of an answer. Others, such as the load report, are ignored.
const (
	fieldCacheStatus     = "note"
	fieldSourceFirstByte = "ttfb" // milliseconds, with a fraction
	fieldVersion         = "etag"
	fieldCreatedAt       = "made" // Unix milliseconds
)

// maxFirstByteMillis is the limit of a plausible time to first byte, in milliseconds. Negative times and times
// that are not below the limit are ignored.
const maxFirstByteMillis = 1e9

// Answer is a decoded answer. It shares no memory with the bytes that it was decoded from.
type Answer struct {
	ID              string // of the call
	Status          Status
	CacheStatus     CacheStatus
	SourceFirstByte time.Duration // time to the first byte from the fill's source; 0: unknown
	Version         string        // tag of the object's version; empty: none
	CreatedAtMillis int64         // Unix milliseconds at which the origin served the copy; 0: unknown
	Body            []byte
}

// Decode decodes one answer from the start of data. It returns how many bytes the answer has, 0 if it is not
// complete. Its errors wrap ErrMalformed.
func Decode(data []byte) (used int, answer Answer, err error) {
	headerSize, count, err := decodeNumber(data, arrayPrefix)
	if headerSize == 0 || err != nil {
		return 0, answer, err
	}
	if count != answerElements {
		return 0, answer, fmt.Errorf("%w: array of %d elements", ErrMalformed, count)
	}
	used = headerSize
	var elements [answerElements][]byte
	for i, limit := range elementLimits {
		size, element, err := decodeBulk(data[used:], limit)
		if size == 0 || err != nil {
			return 0, answer, err
		}
		elements[i] = element
		used += size
	}
	answer, err = newAnswer(elements)
	return used, answer, err
}

// newAnswer decodes the elements of an answer.
func newAnswer(elements [answerElements][]byte) (Answer, error) {
	answer := Answer{ID: string(elements[elementID]), Status: statusByWireName[string(elements[elementStatus])]}
	if answer.Status == 0 {
		return answer, fmt.Errorf("%w: unknown status %q", ErrMalformed, elements[elementStatus])
	}
	if err := answer.decodeFields(elements[elementFields]); err != nil {
		return answer, err
	}
	answer.Body = bytes.Clone(elements[elementBody])
	return answer, nil
}

// decodeFields decodes the list of fields.
func (a *Answer) decodeFields(list []byte) error {
	if string(list) == "-" {
		return nil
	}
	for field := range bytes.SplitSeq(list, []byte{','}) {
		name, value, hasValue := bytes.Cut(field, []byte{'='})
		if !hasValue {
			return fmt.Errorf("%w: field %q", ErrMalformed, field)
		}
		if err := a.decodeField(string(name), string(value)); err != nil {
			return fmt.Errorf("%w: field %q", ErrMalformed, field)
		}
	}
	return nil
}

// decodeField decodes one field. Unknown fields are ignored.
func (a *Answer) decodeField(name, value string) (err error) {
	switch name {
	case fieldCacheStatus:
		a.CacheStatus = cacheStatusByWireName[value]
	case fieldSourceFirstByte:
		millis, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return err
		}
		if millis >= 0 && millis < maxFirstByteMillis {
			a.SourceFirstByte = time.Duration(millis * float64(time.Millisecond))
		}
	case fieldVersion:
		a.Version = value
	case fieldCreatedAt:
		a.CreatedAtMillis, err = strconv.ParseInt(value, 10, 64)
	}
	return err
}
