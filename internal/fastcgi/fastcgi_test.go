package fastcgi

import (
	"bytes"
	"errors"
	"reflect"
	"runtime"
	"strings"
	"testing"
)

// encodeBegin encodes a BEGIN_REQUEST.
func encodeBegin(id uint16, role, flags byte) []byte {
	return append(appendHeader(nil, typeBegin, id, 8), 0, role, flags, 0, 0, 0, 0, 0)
}

// encodeRecord encodes a record without padding.
func encodeRecord(recordType byte, id uint16, content string) []byte {
	return append(appendHeader(nil, recordType, id, len(content)), content...)
}

func join(parts ...[]byte) []byte { return bytes.Join(parts, nil) }

// encodeParams encodes parameters, given as alternating names and values.
func encodeParams(pairs ...string) string {
	var out []byte
	for i := 0; i < len(pairs); i += 2 {
		out = appendPair(out, pairs[i], pairs[i+1])
	}
	return string(out)
}

// completeRequest encodes a request with a long value and a body in two records.
func completeRequest(id uint16) []byte {
	return join(encodeBegin(id, roleResponder, flagKeepConn),
		encodeRecord(typeParams, id, encodeParams("SCRIPT_NAME", "/ops/artes", "LONG", strings.Repeat("x", 300))),
		encodeRecord(typeParams, id, ""), encodeRecord(typeStdin, id, "ab"),
		encodeRecord(typeStdin, id, "cd"), encodeRecord(typeStdin, id, ""))
}

// decode decodes data that arrives in pieces of the given number of bytes.
func decode(t *testing.T, data []byte, pieceBytes int) (events []Event, err error) {
	t.Helper()
	var d Decoder
	var buffered []byte
	for len(data) > 0 || len(buffered) > 0 {
		n := min(pieceBytes, len(data))
		buffered = append(buffered, data[:n]...)
		data = data[n:]
		for {
			used, ev, err := d.Decode(buffered)
			if err != nil {
				return events, err
			}
			if used == 0 {
				break
			}
			buffered = buffered[used:]
			if ev != nil {
				events = append(events, ev)
			}
		}
		if n == 0 {
			break
		}
	}
	return events, nil
}

// decodeAll decodes data that consists of complete records.
func decodeAll(t *testing.T, d *Decoder, data []byte) (events []Event) {
	t.Helper()
	for len(data) > 0 {
		used, ev, err := d.Decode(data)
		if used == 0 || err != nil {
			t.Fatalf("Decode used %d bytes, error %v, want a complete record", used, err)
		}
		data = data[used:]
		if ev != nil {
			events = append(events, ev)
		}
	}
	return events
}

func TestDecodeInPieces(t *testing.T) {
	for _, pieceBytes := range []int{1, 7, 1 << 20} {
		events, err := decode(t, join(completeRequest(1), completeRequest(2)), pieceBytes)
		if err != nil || len(events) != 2 {
			t.Fatalf("pieces of %d: got events %v, error %v, want 2 requests", pieceBytes, events, err)
		}
		r := events[1].(*Request)
		if r.ID != 2 || !r.KeepConn || r.Script != "/ops/artes" || len(r.Params.Get("LONG")) != 300 || string(r.Body) != "abcd" {
			t.Fatalf("pieces of %d: got request %+v, want that of completeRequest(2)", pieceBytes, r)
		}
	}
}

func TestAbortsAndReplies(t *testing.T) {
	for name, c := range map[string]struct {
		in   []byte
		want Event // the last one; nil: none
	}{
		"abort of a complete request": {join(completeRequest(3), encodeRecord(typeAbort, 3, "")), Abort{ID: 3}},
		"abort of a partial request": {
			join(encodeBegin(3, 1, 1), encodeRecord(typeAbort, 3, "")),
			Reply{Data: AppendEnd(nil, 3, 1, StatusComplete)},
		},
		"unsupported role": {encodeBegin(3, 2, 1), Reply{Data: AppendEnd(nil, 3, 0, StatusUnknownRole)}},
		"unsupported role, connection not kept": {
			encodeBegin(3, 2, 0),
			Reply{Data: AppendEnd(nil, 3, 0, StatusUnknownRole), Close: true},
		},
		"unknown management record": {encodeRecord(77, 0, ""), Reply{Data: encodeUnknownType(77)}},
		"requested variables": {
			encodeRecord(typeGetValues, 0, encodeParams("FCGI_MPXS_CONNS", "")),
			Reply{Data: encodeRecord(typeGetResult, 0, encodeParams("FCGI_MPXS_CONNS", "1"))},
		},
		"records of an unknown request": {join(encodeRecord(typeStdin, 9, "x"), encodeRecord(typeAbort, 9, "")), nil},
	} {
		events, err := decode(t, c.in, 5)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		var got Event
		if len(events) > 0 {
			got = events[len(events)-1]
		}
		if !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

func TestMalformedRecords(t *testing.T) {
	for name, c := range map[string]struct {
		in   []byte
		want error
	}{
		"unsupported version":                  {[]byte{2, 1, 0, 1, 0, 0, 0, 0}, ErrVersion},
		"short BEGIN_REQUEST":                  {encodeRecord(typeBegin, 1, "abc"), ErrRecord},
		"BEGIN_REQUEST for a partial request":  {join(encodeBegin(1, 1, 1), encodeBegin(1, 1, 1)), ErrRecord},
		"BEGIN_REQUEST for a complete request": {join(completeRequest(1), encodeBegin(1, 1, 1)), ErrRecord},
		"truncated pair": {
			join(encodeBegin(1, 1, 1), encodeRecord(typeParams, 1, "\x05\x05ab"), encodeRecord(typeParams, 1, "")),
			ErrRecord,
		},
		"body ended before parameters": {join(encodeBegin(1, 1, 1), encodeRecord(typeStdin, 1, "")), ErrRecord},
	} {
		if _, err := decode(t, c.in, 1<<20); !errors.Is(err, c.want) {
			t.Errorf("%s: got error %v, want %v", name, err, c.want)
		}
	}
}

// A request that exceeds a limit is rejected once and its further records are ignored. A request over the
// connection's limit on requests is answered as overloaded.
func TestRequestsOverLimitsAreRejected(t *testing.T) {
	var begunRequests []byte
	for id := range uint16(maxRequests) {
		begunRequests = append(begunRequests, encodeBegin(id+2, 1, 1)...)
	}
	longContent := strings.Repeat("x", 60000)
	furtherRecords := join(encodeRecord(typeStdin, 1, "more"),
		encodeRecord(typeParams, 1, ""), encodeRecord(typeStdin, 1, ""))
	for name, c := range map[string]struct {
		in   []byte
		want Event
	}{
		"parameters too large": {
			join(encodeBegin(1, 1, 1), encodeRecord(typeParams, 1, longContent)),
			Rejected{1, true, ErrTooLarge},
		},
		"parameters after their end": {
			join(encodeBegin(1, 1, 1), encodeRecord(typeParams, 1, ""), encodeRecord(typeParams, 1, "x")),
			Rejected{1, true, ErrTooLarge},
		},
		"body too large": {
			join(encodeBegin(1, 1, 0), encodeRecord(typeStdin, 1, longContent), encodeRecord(typeStdin, 1, longContent)),
			Rejected{1, false, ErrTooLarge},
		},
		"too many requests": {join(begunRequests, encodeBegin(1, 1, 1)), Reply{Data: AppendEnd(nil, 1, 0, StatusOverloaded)}},
	} {
		var d Decoder
		events := decodeAll(t, &d, join(c.in, furtherRecords))
		if len(events) != 1 || !reflect.DeepEqual(events[0], c.want) {
			t.Errorf("%s: got events %+v", name, events)
		}
		if name != "too many requests" && (d.MemoryBytes() != 0 || d.Busy()) {
			t.Errorf("%s: %d bytes buffered, or still busy", name, d.MemoryBytes())
		}
		dropped := len(d.DropPartial())
		if d.Busy() || (dropped > 0) != (name == "too many requests") {
			t.Errorf("%s: %d partial requests dropped, or still busy", name, dropped)
		}
	}
}

// An ID may be reused once its request is done, and the bytes buffered for it are released.
func TestFinishedRequestsAreReleased(t *testing.T) {
	var d Decoder
	for range 3 {
		decodeAll(t, &d, completeRequest(1))
		if !d.Busy() || d.MemoryBytes() != 0 {
			t.Fatalf("after a complete request: busy is %v, want true; %d bytes buffered, want 0", d.Busy(), d.MemoryBytes())
		}
		d.Done(1)
	}
	if d.Busy() {
		t.Fatal("busy although every request is done")
	}
}

func TestLongBodyIsSplitIntoRecords(t *testing.T) {
	body := bytes.Repeat([]byte("z"), 3*maxContentBytes+5)
	out := AppendResponse(nil, 4, Response{Status: 200, Headers: [][2]string{{"X-Unchanged", "1"}}, Body: body})
	var output []byte
	for len(out) > 0 {
		n := int(out[4])<<8 | int(out[5])
		if out[1] == typeStdout {
			output = append(output, out[headerBytes:headerBytes+n]...)
		}
		out = out[headerBytes+n:]
	}
	want := "Status: 200\r\nX-Unchanged: 1\r\n\r\n" + string(body)
	if string(output) != want {
		t.Fatalf("wrong output: got %d bytes, want %d", len(output), len(want))
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(completeRequest(1))
	f.Add(join(encodeBegin(1, 2, 0), encodeRecord(typeGetValues, 0, encodeParams("FCGI_MAX_REQS", ""))))
	f.Fuzz(func(t *testing.T, data []byte) {
		var d Decoder
		for len(data) > 0 {
			used, _, err := d.Decode(data)
			if used < 0 || used > len(data) || d.MemoryBytes() < 0 {
				t.Fatalf("used %d of %d bytes, %d bytes buffered", used, len(data), d.MemoryBytes())
			}
			if err != nil || used == 0 {
				return
			}
			data = data[used:]
		}
	})
}

// Guards against requests that take more memory than is counted for them (review/8): with many short parameters, their
// decoded form took some ten times the counted bytes, and was counted no more once the parameters had ended.
func TestMemoryBytesCoverTheHeap(t *testing.T) {
	const decoders = 50
	shortParams := func(count int) string {
		var pairs []string
		for n := range count {
			pairs = append(pairs, string([]byte{byte('!' + n%90), byte('!' + n/90)}), "")
		}
		return encodeParams(pairs...)
	}
	for name, records := range map[string]func(id uint16) []byte{
		"only its beginning":    func(uint16) []byte { return nil },
		"many short parameters": func(id uint16) []byte { return encodeRecord(typeParams, id, shortParams(4000)) },
		"many short parameters, ended": func(id uint16) []byte {
			return join(encodeRecord(typeParams, id, shortParams(4000)), encodeRecord(typeParams, id, ""))
		},
		"parameters in small records": func(id uint16) (data []byte) {
			for range 2000 {
				data = append(data, encodeRecord(typeParams, id, encodeParams("ab", ""))...)
			}
			return data
		},
		"a body in small records": func(id uint16) (data []byte) {
			for range 1000 {
				data = append(data, encodeRecord(typeStdin, id, "0123456789012345678901234567890")...)
			}
			return data
		},
		"a large body": func(id uint16) []byte { return encodeRecord(typeStdin, id, strings.Repeat("x", 60_000)) },
	} {
		var partial [decoders]Decoder
		before := heapBytes()
		counted := 0
		for i := range partial {
			for id := range uint16(maxRequests) {
				decodeAll(t, &partial[i], join(encodeBegin(id+1, roleResponder, flagKeepConn), records(id+1)))
			}
			counted += partial[i].MemoryBytes()
		}
		held := heapBytes() - before
		t.Logf("%s: %d bytes of heap for a request, %d counted", name, held/decoders/maxRequests, counted/decoders/maxRequests)
		if held > counted {
			t.Errorf("%s: the requests take %d bytes, %d are counted", name, held, counted)
		}
		for i := range partial {
			partial[i].DropPartial()
		}
	}
}

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// The last of several parameters with one name counts, and a missing one is empty.
func TestParamsGet(t *testing.T) {
	params := AppendParam(AppendParam(AppendParam(nil, "A", "1"), "B", ""), "A", "2")
	if a, b, c := params.Get("A"), params.Get("B"), params.Get("C"); a != "2" || b != "" || c != "" {
		t.Errorf("got %q, %q and %q, want 2 and two empty values", a, b, c)
	}
}
