package main

import (
	"errors"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
)

// A log that nobody reads any more is no reason to stop.
func TestLogWithoutReader(t *testing.T) {
	w := newTestEnv(t)
	r, log, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	closeOnce(t, r)
	defer closeOnce(t, log)
	w.stderr = log
	w.start()
	receive(t, w.followLines, "follow")
	w.sendEvent("nonsense") // is logged
	receive(t, w.followLines, "follow")
	w.awaitAlive("503")
}

// fullPipe returns both ends of a pipe whose buffer is full: a write to it blocks until somebody reads.
func fullPipe(t *testing.T) (read, write *os.File) {
	t.Helper()
	var ends [2]int
	if err := syscall.Pipe2(ends[:], syscall.O_CLOEXEC); err != nil {
		t.Fatal(err)
	}
	read, write = os.NewFile(uintptr(ends[0]), "pipe"), os.NewFile(uintptr(ends[1]), "pipe")
	t.Cleanup(func() {
		closeOnce(t, read)
		closeOnce(t, write)
	})
	if _, err := write.Write(make([]byte, 64<<10)); err != nil {
		t.Fatal(err)
	}
	return read, write
}

// A log whose reader stalls holds up neither requests nor operators nor the end.
func TestLogThatNobodyReads(t *testing.T) {
	w := newTestEnv(t)
	_, w.stderr = fullPipe(t)
	w.cache.answerAll("served", "-", "fine")
	w.start(endpointEvent(1, true, endpoint("c1", "std", "edge", "SERVING", w.cache), endpoint("o1", "origin", "hub", "SERVING", w.origin)))
	receive(t, w.followLines, "follow")
	for _, line := range []string{"nonsense", "more of it", "and more"} {
		w.sendEvent(line) // is logged
		receive(t, w.followLines, "follow")
	}
	c := w.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	if a := receive(t, c.answers, "answer"); a.body != "fine" {
		t.Errorf("%+v", a)
	}
	w.checkMetrics(map[string]int{operationsMetric("artes", "fulfilled"): 1})
	if err := w.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := receive(t, w.exited, "exit"); err != nil {
		t.Error(err)
	}
}

// A configuration file that takes long to read holds up nobody; it is taken over once it has been read.
func TestSlowConfigurationFile(t *testing.T) {
	w := startTestEnv(t)
	w.cache.answerAll("served", "-", "fine")
	if err := errors.Join(os.Remove(w.configPath), syscall.Mkfifo(w.configPath, 0o600)); err != nil {
		t.Fatal(err)
	}
	if err := w.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	file, err := os.OpenFile(w.configPath, os.O_WRONLY, 0) // comes back when the program has opened it to read
	if err != nil {
		t.Fatal(err)
	}
	c := w.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	if a := receive(t, c.answers, "answer"); a.body != "fine" {
		t.Errorf("%+v", a)
	}
	if _, err := file.WriteString(w.initialConfig); err != nil {
		t.Fatal(err)
	}
	closeOnce(t, file)
	w.eventually("taken over", func() bool { return w.metric("svc_cfg_accepted") == 1 })
}

// SIGHUP brings a new coordinator, whose numbers go on. What is open meanwhile is answered.
func TestReloadFollowsTheNewCoordinator(t *testing.T) {
	w := startTestEnv(t)
	receive(t, w.followLines, "follow")
	w.sendEvent(`{"index":2,"evict":{"shard":1,"unix_ms":1}}`)
	w.sendEvent("nonsense") // is answered by following anew, which shows that event 2 was taken
	receive(t, w.followLines, "follow")
	c := w.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	open := receive(t, w.cache.calls, "call")

	old := w.watchConn
	w.reload(old.LocalAddr().String(), w.startCoordinator())
	if got := receive(t, w.followLines, "follow"); got != "follow 2" || w.watchConn.LocalAddr().String() == old.LocalAddr().String() {
		t.Errorf("%q at %v", got, w.watchConn.LocalAddr())
	}
	open.answer("served", "-", "fine")
	if a := receive(t, c.answers, "answer"); a.body != "fine" {
		t.Errorf("%+v", a)
	}
}

// A configuration that is broken anywhere changes nothing, its coordinator included. A whole one brings its classes,
// and what they allow, while requests under way keep theirs.
func TestReloadTakesSettingsWholeOrNotAtAll(t *testing.T) {
	w := startTestEnv(t)
	receive(t, w.followLines, "follow")
	c := w.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	open := receive(t, w.cache.calls, "call")
	addr, elsewhere := w.watchConn.LocalAddr().String(), w.startCoordinator()
	for i, broken := range [][]string{
		{"", ""}, {"", "{"}, {addr, elsewhere, `"max-attempts":8`, `"max-attempts":0`},
		{addr, elsewhere, `"gain":1,"name":"artes"`, `"name":"artes"`}, {addr, elsewhere, `"settings"`, `"set"`},
		{addr, elsewhere, `"may-cancel":true,`, ""}, {addr, elsewhere, `"name":"artes"`, `"deadline-us":-5,"name":"artes"`},
		{addr, elsewhere, `"pass-on":[false,true]`, `"pass-on":[false]`}, {addr, elsewhere, `"zone":1`, `"zone":0`},
	} {
		w.reload(broken...)
		w.eventually("turned down", func() bool { return w.metric("svc_cfg_invalid") == i+1 })
	}
	c.request(2, "artes", longTimeoutMS, 2, "")
	receive(t, w.cache.calls, "call").answer("served", "-", "as before")
	if a := receive(t, c.answers, "answer"); a.body != "as before" || len(w.followLines) != 0 {
		t.Errorf("%+v, or another coordinator was followed", a)
	}
	// registro, which must not run twice, moves to where artes was; a new class takes its place.
	const artes, write = `{"gain":1,"name":"artes","promise-us":500000,"semantics":"read_like"}`,
		`{"gain":1,"name":"registro","promise-us":500000,"semantics":"non_idempotent"}`
	w.reload(artes+","+write, write+","+strings.Replace(artes, "artes", "nuevos", 1), `"pass-on":[false,true]`, `"pass-on":[true,false]`)
	w.eventually("taken over", func() bool { return w.metric("svc_cfg_accepted") == 1 })
	c.request(3, "registro", longTimeoutMS, 3, "x")
	receive(t, w.origin.calls, "call").answer("crashed", "-", "")
	if a := receive(t, c.answers, "answer"); a.status != "502" {
		t.Errorf("a write that may have run: %+v", a)
	}
	c.request(4, "nuevos", longTimeoutMS, 4, "")
	receive(t, w.cache.calls, "call").answer("served", "-", "new")
	if a := receive(t, c.answers, "answer"); a.body != "new" {
		t.Errorf("%+v", a)
	}
	c.request(5, "artes", longTimeoutMS, 5, "")
	if a := receive(t, c.answers, "answer"); a.status != "400" {
		t.Errorf("a class that is gone: %+v", a)
	}
	open.answer("served", "-", "fine")
	if a := receive(t, c.answers, "answer"); a.id != 1 || a.body != "fine" {
		t.Errorf("%+v", a)
	}
	w.checkMetrics(map[string]int{operationsMetric("artes", "fulfilled"): 2, operationsMetric("nuevos", "fulfilled"): 1, "svc_cfg_invalid": 9})
}

// The example must stay one that starts.
func TestExampleConfiguration(t *testing.T) {
	env := map[string]string{"BALANCER_CONFIG": "../../example/config.json", "BALANCER_LISTEN": "127.0.0.1:9", "BALANCER_NAME": "n7"}
	c, err := loadConfig(func(name string) string { return env[name] })
	if err != nil || c.listen.Port() != 9 || c.Name != "n7" || len(c.proxy.Settings.Policy.Classes) != 2 {
		t.Errorf("%+v %v", c, err)
	}
}

func TestBadConfiguration(t *testing.T) {
	for want, config := range map[string]any{
		"listen":      map[string]any{"listen": "nowhere"},
		"coordinator": map[string]any{"listen": "127.0.0.1:1", "coordinator": "nowhere"},
		"seed":        map[string]any{"listen": "127.0.0.1:1", "coordinator": "127.0.0.1:2", "seed": "xyz"},
		"limits":      map[string]any{"listen": "127.0.0.1:1", "coordinator": "127.0.0.1:2", "seed": "1"},
		"cannot":      []int{1},
	} {
		cmd, _ := programCommand(t, config)
		out, err := cmd.CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), want) {
			t.Errorf("%s: %v %q", want, err, out)
		}
	}
}

// A start configuration that is well formed but can't be served by ends the program with one line, not in a panic.
func TestUnservableConfiguration(t *testing.T) {
	for _, change := range [][]string{
		{`"zone":1`, `"zone":-1`}, {`"zone":1`, `"zone":7`}, {`"streams-per-conn":32`, `"streams-per-conn":-32`},
		{`"may-cancel"`, `"max-open":-1,"may-cancel"`}, {`"group-size":1`, `"group-size":-300`},
	} {
		w := newTestEnv(t)
		w.start(endpointEvent(1, true, endpoint("c1", "std", "edge", "SERVING", w.cache)))
		w.cmd.Process.Kill() //nolint:errcheck // only its configuration is of use
		text := strings.Replace(w.initialConfig, change[0], change[1], 1)
		if err := os.WriteFile(w.configPath, []byte(text), 0o600); err != nil || text == w.initialConfig {
			t.Fatal(change, err)
		}
		cmd := exec.Command(w.cmd.Path)
		cmd.Env = w.cmd.Env
		out, err := cmd.CombinedOutput()
		if err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), "settings: ") {
			t.Errorf("%s: %v %q", change[1], err, out)
		}
	}
}

// A lack of descriptors or memory that passes does not keep the program from starting.
func TestStartThoughCallsFail(t *testing.T) {
	for _, failure := range []string{"socket:ENFILE:1-3", "socket:ENOBUFS:2-5", "socket:ENOMEM:1-1"} {
		w := newTestEnv(t)
		w.extraEnv = []string{syscallFaultsEnv + "=" + failure}
		w.start(endpointEvent(1, true, endpoint("c1", "std", "edge", "SERVING", w.cache)))
		select {
		case err := <-w.exited:
			t.Errorf("%s: ended with %v", failure, err)
			continue
		case <-w.followLines:
		}
		w.awaitAlive("200")
		w.cmd.Process.Kill() //nolint:errcheck // the next one is another program
	}
}
