package proxy

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// Guards against a drain that can't be explained afterwards: a connection that is held is in the log with its reason,
// since when, and the ids of its open requests, and in the metrics; its close is in both with a reason.
func TestHeldConnectionIsReported(t *testing.T) {
	f := newProxyFixture(t)
	var log bytes.Buffer
	f.p.log = slog.New(slog.NewTextHandler(&log, nil))
	f.p.fastcgiServers[0].log = f.p.log
	c := f.soleConn(t)
	if _, err := f.client.Write(requestWithTimeout("60000")); err != nil {
		t.Fatal(err)
	}
	f.turnUntil(t, func() bool { return len(c.openRequests) == 1 })
	f.p.startDrain()
	f.turnOfProxy(t, drainAcceptTime)
	f.turnOfProxy(t, holdReportInterval)
	for _, want := range []string{"client connection held", "reason=requests_open", "held=500ms", "requests=[9b1f03aa5c7e2d41]"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("%q is not in the log:\n%s", want, log.String())
		}
	}
	if metric := `svc_conns_held{reason="requests_open"} 1`; !strings.Contains(f.p.stats(), metric) {
		t.Errorf("%q is not among the metrics", metric)
	}
	f.p.stopDrain()
	if strings.Contains(f.p.stats(), "svc_conns_held") {
		t.Error("a connection counts as held after the end of the drain")
	}
	f.client.SetLinger(0) //nolint:errcheck // the close is then a reset, or the end of the connection
	f.client.Close()      //nolint:errcheck // as above
	f.turnUntil(t, func() bool { return c.openRequests == nil })
	if !strings.Contains(log.String(), "client connection ended by client") || !strings.Contains(f.p.stats(), "svc_conns_closed{") {
		t.Errorf("the close is not reported; log:\n%s", log.String())
	}
}

// turnOfProxy lets time pass and runs a turn of the proxy's main loop.
func (f *proxyFixture) turnOfProxy(t *testing.T, elapsed time.Duration) {
	t.Helper()
	f.clock.now += elapsed
	if err := f.loop.Wait(0); err != nil {
		t.Fatal(err)
	}
	f.p.runEventQueue()
}
