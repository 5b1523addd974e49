package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// testEnv is the program and all that it talks to.
type testEnv struct {
	t                         *testing.T
	cmd                       *exec.Cmd
	configPath, initialConfig string // path of its configuration, and what it began with
	addr, adminAddr           string
	followLines               chan string // 'follow' lines
	mu                        sync.Mutex
	watchConn                 net.Conn
	coordinatorListener       net.Listener             // of the coordinator
	coordinatorDown           bool                     // it is down at the start
	coordinatorVia            func(addr string) string // where the program finds it instead; nil: at its own address
	cache, origin             *standIn
	exited                    chan error
	stderr                    *os.File     // of the program
	heldSocket                *os.File     // listening for clients, held by the platform; nil: the program listens by itself
	clock                     *manualClock // by which the program goes; nil: the system's
	memoryMB                  int          // megabytes that it may use
	extraEnv                  []string     // of the program, besides the usual
}

// startTestEnv starts the program with one cache and the origin known from the start, as event 1.
func startTestEnv(t *testing.T) *testEnv {
	t.Helper()
	w := newTestEnv(t)
	w.start(endpointEvent(1, true, endpoint("c1", "std", "edge", "SERVING", w.cache), endpoint("o1", "origin", "hub", "SERVING", w.origin)))
	w.awaitAlive("200")
	return w
}

func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	return &testEnv{t: t, followLines: make(chan string, 100), cache: newStandIn(t), origin: newStandIn(t), exited: make(chan error, 1), stderr: os.Stderr, memoryMB: 192}
}

func (w *testEnv) start(known ...any) {
	w.addr, w.adminAddr = freeAddr(w.t), freeAddr(w.t)
	coordinator := w.startCoordinator()
	if w.coordinatorVia != nil {
		coordinator = w.coordinatorVia(coordinator)
	}
	class := func(name, effect string) map[string]any {
		return map[string]any{"name": name, "semantics": effect, "promise-us": 500000, "gain": 1}
	}
	w.cmd, w.configPath = programCommand(w.t, map[string]any{
		"name": "n1", "listen": w.addr, "admin_addr": w.adminAddr, "seed": "8c1f30d27a5be964", "coordinator": coordinator,
		"limits": map[string]any{"cores": 1, "memory_mb": w.memoryMB, "sockets": 1024},
		"known":  map[string]any{"index": len(known), "updates": known},
		"settings": map[string]any{
			"areas": []string{"hub", "edge"}, "host-types": []string{"std", "parent", "origin"}, "zone": 1, "group-size": 1, "weight-source": "nominal",
			"classes": []any{class("artes", "read_like"), class("registro", "non_idempotent")},
			"domain": map[string]any{"direct": true, "root-kind": 2, "upper-kind": 1, "can-join": true, "pass-on": []bool{false, true},
				"cleared-within-us": 6000000, "purge-slack-us": 300000, "peers-fill": "location"},
			"limits": map[string]any{"connect-timeout-us": 400000, "conn-idle-us": 15000000, "streams-per-conn": 32,
				"max-attempts": 8, "may-cancel": true, "second-copies": true, "max-retry-after-us": 500000},
			"rules": map[string]any{"start-capacity": 1, "warm-within-us": 1, "fall-multiple": 2, "fall-us": 1000000},
		},
	})
	text, err := os.ReadFile(w.configPath)
	if err != nil {
		w.t.Fatal(err)
	}
	w.initialConfig = string(text)
	w.startProgram()
}

// startProgram starts the program that has been prepared.
func (w *testEnv) startProgram() {
	w.cmd.Stderr = w.stderr
	w.cmd.Env = append(w.cmd.Env, w.extraEnv...)
	if w.heldSocket != nil {
		w.cmd.ExtraFiles = []*os.File{w.heldSocket}
		w.cmd.Env = append(w.cmd.Env, "BALANCER_LISTEN_FD=3")
	}
	if w.clock != nil {
		w.clock.attach(w.cmd)
	}
	if err := w.cmd.Start(); err != nil {
		w.t.Fatal(err)
	}
	cmd := w.cmd
	go func() { w.exited <- cmd.Wait() }()
	w.t.Cleanup(func() { cmd.Process.Kill() }) //nolint:errcheck // it may have ended
}

// reload has the program read a changed configuration: each odd text of the first one is replaced by the next; in
// place of "" the next is the whole file.
func (w *testEnv) reload(changes ...string) {
	w.t.Helper()
	text := w.initialConfig
	for i := 0; i < len(changes); i += 2 {
		if changes[i] == "" {
			text = changes[i+1]
		} else if text = strings.Replace(text, changes[i], changes[i+1], 1); !strings.Contains(text, changes[i+1]) {
			w.t.Fatalf("%q is not in the configuration", changes[i])
		}
	}
	if err := os.WriteFile(w.configPath, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
	if err := w.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		w.t.Fatal(err)
	}
}

// startReplacement starts the program once more beside the running one, with an operators' address of its own.
func (w *testEnv) startReplacement() (old *exec.Cmd) {
	old, w.adminAddr = w.cmd, freeAddr(w.t)
	w.cmd = exec.Command(os.Args[0])
	w.cmd.Env = append(os.Environ(), "CLOVERDOOR_TEST_PROGRAM=1", "BALANCER_CONFIG="+w.configPath, "BALANCER_ADMIN_ADDR="+w.adminAddr)
	w.startProgram()
	return old
}

// programCommand returns a command that starts the programCommand, and the path of its configuration.
func programCommand(t *testing.T, config any) (cmd *exec.Cmd, path string) {
	t.Helper()
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	path = filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd = exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "CLOVERDOOR_TEST_PROGRAM=1", "BALANCER_CONFIG="+path)
	return cmd, path
}

// eventually tries until done.
func (w *testEnv) eventually(what string, done func() bool) {
	w.t.Helper()
	for end := time.Now().Add(testTimeout); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("never happened: %s", what)
		}
	}
}

func (w *testEnv) awaitAlive(status string) {
	w.t.Helper()
	w.eventually("/alive "+status, func() bool {
		conn, err := net.Dial("tcp", w.addr)
		if err != nil {
			return false
		}
		c := newClient(conn)
		defer closeOnce(w.t, conn)
		c.writeRequest(1, map[string]string{"SCRIPT_NAME": "/alive"}, "")
		got := receive(w.t, c.answers, "answer to /alive")
		return got.status == status
	})
}

// checkMemory checks the program's peak against its limit.
func (w *testEnv) checkMemory() {
	w.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.cmd.Process.Pid))
	if err != nil {
		w.t.Fatal(err)
	}
	_, peak, _ := strings.Cut(string(status), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(peak)[0])
	if w.t.Logf("%d KB at the peak", kb); err != nil || kb > 192<<10 {
		w.t.Errorf("%d KB at the peak, %v", kb, err)
	}
}

func mustAddr(t *testing.T, s string) netip.AddrPort {
	t.Helper()
	addr, err := netip.ParseAddrPort(s)
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// startWith starts the program with the cache and the origin at the given places.
func (w *testEnv) startWith(cache, origin net.Listener) {
	w.t.Helper()
	w.start(endpointEvent(1, true, endpoint("c1", "std", "edge", "SERVING", cache), endpoint("o1", "origin", "hub", "SERVING", origin)))
	w.awaitAlive("200")
}

func (w *testEnv) signal(signals ...os.Signal) {
	w.t.Helper()
	for _, s := range signals {
		if err := w.cmd.Process.Signal(s); err != nil {
			w.t.Fatal(err)
		}
	}
}

// awaitNotListening waits until the program has stopped listening: clients are sent away from then on.
func (w *testEnv) awaitNotListening() {
	w.t.Helper()
	w.eventually("no more connections taken", func() bool {
		conn, err := net.Dial("tcp", w.addr)
		if err == nil {
			closeOnce(w.t, conn)
		}
		return err != nil
	})
}

// pause stops the program's process until thaw is called: what is sent meanwhile arrives in one piece.
func (w *testEnv) pause() (thaw func()) {
	w.t.Helper()
	if err := w.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		w.t.Fatal(err)
	}
	w.eventually("every thread has stopped", func() bool {
		tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", w.cmd.Process.Pid))
		for _, task := range tasks {
			status, err := os.ReadFile(task)
			if err == nil && !strings.Contains(string(status), "State:\tT") {
				return false
			}
		}
		return err == nil
	})
	return func() {
		w.t.Helper()
		if err := w.cmd.Process.Signal(syscall.SIGCONT); err != nil {
			w.t.Fatal(err)
		}
	}
}
