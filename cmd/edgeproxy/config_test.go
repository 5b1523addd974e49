package main

import (
	"errors"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
)

// TestClosedLogPipe checks that the program continues when the reader of its log pipe is closed.
func TestClosedLogPipe(t *testing.T) {
	env := newTestEnv(t)
	r, log, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	closeOnce(t, r)
	defer closeOnce(t, log)
	env.stderr = log
	env.start()
	receive(t, env.followLines, "follow")
	env.sendEvent("nonsense") // is logged
	receive(t, env.followLines, "follow")
	env.awaitAliveStatus("503")
}

// fullPipe returns both ends of a pipe whose buffer is full: a write blocks until somebody reads.
func fullPipe(t *testing.T) (read, write *os.File) {
	t.Helper()
	var ends [2]int
	if err := syscall.Pipe2(ends[:], syscall.O_CLOEXEC); err != nil {
		t.Fatal(err)
	}
	read = os.NewFile(uintptr(ends[0]), "pipe")
	write = os.NewFile(uintptr(ends[1]), "pipe")
	t.Cleanup(func() {
		closeOnce(t, read)
		closeOnce(t, write)
	})
	if _, err := write.Write(make([]byte, 64<<10)); err != nil {
		t.Fatal(err)
	}
	return read, write
}

// TestFullLogPipe checks that a full log pipe delays neither requests, nor admin calls, nor the shutdown.
func TestFullLogPipe(t *testing.T) {
	env := newTestEnv(t)
	_, env.stderr = fullPipe(t)
	env.cache.answerAll("served", "-", "fine")
	env.start(fullList(env.cache.Addr(), env.origin.Addr()))
	receive(t, env.followLines, "follow")
	for _, line := range []string{"nonsense", "more of it", "and more"} {
		env.sendEvent(line) // is logged
		receive(t, env.followLines, "follow")
	}
	c := env.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	a := receive(t, c.answers, "answer")
	if a.body != "fine" {
		t.Errorf(`got answer %+v, want body "fine"`, a)
	}
	env.checkMetrics(map[string]int{operationsMetric("artes", "fulfilled"): 1})
	if err := env.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := receive(t, env.exited, "exit"); err != nil {
		t.Error(err)
	}
}

// TestSlowConfigurationFile checks that requests are served while a configuration file is slow to read, and that the
// configuration is applied afterwards.
func TestSlowConfigurationFile(t *testing.T) {
	env := startTestEnv(t)
	env.cache.answerAll("served", "-", "fine")
	if err := errors.Join(os.Remove(env.configPath), syscall.Mkfifo(env.configPath, 0o600)); err != nil {
		t.Fatal(err)
	}
	if err := env.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	file, err := os.OpenFile(env.configPath, os.O_WRONLY, 0) // returns when the program opens it for reading
	if err != nil {
		t.Fatal(err)
	}
	c := env.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	a := receive(t, c.answers, "answer")
	if a.body != "fine" {
		t.Errorf(`got answer %+v, want body "fine"`, a)
	}
	if _, err := file.WriteString(env.initialConfig); err != nil {
		t.Fatal(err)
	}
	closeOnce(t, file)
	env.eventually("the configuration is applied", func() bool { return env.metric("svc_cfg_accepted") == 1 })
}

// TestReloadFollowsTheNewCoordinator checks that a reload switches to a new coordinator and follows it from the
// current event index, and that requests in flight are answered.
func TestReloadFollowsTheNewCoordinator(t *testing.T) {
	env := startTestEnv(t)
	receive(t, env.followLines, "follow")
	env.sendEvent(`{"index":2,"evict":{"shard":1,"unix_ms":1}}`)
	env.sendEvent("nonsense") // makes the program reconnect, which shows that event 2 was applied
	receive(t, env.followLines, "follow")
	c := env.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	openCall := receive(t, env.cache.calls, "call")

	oldConn := env.watchConn
	env.reload(oldConn.LocalAddr().String(), env.startCoordinator())
	got := receive(t, env.followLines, "follow")
	if got != "follow 2" || env.watchConn.LocalAddr().String() == oldConn.LocalAddr().String() {
		t.Errorf(`got line %q at %v, want "follow 2" at the new coordinator`, got, env.watchConn.LocalAddr())
	}
	openCall.answer("served", "-", "fine")
	a := receive(t, c.answers, "answer")
	if a.body != "fine" {
		t.Errorf(`got answer %+v, want body "fine"`, a)
	}
}

// TestReloadAppliesAllSettingsOrNone checks that an invalid configuration changes nothing, not even the coordinator,
// and that a valid one applies only to new requests.
func TestReloadAppliesAllSettingsOrNone(t *testing.T) {
	env := startTestEnv(t)
	receive(t, env.followLines, "follow")
	c := env.dial()
	c.request(1, "artes", longTimeoutMS, 1, "")
	openCall := receive(t, env.cache.calls, "call")
	addr := env.watchConn.LocalAddr().String()
	otherAddr := env.startCoordinator()
	for i, invalidChanges := range [][]string{
		{"", ""}, {"", "{"}, {addr, otherAddr, `"max-attempts":8`, `"max-attempts":0`},
		{addr, otherAddr, `"gain":1,"name":"artes"`, `"name":"artes"`}, {addr, otherAddr, `"settings"`, `"set"`},
		{addr, otherAddr, `"may-cancel":true,`, ""}, {addr, otherAddr, `"name":"artes"`, `"deadline-us":-5,"name":"artes"`},
		{addr, otherAddr, `"pass-on":[false,true]`, `"pass-on":[false]`}, {addr, otherAddr, `"zone":1`, `"zone":0`},
		{addr, otherAddr, `"known":{"index":1,`, `"known":{`},
	} {
		env.reload(invalidChanges...)
		env.eventually("the configuration is rejected", func() bool { return env.metric("svc_cfg_invalid") == i+1 })
	}
	c.request(2, "artes", longTimeoutMS, 2, "")
	receive(t, env.cache.calls, "call").answer("served", "-", "as before")
	a := receive(t, c.answers, "answer")
	if a.body != "as before" || len(env.followLines) != 0 {
		t.Errorf("got answer %+v, or another coordinator was followed", a)
	}
	// The class registro, which is not idempotent, moves to the place of artes in the list, and a new class to the
	// place of registro.
	const artes, write = `{"gain":1,"name":"artes","promise-us":500000,"semantics":"read_like"}`,
		`{"gain":1,"name":"registro","promise-us":500000,"semantics":"non_idempotent"}`
	env.reload(artes+","+write, write+","+strings.Replace(artes, "artes", "nuevos", 1), `"pass-on":[false,true]`, `"pass-on":[true,false]`)
	env.eventually("the configuration is applied", func() bool { return env.metric("svc_cfg_accepted") == 1 })
	c.request(3, "registro", longTimeoutMS, 3, "x")
	receive(t, env.origin.calls, "call").answer("crashed", "-", "")
	a = receive(t, c.answers, "answer")
	if a.status != "502" {
		t.Errorf("a write that may have been executed: got answer %+v, want status 502", a)
	}
	c.request(4, "nuevos", longTimeoutMS, 4, "")
	receive(t, env.cache.calls, "call").answer("served", "-", "new")
	a = receive(t, c.answers, "answer")
	if a.body != "new" {
		t.Errorf(`got answer %+v, want body "new"`, a)
	}
	c.request(5, "artes", longTimeoutMS, 5, "")
	a = receive(t, c.answers, "answer")
	if a.status != "400" {
		t.Errorf("a removed class: got answer %+v, want status 400", a)
	}
	openCall.answer("served", "-", "fine")
	a = receive(t, c.answers, "answer")
	if a.id != 1 || a.body != "fine" {
		t.Errorf(`got answer %+v, want ID 1 and body "fine"`, a)
	}
	env.checkMetrics(map[string]int{operationsMetric("artes", "fulfilled"): 2, operationsMetric("nuevos", "fulfilled"): 1, "svc_cfg_invalid": 10})
}

// TestReloadAcceptsKeysThatMayBeAbsent checks that a valid configuration is applied, its coordinator too, whatever keys
// earlier ones had that it may lack: the optional keys of a class that is new or comes back, of the prices, and unknown
// ones. Such a file was rejected whole, and the program then heard of no event any more.
func TestReloadAcceptsKeysThatMayBeAbsent(t *testing.T) {
	env := startTestEnv(t)
	receive(t, env.followLines, "follow")
	const artes, registro = `{"gain":1,"name":"artes","promise-us":500000,"semantics":"read_like"}`,
		`{"gain":1,"name":"registro","promise-us":500000,"semantics":"non_idempotent"}`
	firstAddr := env.watchConn.LocalAddr().String()
	stretchedArtes := strings.Replace(artes, "{", `{"aim-stretch":2,`, 1)
	for i, step := range []struct {
		description string
		changes     []string
	}{
		{"one class, which has the optional key", []string{artes + "," + registro, stretchedArtes, "[false,true]", "[false]"}},
		{"a new class without it", []string{artes, stretchedArtes}},
		{"no class has it", nil},
		{"an optional price", []string{`"domain"`, `"costs":{"fleet":0.1,"waste":0.1},"domain"`}},
		{"the price is gone", []string{`"domain"`, `"costs":{"waste":0.1},"domain"`}},
		{"unknown keys", []string{`"domain"`, `"costs":{"waste":0.1,"novelty":1},"novelties":[{"a":1}],"domain"`, `"name":"n1"`, `"name":"n1","novelty":1`}},
		{"the unknown keys are gone", []string{`"domain"`, `"costs":{"waste":0.1},"domain"`}},
	} {
		env.reload(append(step.changes, firstAddr, env.startCoordinator())...)
		env.eventually(step.description+": the configuration is applied", func() bool { return env.metric("svc_cfg_accepted") == i+1 })
		if got := receive(t, env.followLines, "follow"); got != "follow 1" {
			t.Errorf(`%s: got line %q at the new coordinator, want "follow 1"`, step.description, got)
		}
	}
	env.checkMetrics(map[string]int{"svc_cfg_invalid": 0})
}

// TestExampleConfiguration checks that example/config.json loads.
func TestExampleConfiguration(t *testing.T) {
	env := map[string]string{"BALANCER_CONFIG": "../../example/config.json", "BALANCER_LISTEN": "127.0.0.1:9", "BALANCER_NAME": "n7"}
	c, err := loadConfig(func(name string) string { return env[name] })
	if err != nil || c.listenAddr.Port() != 9 || c.Name != "n7" || len(c.proxy.Settings.Policy.Classes) != 2 {
		t.Errorf("got configuration %+v, error %v, want the values of the environment and two classes", c, err)
	}
}

// TestInvalidConfiguration checks that an invalid configuration ends the program with an error of one line.
func TestInvalidConfiguration(t *testing.T) {
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
			t.Errorf("want an error about %s: got error %v, output %q", want, err, out)
		}
	}
}

// TestInvalidSettings checks that well-formed settings with invalid values end the program with an error of one
// line, and not with a panic.
func TestInvalidSettings(t *testing.T) {
	for _, change := range [][]string{
		{`"zone":1`, `"zone":-1`}, {`"zone":1`, `"zone":7`}, {`"streams-per-conn":32`, `"streams-per-conn":-32`},
		{`"may-cancel"`, `"max-open":-1,"may-cancel"`}, {`"group-size":1`, `"group-size":-300`},
	} {
		env := newTestEnv(t)
		env.start(endpointEvent(1, true, endpoint("c1", "std", "edge", "SERVING", env.cache.Addr())))
		env.cmd.Process.Kill() //nolint:errcheck // only its configuration is needed
		text := strings.Replace(env.initialConfig, change[0], change[1], 1)
		if err := os.WriteFile(env.configPath, []byte(text), 0o600); err != nil || text == env.initialConfig {
			t.Fatal(change, err)
		}
		cmd := exec.Command(env.cmd.Path)
		cmd.Env = env.cmd.Env
		out, err := cmd.CombinedOutput()
		if err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), "settings: ") {
			t.Errorf("%s: got error %v, output %q, want an error of one line about the settings", change[1], err, out)
		}
	}
}

// TestStartIsRetriedOnResourceShortage checks that the program starts although it lacks descriptors or memory at
// first.
func TestStartIsRetriedOnResourceShortage(t *testing.T) {
	for _, failure := range []string{"socket:ENFILE:1-3", "socket:ENOBUFS:2-5", "socket:ENOMEM:1-1"} {
		env := newTestEnv(t)
		env.extraEnv = []string{syscallFaultsEnv + "=" + failure}
		env.start(endpointEvent(1, true, endpoint("c1", "std", "edge", "SERVING", env.cache.Addr())))
		select {
		case err := <-env.exited:
			t.Errorf("%s: exited with %v, want it to serve", failure, err)
			continue
		case <-env.followLines:
		}
		env.awaitAliveStatus("200")
		env.cmd.Process.Kill() //nolint:errcheck // the next case starts another process
	}
}
