package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// firstExtraFD is the descriptor of the first file that a process inherits besides the standard ones.
const firstExtraFD = 3

const (
	// signalHandlingDelay is the time after its start from which a process is sure to handle signals. An earlier
	// signal would end the process.
	signalHandlingDelay = 500 * time.Millisecond
	// reloadableAge is the time after its start from which a proxy may be told to reload its configuration.
	reloadableAge = time.Second
	// statePollInterval is the time between two polls of a process's state.
	statePollInterval = 10 * time.Millisecond
	// connectTimeAfterSigterm and requestTimeAfterSigterm are the times after SIGTERM for which clients still connect
	// and make requests.
	connectTimeAfterSigterm = 400 * time.Millisecond
	requestTimeAfterSigterm = 600 * time.Millisecond
	// requestTimeUntilExit, in place of requestTimeAfterSigterm, lets clients make requests on their open connections
	// until the process has exited.
	requestTimeUntilExit = time.Hour
)

// process is one edge proxy of the fleet. Its incarnations are the processes that run one after another in its
// place. Two of them run at once while one takes over from the other.
type process struct {
	r          *run
	number     int
	addr       string // address for clients
	configPath string // path of the configuration file
	settings   map[string]any
	socket     *os.File     // listens for clients and is held by the soak test; nil: each incarnation opens its own
	adminAddr  string       // address for admin calls
	faultMu    sync.Mutex   // held while a fault of the proxy lasts
	idleCrowds atomic.Int32 // number of crowds of idle clients that are connected now

	// For the next incarnation:
	environment []string // environment variables in addition to those that all proxies get
	logUnread   bool     // the incarnation's log is not read before it has exited

	mu              sync.Mutex // guards the fields below
	cmd             *exec.Cmd  // command of the current incarnation
	incarnation     *Incarnation
	exited          chan struct{} // closed when the current incarnation has exited
	pids            map[int]int   // process IDs of the incarnations that run, by their numbers
	acceptsConns    bool          // clients may connect
	acceptsRequests bool          // clients may make requests on open connections
}

func (p *process) name() string { return proxyName(p.number) }

// writeConfig writes the configuration, which includes the events published so far, and returns the index of the
// last event.
func (p *process) writeConfig() (knownEvents int, err error) {
	index, updates := p.r.coordinator.knownEvents()
	encoded, err := json.Marshal(map[string]any{
		"name": p.name(), "listen": p.addr, "admin_addr": p.adminAddr, "seed": strconv.FormatUint(p.r.seed+uint64(p.number), 16),
		"coordinator": p.r.coordinator.addrFor(p.number), "flow_bytes_per_s": flowBytesPerSecond,
		"limits":   map[string]any{"cores": 1, "memory_mb": p.r.limits.MemoryKB / kbPerMB, "sockets": p.r.limits.Descriptors},
		"known":    map[string]any{"index": index, "updates": json.RawMessage(updates)},
		"settings": p.settings,
	})
	if err != nil {
		return 0, err
	}
	nextPath := p.configPath + ".next"
	if err := os.WriteFile(nextPath, encoded, 0o600); err != nil {
		return 0, err
	}
	return index, os.Rename(nextPath, p.configPath)
}

// start starts the next incarnation. Clients use it once it is ready.
func (p *process) start() error {
	lastEventIndex, err := p.writeConfig()
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	number := 1
	if p.incarnation != nil {
		number = p.incarnation.Number + 1
	}
	incarnation := &Incarnation{
		Proxy: p.number, Number: number, StartedAt: p.r.history.Now(), ConfigEventIndex: lastEventIndex,
	}
	cmd := p.command()
	exited := make(chan struct{})
	p.incarnation = incarnation
	p.cmd = cmd
	p.exited = exited
	log, err := p.startWithLog(cmd)
	if err != nil {
		return err
	}
	if p.pids == nil {
		p.pids = map[int]int{}
	}
	p.pids[number] = cmd.Process.Pid
	p.r.history.withLock(func() { p.r.history.Incarnations = append(p.r.history.Incarnations, incarnation) })
	p.r.history.Logf(p.name(), "incarnation %d starts, knows %d events, environment %v", number, lastEventIndex, p.environment)
	logRead := make(chan struct{})
	go func() {
		defer close(logRead)
		p.readLog(log)
	}()
	go p.recordExit(incarnation, cmd, exited, logRead)
	go p.awaitReady(incarnation, exited)
	return nil
}

// command returns the command that starts the next incarnation.
func (p *process) command() *exec.Cmd {
	cmd := exec.Command(p.r.options.Program)
	cmd.Env = append(os.Environ(), p.r.options.ProgramEnv...)
	cmd.Env = append(cmd.Env, "BALANCER_CONFIG="+p.configPath)
	cmd.Env = append(cmd.Env, p.environment...)
	if p.socket != nil {
		cmd.ExtraFiles = []*os.File{p.socket}
		cmd.Env = append(cmd.Env, fmt.Sprintf("BALANCER_LISTEN_FD=%d", firstExtraFD))
	}
	return cmd
}

// startWithLog starts a command and returns the read end of the pipe for its log.
func (p *process) startWithLog(cmd *exec.Cmd) (log io.ReadCloser, err error) {
	reader, writer, err := logPipe(p.logUnread)
	if err != nil {
		return nil, err
	}
	cmd.Stderr = writer
	err = cmd.Start()
	writer.Close() //nolint:errcheck // the program has its own descriptor
	return reader, err
}

// recordExit waits for the exit of an incarnation and records it. The timeline shows the exit after the
// incarnation's log.
func (p *process) recordExit(incarnation *Incarnation, cmd *exec.Cmd, exited chan<- struct{}, logRead <-chan struct{}) {
	state, err := cmd.Process.Wait()
	p.mu.Lock()
	delete(p.pids, incarnation.Number)
	p.mu.Unlock()
	p.r.history.withLock(func() {
		incarnation.ExitedAt = p.r.history.Now()
		if err != nil || !state.Success() {
			incarnation.ExitError = fmt.Sprint(state, err)
		}
	})
	close(exited)
	<-logRead
	p.r.history.Logf(p.name(), "incarnation %d exited: %v", incarnation.Number, state)
	p.stopConns(incarnation)
	p.stopRequests(incarnation)
}

// awaitReady polls the readiness of an incarnation until it is ready or has exited.
func (p *process) awaitReady(incarnation *Incarnation, exited <-chan struct{}) {
	for {
		select {
		case <-exited:
			return
		case <-time.After(statePollInterval):
		}
		status, err := p.callAdmin("GET", "/ops/readiness")
		if err == nil && status == statusOK {
			break
		}
	}
	p.r.history.withLock(func() { incarnation.ReadyAt = p.r.history.Now() })
	p.r.history.Logf(p.name(), "incarnation %d is ready", incarnation.Number)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.incarnation == incarnation && incarnation.SigtermAt == 0 {
		p.acceptsConns = true
		p.acceptsRequests = true
	}
}

// admission says whether clients may connect to a proxy and make requests.
type admission struct {
	acceptsConns    bool
	acceptsRequests bool
	incarnation     int // number of the current incarnation; 0: none has started
}

// admission returns what clients may do at present.
func (p *process) admission() admission {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.incarnation == nil {
		return admission{}
	}
	return admission{acceptsConns: p.acceptsConns, acceptsRequests: p.acceptsRequests, incarnation: p.incarnation.Number}
}

// stopConns makes clients stop connecting to an incarnation if it is still the current one.
func (p *process) stopConns(incarnation *Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.incarnation == incarnation {
		p.acceptsConns = false
	}
}

// stopRequests makes clients stop sending requests to an incarnation if it is still the current one.
func (p *process) stopRequests(incarnation *Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.incarnation == incarnation {
		p.acceptsRequests = false
	}
}

// awaitState waits until the current incarnation has exited or reached returns true for it and its age. reached is
// called with the history locked.
func (p *process) awaitState(reached func(inc *Incarnation, age time.Duration) bool) {
	for done := false; !done; time.Sleep(statePollInterval) {
		p.mu.Lock()
		incarnation := p.incarnation
		p.mu.Unlock()
		p.r.history.withLock(func() {
			done = incarnation.ExitedAt != 0 || reached(incarnation, p.r.history.Now()-incarnation.StartedAt)
		})
	}
}

// awaitSignalHandling waits until the current incarnation is sure to handle signals.
func (p *process) awaitSignalHandling() {
	p.awaitState(func(inc *Incarnation, age time.Duration) bool { return inc.ReadyAt != 0 || age > signalHandlingDelay })
}

// awaitReloadable waits until the proxy may be told to reload its configuration.
func (p *process) awaitReloadable() {
	p.awaitState(func(inc *Incarnation, age time.Duration) bool { return inc.ReadyAt != 0 && age > reloadableAge })
}

// signal sends a signal to the current incarnation.
func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd.Process.Signal(s) //nolint:errcheck // it may have exited
}

// terminate ends the current incarnation by SIGTERM, and kills it if it has not exited within maxShutdown. Clients of the
// kind of proxyClients make requests on open connections for requestTime after the signal.
func (p *process) terminate(requestTime time.Duration) {
	p.awaitSignalHandling()
	p.mu.Lock()
	incarnation := p.incarnation
	exited := p.exited
	p.r.history.withLock(func() { incarnation.SigtermAt = p.r.history.Now() })
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	time.AfterFunc(connectTimeAfterSigterm, func() { p.stopConns(incarnation) })
	time.AfterFunc(requestTime, func() { p.stopRequests(incarnation) })
	select {
	case <-exited:
	case <-time.After(p.maxShutdown()):
		p.kill()
	}
}

// maxShutdown returns the time after SIGTERM at which the platform kills a process that still runs: the longest
// deadline of the settings, but at most maxDeadline, plus killDelay.
func (p *process) maxShutdown() time.Duration {
	return min(classDeadline(p.number), maxDeadline) + killDelay
}

// kill ends the current incarnation by SIGKILL and waits for its exit.
func (p *process) kill() {
	p.mu.Lock()
	incarnation := p.incarnation
	exited := p.exited
	p.acceptsConns = false
	p.acceptsRequests = false
	p.r.history.withLock(func() { incarnation.KilledAt = p.r.history.Now() })
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	<-exited
}

// holdSocket listens on the clients' address. All incarnations inherit the socket.
func (p *process) holdSocket() error {
	listener, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	p.socket, err = listener.(*net.TCPListener).File()
	return errors.Join(err, listener.Close())
}

// replace starts the next incarnation on the same socket while the current one runs. When the new one is ready, or has
// exited, it ends the old one by SIGTERM, and kills it if it has not exited within maxShutdown. The new one gets another
// address for admin calls.
func (p *process) replace() error {
	p.mu.Lock()
	oldIncarnation := p.incarnation
	oldCmd := p.cmd
	oldExited := p.exited
	p.adminAddr = freeAddr(p.r.options.LoopbackAddr(proxyHost + p.number))
	p.mu.Unlock()
	if err := p.start(); err != nil {
		return err
	}
	p.awaitState(func(inc *Incarnation, _ time.Duration) bool { return inc.ReadyAt != 0 })
	p.r.history.withLock(func() { oldIncarnation.SigtermAt = p.r.history.Now() })
	oldCmd.Process.Signal(syscall.SIGTERM) //nolint:errcheck // it may have exited
	select {
	case <-oldExited:
	case <-time.After(p.maxShutdown()):
		p.r.history.withLock(func() { oldIncarnation.KilledAt = p.r.history.Now() })
		oldCmd.Process.Kill() //nolint:errcheck // it may have exited
		<-oldExited
	}
	return nil
}
