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

// programEnv is the environment variable that makes this test binary run as the program.
const programEnv = "CLOVERDOOR_TEST_PROGRAM"

const (
	// defaultMemoryMB is the memory limit of the program, in MiB, unless a test sets another.
	defaultMemoryMB = 192
	// testSockets is the limit of descriptors of the program, unless a test sets another.
	testSockets = 1024
	// retryInterval is the time between two checks of a condition in eventually.
	retryInterval = 5 * time.Millisecond
)

// testEnv is a program under test with its peers: a cache, the origin and the coordinator.
type testEnv struct {
	t             *testing.T
	cmd           *exec.Cmd
	configPath    string
	initialConfig string     // configuration text at the start
	addr          string     // address for clients
	adminAddr     string     // address for operators
	exited        chan error // result of Wait for each process that was started as env.cmd; nil: status 0
	cache, origin *fakeServer

	followLines         chan string              // lines that the program sends to the coordinator
	coordinatorListener net.Listener             // closed while the coordinator is down
	coordinatorDown     bool                     // at the start, the coordinator refuses connections
	relayCoordinator    func(addr string) string // returns the address of a relay to addr; nil: no relay
	mu                  sync.Mutex
	watchConn           net.Conn // current stream from the coordinator; guarded by mu

	// Set by a test before the start:
	stderr          *os.File      // standard error of the program
	inheritedSocket *os.File      // listening socket for clients, as the platform passes it; nil: the program opens its own
	clock           *manualClock  // clock of the program; nil: the system clock
	memoryMB        int           // memory limit of the program, MiB
	sockets         int           // limit of descriptors of the program
	classDeadline   time.Duration // deadline of the classes in the settings; 0: they have none
	extraEnv        []string      // additional environment variables of the program
}

// startTestEnv starts a program whose configuration holds event 1, with one cache and the origin, and waits until
// it serves.
func startTestEnv(t *testing.T) *testEnv {
	t.Helper()
	env := newTestEnv(t)
	env.start(fullList(env.cache.Addr(), env.origin.Addr()))
	env.awaitAliveStatus("200")
	return env
}

// newTestEnv starts a cache and an origin for a program that the test starts later.
func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	return &testEnv{
		t: t, followLines: make(chan string, 100), cache: newFakeServer(t), origin: newFakeServer(t), exited: make(chan error, 1),
		stderr: os.Stderr, memoryMB: defaultMemoryMB, sockets: testSockets,
	}
}

// start starts the coordinator, and the program with the given events in its configuration.
func (env *testEnv) start(events ...any) {
	env.addr = freeAddr(env.t)
	env.adminAddr = freeAddr(env.t)
	coordinator := env.startCoordinator()
	if env.relayCoordinator != nil {
		coordinator = env.relayCoordinator(coordinator)
	}
	class := func(name, semantics string) map[string]any {
		settings := map[string]any{"name": name, "semantics": semantics, "promise-us": 500000, "gain": 1}
		if env.classDeadline > 0 {
			settings["deadline-us"] = env.classDeadline.Microseconds()
		}
		return settings
	}
	env.cmd, env.configPath = programCommand(env.t, map[string]any{
		"name": "n1", "listen": env.addr, "admin_addr": env.adminAddr, "seed": "8c1f30d27a5be964", "coordinator": coordinator,
		"limits": map[string]any{"cores": 1, "memory_mb": env.memoryMB, "sockets": env.sockets},
		"known":  map[string]any{"index": len(events), "updates": events},
		"settings": map[string]any{
			"areas": []string{"hub", "edge"}, "host-types": []string{"std", "parent", "origin"}, "zone": 1, "group-size": 1,
			"weight-source": "nominal",
			"classes":       []any{class("artes", "read_like"), class("registro", "non_idempotent")},
			"domain": map[string]any{"direct": true, "root-kind": 2, "upper-kind": 1, "can-join": true, "pass-on": []bool{false, true},
				"cleared-within-us": 6000000, "purge-slack-us": 300000, "peers-fill": "location"},
			"limits": map[string]any{"connect-timeout-us": 400000, "conn-idle-us": 15000000, "streams-per-conn": 32,
				"max-attempts": 8, "may-cancel": true, "second-copies": true, "max-retry-after-us": 500000},
			"rules": map[string]any{"start-capacity": 1, "warm-within-us": 1, "fall-multiple": 2, "fall-us": 1000000},
		},
	})
	text, err := os.ReadFile(env.configPath)
	if err != nil {
		env.t.Fatal(err)
	}
	env.initialConfig = string(text)
	env.startProgram()
}

// startProgram starts env.cmd with the options that the test has set.
func (env *testEnv) startProgram() {
	env.cmd.Stderr = env.stderr
	env.cmd.Env = append(env.cmd.Env, env.extraEnv...)
	if env.inheritedSocket != nil {
		env.cmd.ExtraFiles = []*os.File{env.inheritedSocket}
		env.cmd.Env = append(env.cmd.Env, "BALANCER_LISTEN_FD=3")
	}
	if env.clock != nil {
		env.clock.attach(env.cmd)
	}
	if err := env.cmd.Start(); err != nil {
		env.t.Fatal(err)
	}
	cmd := env.cmd
	go func() { env.exited <- cmd.Wait() }()
	env.t.Cleanup(func() { cmd.Process.Kill() }) //nolint:errcheck // it may have exited
}

// reload writes a changed configuration and makes the program reload it. The changes are pairs of texts: the first
// must occur in the initial configuration and is replaced by the second. If the first is empty, the second is the
// whole configuration.
func (env *testEnv) reload(changes ...string) {
	env.t.Helper()
	text := env.initialConfig
	for i := 0; i < len(changes); i += 2 {
		oldText := changes[i]
		newText := changes[i+1]
		if oldText == "" {
			text = newText
			continue
		}
		text = strings.Replace(text, oldText, newText, 1)
		if !strings.Contains(text, newText) {
			env.t.Fatalf("%q is not in the configuration", oldText)
		}
	}
	if err := os.WriteFile(env.configPath, []byte(text), 0o600); err != nil {
		env.t.Fatal(err)
	}
	if err := env.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		env.t.Fatal(err)
	}
}

// startReplacement starts a second process beside the running one, with an admin address of its own, and returns
// the running one. From then on env.cmd and env.adminAddr are those of the second process.
func (env *testEnv) startReplacement() (oldCmd *exec.Cmd) {
	oldCmd = env.cmd
	env.adminAddr = freeAddr(env.t)
	env.cmd = exec.Command(os.Args[0])
	env.cmd.Env = append(os.Environ(), programEnv+"=1", "BALANCER_CONFIG="+env.configPath, "BALANCER_ADMIN_ADDR="+env.adminAddr)
	env.startProgram()
	return oldCmd
}

// programCommand writes a configuration file, and returns the command that starts the program with it and the path of
// the file.
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
	cmd.Env = append(os.Environ(), programEnv+"=1", "BALANCER_CONFIG="+path)
	return cmd, path
}

// eventually waits until a condition holds.
func (env *testEnv) eventually(description string, condition func() bool) {
	env.t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(retryInterval) {
		if time.Now().After(deadline) {
			env.t.Fatalf("timed out waiting for: %s", description)
		}
	}
}

// awaitAliveStatus waits until the program answers /alive with the given status.
func (env *testEnv) awaitAliveStatus(status string) {
	env.t.Helper()
	env.eventually("/alive "+status, func() bool {
		conn, err := net.Dial("tcp", env.addr)
		if err != nil {
			return false
		}
		c := newClient(conn)
		defer closeOnce(env.t, conn)
		c.writeRequest(1, map[string]string{"SCRIPT_NAME": "/alive"}, "")
		got := receive(env.t, c.answers, "answer to /alive")
		return got.status == status
	})
}

// checkMemory checks that the program's peak of resident memory is within the default limit.
func (env *testEnv) checkMemory() {
	env.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", env.cmd.Process.Pid))
	if err != nil {
		env.t.Fatal(err)
	}
	_, peak, _ := strings.Cut(string(status), "VmHWM:")
	const limitKB = defaultMemoryMB << 10
	kb, err := strconv.Atoi(strings.Fields(peak)[0])
	env.t.Logf("peak of resident memory: %d KB", kb)
	if err != nil || kb > limitKB {
		env.t.Errorf("peak of resident memory: %d KB, error %v, want at most the default limit", kb, err)
	}
}

// countDescriptors counts the open descriptors of a process.
func (env *testEnv) countDescriptors(pid int) int {
	env.t.Helper()
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		env.t.Fatal(err)
	}
	return len(descriptors)
}

// mustParseAddr parses an address.
func mustParseAddr(t *testing.T, s string) netip.AddrPort {
	t.Helper()
	addr, err := netip.ParseAddrPort(s)
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// startWith starts the program with the cache and the origin at the given addresses, and waits until it serves.
func (env *testEnv) startWith(cache, origin net.Addr) {
	env.t.Helper()
	env.start(fullList(cache, origin))
	env.awaitAliveStatus("200")
}

// signal sends signals to the program.
func (env *testEnv) signal(signals ...os.Signal) {
	env.t.Helper()
	for _, s := range signals {
		if err := env.cmd.Process.Signal(s); err != nil {
			env.t.Fatal(err)
		}
	}
}

// awaitNotListening waits until the program has stopped listening for clients.
func (env *testEnv) awaitNotListening() {
	env.t.Helper()
	env.eventually("connections are refused", func() bool {
		conn, err := net.Dial("tcp", env.addr)
		if err == nil {
			closeOnce(env.t, conn)
		}
		return err != nil
	})
}

// pause stops all threads of the program until resume is called. The program then finds everything that was sent
// meanwhile at once.
func (env *testEnv) pause() (resume func()) {
	env.t.Helper()
	return env.pauseProcess(env.cmd.Process)
}

// pauseProcess stops all threads of a process until resume is called.
func (env *testEnv) pauseProcess(process *os.Process) (resume func()) {
	env.t.Helper()
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		env.t.Fatal(err)
	}
	env.eventually("all threads have stopped", func() bool {
		tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", process.Pid))
		for _, task := range tasks {
			status, err := os.ReadFile(task)
			if err == nil && !strings.Contains(string(status), "State:\tT") {
				return false
			}
		}
		return err == nil
	})
	return func() {
		env.t.Helper()
		if err := process.Signal(syscall.SIGCONT); err != nil {
			env.t.Fatal(err)
		}
	}
}
