package simwire

import (
	"bytes"
	"strings"
	"testing"

	"cloverdoor/policy"
)

// startBatch is a batch that starts the instance "proxy/1" with two endpoints.
const startBatch = `{"moment-us":1000,"happened":[{"op":"Born","proxy-id":"proxy/1","prng":7,"conf":` +
	`{"classes":[{"name":"k","semantics":"read_like","promise-us":400000,"aim-stretch":2,"deadline-us":3000000}],` +
	`"domain":{"root-kind":2,"upper-kind":1,"direct":true,"one-flow-kb-per-s":1000,"class-fresh-us":[8000000],` +
	`"new-key":[1]},"zone":1,"later":null}},` +
	`{"op":"Page","ref":0,"hosts":[{"store":"10.0.0.1:7001","status":2,"class-of-host":0,"rack-zone":1,"share":2},` +
	`{"store":"10.0.0.2:7001","status":2,"class-of-host":1,"rack-zone":0,"share":9,"online-since-us":null}]},` +
	`{"op":"Membership","proxy-id":"proxy/1","mode":2,"revision":1,"ref":0}]}`

// serve runs a host on lines of input and returns its output, its log and its error.
func serve(t *testing.T, lines ...string) (string, string, error) {
	t.Helper()
	var out, log bytes.Buffer
	err := NewHost(&log).Serve(strings.NewReader(strings.Join(lines, "\n")), &out)
	return out.String(), log.String(), err
}

func TestRequestYieldsFetch(t *testing.T) {
	out, log, err := serve(t, startBatch,
		`{"moment-us":2000,"happened":[{"op":"Ingress","proxy-id":"proxy/1","job":5,"asset":"f-1","kind":0,`+
			`"expires-in-us":2000000,"retry":null,"size-kb":50,"part":0,"set-no":3,"mutates":false,"x":1},`+
			`{"op":"Whatever","proxy-id":"proxy/1"}]}`)
	if err != nil || log != "" {
		t.Fatal(err, log)
	}
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if len(lines) != 2 || lines[0] != `{"cmds":[]}` {
		t.Fatalf("got replies %q, want 2, the first without actions", lines)
	}
	want := `{"cmds":[{"op":"FetchThrough","proxy-id":"proxy/1","job":5,"store":"10.0.0.1:7001",` +
		`"from-where":"10.0.0.2:7001","hold-rank":1,"manner":8},`
	if !strings.HasPrefix(lines[1], want) {
		t.Fatalf("got  %s\nwant %s...", lines[1], want)
	}
}

func TestEventForUnknownInstanceIsLogged(t *testing.T) {
	out, log, err := serve(t, `{"moment-us":1,"happened":[{"op":"Due","proxy-id":"proxy/9","mark":1}]}`)
	if err != nil || out != "{\"cmds\":[]}\n" || !strings.Contains(log, "proxy/9") {
		t.Fatalf("output %q, log %q, error %v, want no action and a log line that names proxy/9", out, log, err)
	}
}

func TestInvalidBatches(t *testing.T) {
	for _, line := range []string{`hello`, `[]`, `{}`, `{"moment-us":1,"happened":[7]}`} {
		if _, _, err := serve(t, line); err == nil {
			t.Errorf("line %s was accepted as a batch", line)
		}
	}
}

// The number of a list may be reused within a batch: each event refers to the list that has the number at that
// point of the batch.
func TestReusedListNumbers(t *testing.T) {
	h := NewHost(&bytes.Buffer{})
	if _, err := h.HandleBatch([]byte(startBatch)); err != nil {
		t.Fatal(err)
	}
	out, err := h.HandleBatch([]byte(`{"moment-us":3000,"happened":[` +
		`{"op":"Page","ref":0,"hosts":[{"store":"10.0.0.7:7001","status":2,"class-of-host":0,"rack-zone":1}]},` +
		`{"op":"Membership","proxy-id":"proxy/1","mode":1,"ref":0},` +
		`{"op":"Page","ref":0,"hosts":[]},` +
		`{"op":"Ingress","proxy-id":"proxy/1","job":5,"asset":"f-1","kind":0,"expires-in-us":2000000}]}`))
	if err != nil || !strings.Contains(string(out), `"store":"10.0.0.7:7001"`) {
		t.Fatalf("reply %s, error %v, want a fetch from 10.0.0.7:7001", out, err)
	}
}

func TestUnknownResultIsError(t *testing.T) {
	if resultOf[999] != policy.ResultError {
		t.Fatal("an unknown result must count as an error")
	}
}

// A panic of a router is reported to the simulator as an action and does not end the process.
func TestPanicIsReported(t *testing.T) {
	h := NewHost(&bytes.Buffer{})
	h.routers["proxy/1"] = &policy.Router{} // not made by New: its maps are nil
	out, err := h.HandleBatch([]byte(`{"moment-us":1,"happened":[` +
		`{"op":"Page","ref":0,"hosts":[{"store":"a","status":2}]},` +
		`{"op":"Membership","proxy-id":"proxy/1","mode":1,"ref":0}]}`))
	if err != nil || !strings.Contains(string(out), `"op":"Fault"`) {
		t.Fatalf("reply %s, error %v, want the action Fault", out, err)
	}
}
