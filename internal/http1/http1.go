// Package http1 is the codec of the admin interface: HTTP/1.1 with one request per connection. It decodes the
// head of a request and encodes the response. It does no I/O. The admin interface uses no request bodies,
// so they are not decoded.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// maxHeadBytes is the limit on the request line and the headers together.
const maxHeadBytes = 8 << 10

const (
	lineEnd = "\r\n"
	headEnd = "\r\n\r\n"
)

// Errors of a request that can't be decoded. The text of an error that wraps ErrMalformed is sent to the
// client, as the body of status 400.
var (
	ErrMalformed = errors.New("http: malformed call")
	ErrTooLarge  = errors.New("http: head of a request exceeds its limit")
)

// Request holds the method and the path from the request line. The headers are not used.
type Request struct {
	Method string
	Path   string // without the query
}

// Response is the response to a request.
type Response struct {
	Status int    // a key of reasonPhrases
	Allow  string // value of the Allow header, for status 405; empty: no such header
	Body   string // plain text
}

// reasonPhrases maps the status codes in use to their reason phrases.
var reasonPhrases = map[int]string{
	200: "OK",
	400: "Bad Request",
	404: "Not Found",
	405: "Method Not Allowed",
	409: "Conflict",
	431: "Request Header Fields Too Large",
	503: "Service Unavailable",
}

// Decode decodes the head of a request from the start of data. It returns how many bytes the head has,
// including any empty lines before it, or 0 if it is not complete.
func Decode(data []byte) (used int, req Request, err error) {
	start := emptyLineBytes(data)
	headBytes := bytes.Index(data[start:], []byte(headEnd))
	if headBytes > maxHeadBytes || headBytes < 0 && len(data) > maxHeadBytes {
		return 0, req, ErrTooLarge
	}
	if headBytes < 0 {
		return 0, req, nil
	}
	line, headers, _ := strings.Cut(string(data[start:start+headBytes]), lineEnd)
	req, err = decodeRequestLine(line)
	if err != nil {
		return 0, req, err
	}
	if err := checkHeaders(headers); err != nil {
		return 0, req, err
	}
	return start + headBytes + len(headEnd), req, nil
}

// emptyLineBytes returns the length of the empty lines before a request, which a server ignores.
func emptyLineBytes(data []byte) int {
	n := 0
	for n < len(data) && (data[n] == '\r' || data[n] == '\n') {
		n++
	}
	return n
}

func decodeRequestLine(line string) (Request, error) {
	fields := strings.Split(line, " ")
	if len(fields) != 3 {
		return Request{}, malformedLine(line)
	}
	method := fields[0]
	target := fields[1]
	version := fields[2]
	if method == "" || !strings.HasPrefix(target, "/") || !strings.HasPrefix(version, "HTTP/1.") {
		return Request{}, malformedLine(line)
	}
	path, _, _ := strings.Cut(target, "?")
	return Request{Method: method, Path: path}, nil
}

func malformedLine(line string) error { return fmt.Errorf("%w: line %.40q", ErrMalformed, line) }

// checkHeaders checks that each header has a valid name. The values of the headers are not used.
func checkHeaders(headers string) error {
	if headers == "" {
		return nil
	}
	for header := range strings.SplitSeq(headers, lineEnd) {
		name, _, hasColon := strings.Cut(header, ":")
		if !hasColon || name == "" || strings.ContainsAny(name, " \t") {
			return fmt.Errorf("%w: header %.40q", ErrMalformed, header)
		}
	}
	return nil
}

// AppendResponse appends an encoded response to dst. The connection is to be closed after it.
func AppendResponse(dst []byte, r Response) []byte {
	dst = fmt.Appendf(dst, "HTTP/1.1 %d %s\r\n", r.Status, reasonPhrases[r.Status])
	dst = append(dst, "Content-Type: text/plain; charset=utf-8\r\n"...)
	if r.Allow != "" {
		dst = fmt.Appendf(dst, "Allow: %s\r\n", r.Allow)
	}
	dst = append(dst, "Content-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(r.Body)), 10)
	dst = append(dst, "\r\nConnection: close"+headEnd...)
	return append(dst, r.Body...)
}
