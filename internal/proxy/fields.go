package proxy

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"cloverdoor/internal/fastcgi"
)

// parse decodes the fields of a request.
func (f *FastCGIServer) parse(r *fastcgi.Request) (Request, error) {
	name, ok := strings.CutPrefix(r.Script, operationPath)
	class, known := f.p.classIndex(name)
	if !ok || !known {
		return Request{}, fmt.Errorf("no such operation: %q", r.Script)
	}
	in := Request{
		ID: r.Params["HTTP_REQ_ID"], Class: class, ClassName: name, Object: r.Params["HTTP_REQ_KEY"], Body: r.Body,
	}
	if !isHex(in.ID) || !isHex(in.Object) {
		return Request{}, errors.New("Req-Id and Req-Key must be 16 hex digits")
	}
	wait, err1 := decimal(r.Params["HTTP_REQ_WAIT_MS"], 1, 600_000)
	part, err2 := decimal(r.Params["HTTP_X_PIECE"], 0, 1<<31)
	group, err3 := decimal(r.Params["HTTP_X_LOT"], 0, 255)
	size, err4 := sizeKB(r.Params["HTTP_REQ_KB"])
	if err := errors.Join(err1, err2, err3, err4); err != nil {
		return Request{}, fmt.Errorf("Req-Wait-Ms, X-Piece, X-Lot or Req-Kb: %w", err)
	}
	if in.IdempotencyKey = r.Params["HTTP_REQ_TOKEN"]; !isToken(in.IdempotencyKey) {
		return Request{}, errors.New("Req-Token must be up to 64 letters, digits and -._~")
	}
	in.Timeout, in.Part, in.Group, in.SizeKB = time.Duration(wait)*time.Millisecond, part, group, size
	if tag := r.Params["HTTP_X_VER"]; isHex(tag) {
		in.KnownVersion = tag // any other could not be passed on; the whole object is always right
	}
	return in, nil
}

// isHex reports 16 hex digits: what may pass on into the fields of a call.
func isHex(s string) bool {
	return len(s) == 16 && strings.Trim(s, "0123456789abcdefABCDEF") == ""
}

// isToken reports what may pass on as an idempotency key, or none.
func isToken(s string) bool {
	return len(s) <= 64 && strings.Trim(s, "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-._~") == ""
}

// maxSizeKB is the largest size that a client may tell of an object.
const maxSizeKB = 1e9

// sizeKB reads the size of an object where clients tell it; 0: not told.
func sizeKB(s string) (float64, error) {
	if s == "" {
		return 0, nil
	}
	size, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, err
	}
	if !(size >= 0 && size <= maxSizeKB) { // not a number either
		return 0, fmt.Errorf("%q is out of range", s)
	}
	return size, nil
}

// decimal reads a canonical decimal, so that passing it on as a decimal leaves it unchanged.
func decimal(s string, least, most int) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil {
		return 0, err
	}
	if n < least || n > most || strconv.Itoa(n) != s {
		return 0, fmt.Errorf("%q is out of range", s)
	}
	return n, nil
}
