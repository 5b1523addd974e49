package resp

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"
)

// encodeBulks encodes an array of bulk strings.
func encodeBulks(elements ...string) string {
	out := []byte("*" + string('0'+rune(len(elements))) + "\r\n")
	for _, element := range elements {
		out = appendBulk(out, element)
	}
	return string(out)
}

func TestEncodeCalls(t *testing.T) {
	fullCall := Call{
		ID: "9b1f", Class: "artes", Object: "7f3a", Part: "3", Timeout: 1500 * time.Millisecond, Source: "s-1",
		RetentionRank: 2, MaxAge: 2500 * time.Microsecond, KnownVersion: "4be0",
		CoalesceFill: true, StaleWhileRevalidate: true, Body: []byte("B"),
	}
	shortMaxAgeCall := Call{ID: "1", Class: "c", Object: "k", Part: "0", MaxAge: time.Microsecond, SourceCachedOnly: true}
	for _, tt := range []struct{ got, want string }{
		{string(AppendCall(nil, &fullCall)), encodeBulks("REQ", "9b1f",
			"c=artes,k=7f3a,p=3,w=1500,src=s-1,keep=2,maxage=2,flags=coalesce+freshen,have=4be0", "B")},
		// A MaxAge under a millisecond must not become 0, which would allow any copy that is fresh by its class.
		{string(AppendCall(nil, &shortMaxAgeCall)), encodeBulks("REQ", "1", "c=c,k=k,p=0,w=0,maxage=1,flags=shallow", "")},
		{string(AppendStop(nil, "9b1f")), encodeBulks("STOP", "9b1f")},
	} {
		if tt.got != tt.want {
			t.Errorf("got  %q\nwant %q", tt.got, tt.want)
		}
	}
}

func TestDecodeInPieces(t *testing.T) {
	const fields = "etag=4be0,made=1764576000123,note=TCP_MISS_ROOT,ttfb=12.5,load=util:0.6;inflight:7"
	encoded := encodeBulks("9b1f", "served", fields, "bytes\r\n") +
		encodeBulks("2", "overload", "-", "")
	want := []Answer{
		{
			ID: "9b1f", Status: StatusServed, CacheStatus: CacheStatusFilledByOrigin, SourceFirstByte: 12500 * time.Microsecond,
			Version: "4be0", CreatedAtMillis: 1764576000123, Body: []byte("bytes\r\n"),
		},
		{ID: "2", Status: StatusOverloaded, Body: []byte{}},
	}
	for pieceBytes := 1; pieceBytes <= len(encoded); pieceBytes += 13 {
		var got []Answer
		buffered := ""
		for rest := encoded; rest != ""; {
			n := min(pieceBytes, len(rest))
			buffered += rest[:n]
			rest = rest[n:]
			for {
				used, a, err := Decode([]byte(buffered))
				if err != nil {
					t.Fatal(err)
				}
				if used == 0 {
					break
				}
				got = append(got, a)
				buffered = buffered[used:]
			}
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("pieces of %d: got answers %+v", pieceBytes, got)
		}
	}
}

func TestMalformedAnswers(t *testing.T) {
	for _, malformed := range []string{
		"hello", "*3\r\n", "*x\r\n", "*4\rx", "*\r\n", "*99999999999\r\n", "*4\r\n:1\r\n", "*4\r\n$-1\r\n",
		"*4\r\n$1\r\n1xx", "*4\r\n$999\r\n", encodeBulks("1", "perhaps", "-", ""), encodeBulks("1", "served", "note", ""),
		encodeBulks("1", "served", "made=soon", ""), encodeBulks("1", "served", "ttfb=x", ""),
		encodeBulks("1", "served", "-", strings.Repeat("x", maxBodyBytes+1)),
	} {
		if used, _, err := Decode([]byte(malformed)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%.40q: used %d bytes, error %v, want ErrMalformed", malformed, used, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(encodeBulks("9b1f", "still_good", "etag=4be0,made=1", "")))
	f.Fuzz(func(t *testing.T, data []byte) {
		used, a, err := Decode(data)
		if used < 0 || used > len(data) || err == nil && used > 0 && a.Status == 0 {
			t.Fatalf("used %d bytes of %d, answer %+v", used, len(data), a)
		}
	})
}
