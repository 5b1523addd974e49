package fault

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// links are the first two lines of most scripts in these tests.
const links = "link c listen 127.0.0.1:7100 to 127.0.0.1:7001\nlink d listen [::1]:0 to 127.0.0.1:7002\n"

func mustParse(t *testing.T, text string) *Script {
	t.Helper()
	s, err := Parse(links + text)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestBadScripts checks that Parse rejects scripts that can't be carried out, with an error of one line that names
// the script's line and the field. It also checks that Parse accepts a valid script with similar rules that don't
// contradict each other.
func TestBadScripts(t *testing.T) {
	for text, want := range map[string]string{
		"":       "no link",
		"seed x": "line 1: seed:",
		"link c listen 10.0.0.1:1 to 127.0.0.1:1":                              "line 1: listen: 10.0.0.1:1 is not on loopback",
		"link c listen 127.0.0.1:1 to 192.168.1.1:1":                           "line 1: to: 192.168.1.1:1 is not on loopback",
		"link c listen 127.0.0.1:1 to nowhere":                                 "line 1: to:",
		links + "link c listen 127.0.0.1:1 to 127.0.0.1:2":                     "line 3: link: c is named twice",
		links + "x up : reset":                                                 "line 3: x:",
		links + "c up : explode":                                               "line 3: explode: unknown fault",
		links + "c up":                                                         "line 3: no fault",
		links + "c sideways : reset":                                           "line 3: sideways: unknown field",
		links + "c time -2s : reset":                                           "line 3: time:",
		links + "c byte -1 : reset":                                            "line 3: byte:",
		links + "c conn 0 : reset":                                             "line 3: conn:",
		links + "c chance 1.5 : reset":                                         "line 3: chance:",
		links + "c chance NaN : reset":                                         "line 3: chance:",
		links + "c match x : reset":                                            "line 3: match:",
		links + `c match "" : reset`:                                           "line 3: match:",
		links + `c match "x : reset`:                                           "line 3: a quoted word",
		links + "c nth 2 : reset":                                              "line 3: nth:",
		links + "c time 1s byte 5 : reset":                                     "line 3: time: only one",
		links + "c conn 1 every 2 : reset":                                     "line 3: conn: only one",
		links + "c : delay":                                                    "line 3: delay:",
		links + "c : delay 5ms size 3":                                         "line 3: size:",
		links + "c : reset for 3s":                                             "line 3: for:",
		links + "c : garble 0":                                                 "line 3: garble:",
		links + "c : repeat 9999999":                                           "line 3: repeat:",
		links + "c : refuse":                                                   "line 3: refuse: a duration is required",
		links + "c up conn 2 : refuse 1s":                                      "line 3: refuse: only conn or time may be its condition",
		links + "c conn 2 byte 5 : stall 1s":                                   "line 3: stall: only conn or time may be its condition",
		links + "c up byte 5 : reset\nc byte 5 : close":                        "line 4: close: contradicts reset in line 3",
		links + "c conn 4 byte 5 : reset\nc up every 2 byte 5 : silence":       "line 4: silence: contradicts reset",
		links + "c time 1s : delay 1ms for 3s\nc time 2s : delay 5ms for 1s":   "line 4: delay: contradicts delay",
		links + "c time 1s : refuse 3s\nc time 2s : stall 5s":                  "line 4: stall: contradicts refuse",
		links + `c up match "a" : garble 3` + "\n" + `c up match "a" : drop 2`: "line 4: drop: contradicts garble",
	} {
		if _, err := Parse(text); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("script %q: error %v, want %q", text, err, want)
		}
	}
	mustParse(t, "seed 7 # a comment\n\nc up byte 5 : reset\nc down byte 5 : close\nd byte 5 : reset\n"+
		"c time 1s : delay 1ms jitter 2ms for 1s\nc time 2s : delay 5ms\nc conn 3 : refuse 1s\nc conn 3 byte 9 : garble 2\n")
}

// feedInReads feeds data to a stream in reads of the given size, and returns its output and ending.
func feedInReads(s *StreamPlan, data []byte, readSize int) (out []byte, ending Ending) {
	for len(data) > 0 {
		n := min(readSize, len(data))
		for _, output := range s.Feed(data[:n], 0) {
			out = append(out, output.Data...)
			ending = max(ending, output.Ending)
		}
		data = data[n:]
	}
	for _, output := range s.CloseInput(0) {
		out = append(out, output.Data...)
		ending = max(ending, output.Ending)
	}
	return out, ending
}

// TestFaultsDoNotDependOnReads checks that the same bytes get the same faults, however they are split into reads.
func TestFaultsDoNotDependOnReads(t *testing.T) {
	script := mustParse(t, `seed 9
c up match "REQ" nth 3 : garble 5
c up byte 100 : drop 7
c up byte 200 : repeat 9
c up every 2 byte 333 : reset
c up chance 0.5 byte 250 : halfclose
`)
	var data []byte
	for i := range 60 {
		data = append(data, fmt.Sprintf("REQ %d;", i)...)
	}
	for number := 1; number <= 20; number++ {
		var want []byte
		var wantEnding Ending
		var wantFirings string
		for _, size := range []int{1 << 20, 1, 2, 7, 100} { // the first size puts all data into one read
			c := script.PlanConn("c", number, 0)
			out, ending := feedInReads(c.Stream(Up), data, size)
			firings := fmt.Sprint(c.TakeFirings())
			if size == 1<<20 {
				want = out
				wantEnding = ending
				wantFirings = firings
			} else if !bytes.Equal(out, want) || ending != wantEnding || firings != wantFirings {
				t.Fatalf("connection %d: reads of %d bytes differ from one read in output, ending or faults: %s and %s",
					number, size, firings, wantFirings)
			}
		}
	}
}

// TestFaultKinds checks the output and the ending of the first connection's Up stream under single rules.
func TestFaultKinds(t *testing.T) {
	const data = "abcdefghij"
	for rule, want := range map[string]struct {
		out    string
		ending Ending
	}{
		"c : delay 0s":            {data, EndHalfClosed},
		"c byte 3 : reset":        {"abc", EndReset},
		"c byte 0 : reset":        {"", EndReset},
		`c match "cd" : close`:    {"abcd", EndClosed},
		`c match "x" : close`:     {data, EndHalfClosed},
		"c byte 4 : halfclose":    {"abcd", EndHalfClosed},
		"c byte 2 : drop 3":       {"abfghij", EndHalfClosed},
		"c byte 2 : repeat 2":     {"abcdcdefghij", EndHalfClosed},
		"c up byte 8 : drop 99":   {"abcdefgh", EndHalfClosed},
		"c down byte 3 : reset":   {data, EndHalfClosed},
		"c conn 2 byte 3 : reset": {data, EndHalfClosed},
		"d byte 3 : reset":        {data, EndHalfClosed},
	} {
		out, ending := feedInReads(mustParse(t, rule).PlanConn("c", 1, 0).Stream(Up), []byte(data), 4)
		if string(out) != want.out || ending != want.ending {
			t.Errorf("%s: output %q with ending %d, want %q with %d", rule, out, ending, want.out, want.ending)
		}
	}
	out, _ := feedInReads(mustParse(t, "c byte 2 : garble 3").PlanConn("c", 1, 0).Stream(Up), []byte(data), 4)
	for i, b := range out {
		changed := b != data[i]
		if changed != (i >= 2 && i < 5) {
			t.Errorf("garble must change exactly bytes 3 to 5: %q", out)
		}
	}
}

// TestDueTimes checks when output is due with delay, rate, pieces and silence, and that due times never decrease.
func TestDueTimes(t *testing.T) {
	const ms = time.Millisecond
	due := func(rule string, now time.Duration) (times []time.Duration, sizes []int) {
		s := mustParse(t, rule).PlanConn("c", 1, 0).Stream(Up)
		for _, output := range s.Feed(make([]byte, 100), now) {
			times = append(times, output.Due)
			sizes = append(sizes, len(output.Data))
		}
		return times, sizes
	}
	for _, tt := range []struct {
		rule string
		now  time.Duration
		want string
	}{
		{"c : delay 20ms", 5 * ms, "[25ms] [100]"},
		{"c : delay 20ms for 1s", 2 * time.Second, "[2s] [100]"},
		{"c : rate 1000", 0, "[100ms] [100]"},
		{"c : pieces 40", 0, "[1ms 2ms 3ms] [40 40 20]"},
		{"c byte 60 : silence 3s", 0, "[0s 3s] [60 40]"},
		{"c time 1s : silence 3s", 0, "[0s] [100]"},
		{"c time 1s : silence 3s", 2 * time.Second, "[5s] [100]"},
	} {
		times, sizes := due(tt.rule, tt.now)
		got := fmt.Sprint(times, sizes)
		if got != tt.want {
			t.Errorf("%s: read at %v, due times and sizes %s, want %s", tt.rule, tt.now, got, tt.want)
		}
	}
	s := mustParse(t, "c : delay 10ms jitter 50ms").PlanConn("c", 1, 0).Stream(Up)
	lastDue := time.Duration(0)
	for i := range 100 {
		for _, output := range s.Feed([]byte("x"), time.Duration(i)*ms) {
			if output.Due < lastDue || output.Due < time.Duration(i+10)*ms || output.Due > time.Duration(i+60)*ms+50*ms {
				t.Errorf("byte %d is due at %v, the byte before it at %v", i, output.Due, lastDue)
			}
			lastDue = output.Due
		}
	}
}

// FuzzParse checks that Parse and the planned streams don't panic, and that errors have one line.
func FuzzParse(f *testing.F) {
	f.Add(links + "c up conn 2 match \"x\" nth 3 : garble 7\nd time 1s : silence 2s")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse(text)
		if err != nil {
			if strings.Contains(err.Error(), "\n") {
				t.Errorf("the error %q has more than one line", err)
			}
			return
		}
		for _, l := range s.Links {
			feedInReads(s.PlanConn(l.Name, 1, 0).Stream(Up), []byte(text), 5)
		}
	})
}
