package proxy

// This file decodes the fields of FastCGI requests.

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"cloverdoor/internal/fastcgi"
)

// operationPath is the prefix of a request's script name; the name of its class follows.
const operationPath = "/ops/"

// The limits of the fields that clients send.
const (
	maxTimeoutMillis        = 600_000
	maxPart                 = 1 << 31
	maxGroup                = groupCount - 1
	maxSizeKB               = 1e9
	idLength                = 16 // number of hex digits of a request id, an object or a version
	maxIdempotencyKeyLength = 64 // characters
)

const (
	hexDigits     = "0123456789abcdefABCDEF"
	keyCharacters = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-._~"
)

// parse decodes the fields of a request.
func (f *FastCGIServer) parse(r *fastcgi.Request) (Request, error) {
	className, hasPrefix := strings.CutPrefix(r.Script, operationPath)
	class, known := f.handler.classIndex(className)
	if !hasPrefix || !known {
		return Request{}, fmt.Errorf("no such operation: %q", r.Script)
	}
	parsed := Request{
		ID:             r.Params.Get("HTTP_REQ_ID"),
		Class:          class,
		ClassName:      className,
		Object:         r.Params.Get("HTTP_REQ_KEY"),
		IdempotencyKey: r.Params.Get("HTTP_REQ_TOKEN"),
		Body:           r.Body,
	}
	if !isHexID(parsed.ID) || !isHexID(parsed.Object) {
		return Request{}, errors.New("Req-Id and Req-Key must be 16 hex digits")
	}
	err := parsed.parseNumbers(r.Params)
	if err != nil {
		return Request{}, fmt.Errorf("Req-Wait-Ms, X-Piece, X-Lot or Req-Kb: %w", err)
	}
	if !isIdempotencyKey(parsed.IdempotencyKey) {
		return Request{}, errors.New("Req-Token must be up to 64 letters, digits and -._~")
	}
	// A version in any other form can't be forwarded. Without a version the client gets the complete object,
	// which is always correct.
	version := r.Params.Get("HTTP_X_VER")
	if isHexID(version) {
		parsed.KnownVersion = version
	}
	return parsed, nil
}

// parseNumbers decodes the fields that hold numbers.
func (r *Request) parseNumbers(params fastcgi.Params) error {
	timeoutMillis, errTimeout := decimal(params.Get("HTTP_REQ_WAIT_MS"), 1, maxTimeoutMillis)
	part, errPart := decimal(params.Get("HTTP_X_PIECE"), 0, maxPart)
	group, errGroup := decimal(params.Get("HTTP_X_LOT"), 0, maxGroup)
	size, errSize := sizeKB(params.Get("HTTP_REQ_KB"))
	r.Timeout = time.Duration(timeoutMillis) * time.Millisecond
	r.Part = part
	r.Group = group
	r.SizeKB = size
	return errors.Join(errTimeout, errPart, errGroup, errSize)
}

// isHexID reports whether s is 16 hex digits: the only form of ids, objects and versions that is forwarded.
func isHexID(s string) bool {
	return len(s) == idLength && strings.Trim(s, hexDigits) == ""
}

// isIdempotencyKey reports whether s can be forwarded as an idempotency key. The empty string (no key) can.
func isIdempotencyKey(s string) bool {
	return len(s) <= maxIdempotencyKeyLength && strings.Trim(s, keyCharacters) == ""
}

// sizeKB decodes the size of an object, which clients may omit; an omitted size is 0.
func sizeKB(s string) (float64, error) {
	if s == "" {
		return 0, nil
	}
	size, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, err
	}
	inRange := size >= 0 && size <= maxSizeKB // false for NaN
	if !inRange {
		return 0, fmt.Errorf("%q is out of range", s)
	}
	return size, nil
}

// decimal decodes a decimal number from minimum to maximum. Only the canonical form is accepted, so that the
// number is forwarded exactly as the client sent it.
func decimal(s string, minimum, maximum int) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil {
		return 0, err
	}
	if n < minimum || n > maximum || strconv.Itoa(n) != s {
		return 0, fmt.Errorf("%q is out of range", s)
	}
	return n, nil
}
