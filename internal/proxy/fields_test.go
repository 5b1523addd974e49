package proxy

import (
	"testing"

	"cloverdoor/internal/fastcgi"
)

// The object size that a client sends in HTTP_REQ_KB is decoded; anything but a number in range is rejected.
func TestObjectSizes(t *testing.T) {
	f := &FastCGIServer{handler: &Proxy{config: runtimeConfig{classIndexes: map[string]int{"artes": 0}}}}
	for text, want := range map[string]float64{"": 0, "0": 0, "2666.007": 2666.007, "1e3": 1000} {
		parsed, err := f.parse(requestWith("HTTP_REQ_KB", text))
		if err != nil || parsed.SizeKB != want {
			t.Errorf("%q: size %v, error %v, want that number, 0 if empty", text, parsed.SizeKB, err)
		}
	}
	for _, text := range []string{"large", "-1", "NaN", "Inf", "1e12", "1,5", " 1"} {
		if parsed, err := f.parse(requestWith("HTTP_REQ_KB", text)); err == nil {
			t.Errorf("%q is decoded as %v, want an error", text, parsed.SizeKB)
		}
	}
}

// requestWith returns a well-formed request with an additional field.
func requestWith(field, value string) *fastcgi.Request {
	var params fastcgi.Params
	for _, pair := range [][2]string{{"HTTP_REQ_ID", "9b1f03aa5c7e2d41"}, {"HTTP_REQ_KEY", "7f3a9c21e0b4d655"},
		{"HTTP_REQ_WAIT_MS", "1500"}, {"HTTP_X_PIECE", "0"}, {"HTTP_X_LOT", "17"}, {field, value}} {
		params = fastcgi.AppendParam(params, pair[0], pair[1])
	}
	return &fastcgi.Request{Script: "/ops/artes", Params: params}
}
