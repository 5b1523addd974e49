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
	w := prepare(t)
	r, log, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	closeOnce(t, r)
	defer closeOnce(t, log)
	w.log = log
	w.start()
	receive(t, w.follows, "follow")
	w.tell("nonsense") // is logged
	receive(t, w.follows, "follow")
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
	w := prepare(t)
	_, w.log = fullPipe(t)
	w.cache.serve("served", "-", "fine")
	w.start(list(1, true, member("c1", "std", "edge", "SERVING", w.cache), member("o1", "origin", "hub", "SERVING", w.origin)))
	receive(t, w.follows, "follow")
	for _, line := range []string{"nonsense", "more of it", "and more"} {
		w.tell(line) // is logged
		receive(t, w.follows, "follow")
	}
	c := w.dial()
	c.ask(1, "artes", longWait, 1, "")
	if a := receive(t, c.answers, "answer"); a.body != "fine" {
		t.Errorf("%+v", a)
	}
	w.checkFigures(map[string]int{operations("artes", "fulfilled"): 1})
	if err := w.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := receive(t, w.exit, "exit"); err != nil {
		t.Error(err)
	}
}

// A configuration file that takes long to read holds up nobody; it is taken over once it has been read.
func TestSlowConfigurationFile(t *testing.T) {
	w := newWorld(t)
	w.cache.serve("served", "-", "fine")
	if err := errors.Join(os.Remove(w.config), syscall.Mkfifo(w.config, 0o600)); err != nil {
		t.Fatal(err)
	}
	if err := w.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	file, err := os.OpenFile(w.config, os.O_WRONLY, 0) // comes back when the program has opened it to read
	if err != nil {
		t.Fatal(err)
	}
	c := w.dial()
	c.ask(1, "artes", longWait, 1, "")
	if a := receive(t, c.answers, "answer"); a.body != "fine" {
		t.Errorf("%+v", a)
	}
	if _, err := file.WriteString(w.text); err != nil {
		t.Fatal(err)
	}
	closeOnce(t, file)
	w.eventually("taken over", func() bool { return w.figure("svc_cfg_accepted") == 1 })
}

// SIGHUP brings a new coordinator, whose numbers go on. What is open meanwhile is answered.
func TestReloadFollowsTheNewCoordinator(t *testing.T) {
	w := newWorld(t)
	receive(t, w.follows, "follow")
	w.tell(`{"index":2,"evict":{"shard":1,"unix_ms":1}}`)
	w.tell("nonsense") // is answered by following anew, which shows that event 2 was taken
	receive(t, w.follows, "follow")
	c := w.dial()
	c.ask(1, "artes", longWait, 1, "")
	open := receive(t, w.cache.calls, "call")

	old := w.feed
	w.reload(old.LocalAddr().String(), w.coordinator())
	if got := receive(t, w.follows, "follow"); got != "follow 2" || w.feed.LocalAddr().String() == old.LocalAddr().String() {
		t.Errorf("%q at %v", got, w.feed.LocalAddr())
	}
	open.answer("served", "-", "fine")
	if a := receive(t, c.answers, "answer"); a.body != "fine" {
		t.Errorf("%+v", a)
	}
}

// A configuration that is broken anywhere changes nothing, its coordinator included. A whole one brings its classes,
// and what they allow, while requests under way keep theirs.
func TestReloadTakesSettingsWholeOrNotAtAll(t *testing.T) {
	w := newWorld(t)
	receive(t, w.follows, "follow")
	c := w.dial()
	c.ask(1, "artes", longWait, 1, "")
	open := receive(t, w.cache.calls, "call")
	addr, elsewhere := w.feed.LocalAddr().String(), w.coordinator()
	for i, broken := range [][]string{
		{"", ""}, {"", "{"}, {addr, elsewhere, `"max-attempts":8`, `"max-attempts":0`},
		{addr, elsewhere, `"gain":1,"name":"artes"`, `"name":"artes"`}, {addr, elsewhere, `"settings"`, `"set"`},
		{addr, elsewhere, `"may-cancel":true,`, ""}, {addr, elsewhere, `"name":"artes"`, `"deadline-us":-5,"name":"artes"`},
		{addr, elsewhere, `"pass-on":[false,true]`, `"pass-on":[false]`}, {addr, elsewhere, `"zone":1`, `"zone":0`},
	} {
		w.reload(broken...)
		w.eventually("turned down", func() bool { return w.figure("svc_cfg_invalid") == i+1 })
	}
	c.ask(2, "artes", longWait, 2, "")
	receive(t, w.cache.calls, "call").answer("served", "-", "as before")
	if a := receive(t, c.answers, "answer"); a.body != "as before" || len(w.follows) != 0 {
		t.Errorf("%+v, or another coordinator was followed", a)
	}
	// registro, which must not run twice, moves to where artes was; a new class takes its place.
	const artes, write = `{"gain":1,"name":"artes","promise-us":500000,"semantics":"read_like"}`,
		`{"gain":1,"name":"registro","promise-us":500000,"semantics":"non_idempotent"}`
	w.reload(artes+","+write, write+","+strings.Replace(artes, "artes", "nuevos", 1), `"pass-on":[false,true]`, `"pass-on":[true,false]`)
	w.eventually("taken over", func() bool { return w.figure("svc_cfg_accepted") == 1 })
	c.ask(3, "registro", longWait, 3, "x")
	receive(t, w.origin.calls, "call").answer("crashed", "-", "")
	if a := receive(t, c.answers, "answer"); a.status != "502" {
		t.Errorf("a write that may have run: %+v", a)
	}
	c.ask(4, "nuevos", longWait, 4, "")
	receive(t, w.cache.calls, "call").answer("served", "-", "new")
	if a := receive(t, c.answers, "answer"); a.body != "new" {
		t.Errorf("%+v", a)
	}
	c.ask(5, "artes", longWait, 5, "")
	if a := receive(t, c.answers, "answer"); a.status != "400" {
		t.Errorf("a class that is gone: %+v", a)
	}
	open.answer("served", "-", "fine")
	if a := receive(t, c.answers, "answer"); a.id != 1 || a.body != "fine" {
		t.Errorf("%+v", a)
	}
	w.checkFigures(map[string]int{operations("artes", "fulfilled"): 2, operations("nuevos", "fulfilled"): 1, "svc_cfg_invalid": 9})
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
		cmd, _ := program(t, config)
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
		w := prepare(t)
		w.start(list(1, true, member("c1", "std", "edge", "SERVING", w.cache)))
		w.cmd.Process.Kill() //nolint:errcheck // only its configuration is of use
		text := strings.Replace(w.text, change[0], change[1], 1)
		if err := os.WriteFile(w.config, []byte(text), 0o600); err != nil || text == w.text {
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
		w := prepare(t)
		w.environment = []string{brokenCalls + "=" + failure}
		w.start(list(1, true, member("c1", "std", "edge", "SERVING", w.cache)))
		select {
		case err := <-w.exit:
			t.Errorf("%s: ended with %v", failure, err)
			continue
		case <-w.follows:
		}
		w.awaitAlive("200")
		w.cmd.Process.Kill() //nolint:errcheck // the next one is another program
	}
}
