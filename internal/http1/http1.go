// Package http1 is the codec of the operators' side: HTTP/1.1 with one call to a connection. It decodes the head of
// a call and encodes its answer; it touches no socket. A call's body means nothing here and is not read.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// maxHead bounds the request line and the headers together.
const maxHead = 8 << 10

// Errors of a call that can't be read.
var (
	ErrMalformed = errors.New("http: malformed call")
	ErrTooLarge  = errors.New("http: head of a call exceeds its limit")
)

// Request is what a call asks for.
type Request struct {
	Method string
	Path   string // without the query
}

// Response is the answer to a call.
type Response struct {
	Status int
	Allow  string // methods, with status 405
	Body   string
}

// reasons are the statuses in use.
var reasons = map[int]string{
	200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 409: "Conflict",
	431: "Request Header Fields Too Large", 503: "Service Unavailable",
}

// Decode takes the head of a call off data. It returns how many bytes it used, 0 when the head is not whole yet.
func Decode(data []byte) (used int, r Request, err error) {
	for len(data) > used && (data[used] == '\r' || data[used] == '\n') { // empty lines ahead are to be ignored
		used++
	}
	end := bytes.Index(data[used:], []byte("\r\n\r\n"))
	switch {
	case end > maxHead || end < 0 && len(data) > maxHead:
		return 0, r, ErrTooLarge
	case end < 0:
		return 0, r, nil
	}
	line, headers, _ := strings.Cut(string(data[used:used+end]), "\r\n")
	if r, err = requestLine(line); err != nil {
		return 0, r, err
	}
	for header := range strings.SplitSeq(headers, "\r\n") {
		if name, _, ok := strings.Cut(header, ":"); headers != "" && (!ok || name == "" || strings.ContainsAny(name, " \t")) {
			return 0, r, fmt.Errorf("%w: header %.40q", ErrMalformed, header)
		}
	}
	return used + end + 4, r, nil
}

func requestLine(line string) (Request, error) {
	words := strings.Split(line, " ")
	if len(words) != 3 || words[0] == "" || !strings.HasPrefix(words[1], "/") || !strings.HasPrefix(words[2], "HTTP/1.") {
		return Request{}, fmt.Errorf("%w: line %.40q", ErrMalformed, line)
	}
	path, _, _ := strings.Cut(words[1], "?")
	return Request{Method: words[0], Path: path}, nil
}

// AppendResponse encodes an answer, after which the connection closes.
func AppendResponse(dst []byte, r Response) []byte {
	dst = strconv.AppendInt(append(dst, "HTTP/1.1 "...), int64(r.Status), 10)
	dst = append(append(append(dst, ' '), reasons[r.Status]...), "\r\nContent-Type: text/plain; charset=utf-8\r\n"...)
	if r.Allow != "" {
		dst = append(append(append(dst, "Allow: "...), r.Allow...), "\r\n"...)
	}
	dst = strconv.AppendInt(append(dst, "Content-Length: "...), int64(len(r.Body)), 10)
	return append(append(dst, "\r\nConnection: close\r\n\r\n"...), r.Body...)
}
