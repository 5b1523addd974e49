package http1

import (
	"errors"
	"strings"
	"testing"
)

func TestDecode(t *testing.T) {
	for _, tt := range []struct {
		in   string
		used int
		want Request
		err  error
	}{
		{"GET /ops/stats HTTP/1.1\r\nHost: a\r\n\r\n", 36, Request{"GET", "/ops/stats"}, nil},
		{"GET /ops/stats?x=1 HTTP/1.0\r\n\r\nrest", 31, Request{"GET", "/ops/stats"}, nil},
		{"\r\nPUT /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi", 40, Request{"PUT", "/a"}, nil},
		{"", 0, Request{}, nil},
		{"GET /ops/st", 0, Request{}, nil},
		{"GET /ops/stats HTTP/1.1\r\nHost: a\r\n", 0, Request{}, nil},
		{"GET  /a HTTP/1.1\r\n\r\n", 0, Request{}, ErrMalformed},
		{"GET a HTTP/1.1\r\n\r\n", 0, Request{}, ErrMalformed},
		{"GET /a HTTP/2\r\n\r\n", 0, Request{}, ErrMalformed},
		{"GET /a\r\n\r\n", 0, Request{}, ErrMalformed},
		{"GET /a HTTP/1.1\r\nno colon\r\n\r\n", 0, Request{}, ErrMalformed},
		{"GET /a HTTP/1.1\r\nA b: c\r\n\r\n", 0, Request{}, ErrMalformed},
		{"GET /" + strings.Repeat("a", maxHeadBytes), 0, Request{}, ErrTooLarge},
		{"GET /a HTTP/1.1\r\nA: " + strings.Repeat("a", maxHeadBytes) + "\r\n\r\n", 0, Request{}, ErrTooLarge},
	} {
		used, got, err := Decode([]byte(tt.in))
		if used != tt.used || tt.err == nil && got != tt.want || !errors.Is(err, tt.err) {
			t.Errorf("%.60q: used %d bytes, request %+v, error %v", tt.in, used, got, err)
		}
	}
}

func TestAppendResponse(t *testing.T) {
	got := string(AppendResponse(nil, Response{Status: 405, Allow: "GET", Body: "no\n"}))
	want := "HTTP/1.1 405 Method Not Allowed\r\nContent-Type: text/plain; charset=utf-8\r\nAllow: GET\r\n" +
		"Content-Length: 3\r\nConnection: close\r\n\r\nno\n"
	if got != want {
		t.Errorf("got %q, want status 405 with the Allow header and the body", got)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("GET /ops/stats HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		used, r, err := Decode(data)
		if used < 0 || used > len(data) || err != nil && used != 0 || used > 0 && r.Method == "" {
			t.Errorf("used %d bytes, request %+v, error %v", used, r, err)
		}
	})
}
