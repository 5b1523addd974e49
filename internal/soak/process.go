package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// process is one edge proxy: a place in the fleet, with one program after another in it.
type process struct {
	r               *run
	number          int
	addr, admin     string
	config          string
	mu              sync.Mutex
	cmd             *exec.Cmd
	incarnation     *Incarnation
	exited          chan struct{} // of the life under way
	acceptsConns    bool          // clients may connect
	acceptsRequests bool          // requests may be sent on connections that are open
	environment     []string      // of the next life
	logUnread       bool          // nobody reads its log in the next life
	settings        map[string]any
	faultMu         sync.Mutex // held by the trouble that it is in
	socket          *os.File   // for clients, held by the platform; nil: each program opens its own
}

// writeConfig writes the configuration with the events so far.
func (p *process) writeConfig() (known int, err error) {
	index, updates := p.r.coordinator.knownEvents()
	text, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("proxy-%d", p.number), "listen": p.addr, "admin_addr": p.admin, "seed": fmt.Sprintf("%x", p.r.seed+uint64(p.number)),
		"coordinator": p.r.coordinator.watchServers[p.number].addr, "flow_bytes_per_s": flowBytes,
		"limits":   map[string]any{"cores": 1, "memory_mb": p.r.limits.MemoryKB >> 10, "sockets": p.r.limits.Descriptors},
		"known":    map[string]any{"index": index, "updates": json.RawMessage(updates)},
		"settings": p.settings,
	})
	if err != nil {
		return 0, err
	}
	next := p.config + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return 0, err
	}
	return index, os.Rename(next, p.config)
}

// start begins a new life, and lets clients in when it is ready.
func (p *process) start() error {
	known, err := p.writeConfig()
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	number := 1
	if p.incarnation != nil {
		number = p.incarnation.Number + 1
	}
	p.incarnation = &Incarnation{Proxy: p.number, Number: number, StartedAt: p.r.h.Now(), KnownEvents: known}
	p.exited = make(chan struct{})
	p.cmd = exec.Command(p.r.options.Program)
	p.cmd.Env = append(append(os.Environ(), p.r.options.Environment...), "BALANCER_CONFIG="+p.config)
	p.cmd.Env = append(p.cmd.Env, p.environment...)
	if p.socket != nil {
		p.cmd.ExtraFiles = []*os.File{p.socket}
		p.cmd.Env = append(p.cmd.Env, fmt.Sprintf("BALANCER_LISTEN_FD=%d", firstExtraFile))
	}
	log, write, err := logPipe(p.logUnread)
	if err != nil {
		return err
	}
	p.cmd.Stderr = write
	err = p.cmd.Start()
	write.Close() //nolint:errcheck // the program has it
	if err != nil {
		return err
	}
	life, cmd, exited := p.incarnation, p.cmd, p.exited
	p.r.h.locked(func() { p.r.h.Incarnations = append(p.r.h.Incarnations, life) })
	p.r.h.Note(p.name(), "life %d begins, knows %d events, %v", number, known, p.environment)
	read := make(chan struct{})
	go func() {
		defer close(read)
		p.readLog(log)
	}()
	go p.recordExit(life, cmd, exited, read)
	go p.awaitReady(life, exited)
	return nil
}

func (p *process) name() string { return proxyName(p.number) }

// recordExit takes note of the end of a life.
func (p *process) recordExit(life *Incarnation, cmd *exec.Cmd, exited, read chan struct{}) {
	state, err := cmd.Process.Wait()
	p.r.h.locked(func() {
		life.ExitedAt = p.r.h.Now()
		if err != nil || !state.Success() {
			life.ExitError = fmt.Sprint(state, err)
		}
	})
	close(exited)
	<-read
	p.r.h.Note(p.name(), "life %d ended: %v", life.Number, state)
	p.mu.Lock()
	if p.incarnation == life {
		p.acceptsConns, p.acceptsRequests = false, false
	}
	p.mu.Unlock()
}

// awaitReady asks until the process says that it can serve.
func (p *process) awaitReady(life *Incarnation, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(10 * time.Millisecond):
		}
		status, err := p.call("GET", "/ops/readiness")
		if err != nil || status != 200 {
			continue
		}
		p.r.h.locked(func() { life.ReadyAt = p.r.h.Now() })
		p.r.h.Note(p.name(), "life %d is ready", life.Number)
		p.mu.Lock()
		if p.incarnation == life && life.SigtermAt == 0 {
			p.acceptsConns, p.acceptsRequests = true, true
		}
		p.mu.Unlock()
		return
	}
}

// signal sends one to the life under way.
func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd.Process.Signal(s) //nolint:errcheck // it may have ended
}

// runsAfter is how long after its start a program surely listens for signals: one that comes before ends it.
const runsAfter = 500 * time.Millisecond

// settledAfter is how long after a start the platform sends no order to read the configuration again.
const settledAfter = time.Second

// awaitState waits until the life under way has come so far, or has ended.
func (p *process) awaitState(reached func(l *Incarnation, age time.Duration) bool) {
	for done := false; !done; time.Sleep(10 * time.Millisecond) {
		p.mu.Lock()
		life := p.incarnation
		p.mu.Unlock()
		p.r.h.locked(func() { done = life.ExitedAt != 0 || reached(life, p.r.h.Now()-life.StartedAt) })
	}
}

// awaitRunning waits until the program listens for signals.
func (p *process) awaitRunning() {
	p.awaitState(func(l *Incarnation, age time.Duration) bool { return l.ReadyAt != 0 || age > runsAfter })
}

// awaitSettled waits until the process may be sent an order to read its configuration again.
func (p *process) awaitSettled() {
	p.awaitState(func(l *Incarnation, age time.Duration) bool { return l.ReadyAt != 0 && age > settledAfter })
}

// term ends the life as at a planned restart, and waits for its end. One that is late is killed.
func (p *process) term() {
	p.awaitRunning()
	p.mu.Lock()
	life, exited := p.incarnation, p.exited
	p.r.h.locked(func() { life.SigtermAt = p.r.h.Now() })
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	time.AfterFunc(250*time.Millisecond, func() { p.closeGate(life, &p.acceptsConns) })
	time.AfterFunc(450*time.Millisecond, func() { p.closeGate(life, &p.acceptsRequests) })
	select {
	case <-exited:
	case <-time.After(p.r.limits.MaxDeadline + killAfter + machineSlack):
		p.kill()
	}
}

// closeGate ends what clients may do in a life.
func (p *process) closeGate(life *Incarnation, gate *bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.incarnation == life {
		*gate = false
	}
}

// firstExtraFile is the descriptor of the first file that a program is given.
const firstExtraFile = 3

// holdSocket opens the clients' address for all programs to come.
func (p *process) holdSocket() error {
	ln, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	defer ln.Close() //nolint:errcheck // the file keeps the socket open
	p.socket, err = ln.(*net.TCPListener).File()
	return err
}

// replace starts the next life beside the one under way, on the same socket, and ends that when the next is ready.
func (p *process) replace() error {
	p.mu.Lock()
	old, cmd, exited := p.incarnation, p.cmd, p.exited
	p.admin = freeAddr(p.r.options.Host(10 + p.number))
	p.mu.Unlock()
	if err := p.start(); err != nil {
		return err
	}
	p.awaitState(func(l *Incarnation, _ time.Duration) bool { return l.ReadyAt != 0 })
	p.r.h.locked(func() { old.SigtermAt = p.r.h.Now() })
	cmd.Process.Signal(syscall.SIGTERM) //nolint:errcheck // it may have ended
	select {
	case <-exited:
	case <-time.After(p.r.limits.MaxDeadline + killAfter + machineSlack):
		p.r.h.locked(func() { old.KilledAt = p.r.h.Now() })
		cmd.Process.Kill() //nolint:errcheck // as above
		<-exited
	}
	return nil
}

// kill ends the life at once.
func (p *process) kill() {
	p.mu.Lock()
	life, exited := p.incarnation, p.exited
	p.acceptsConns, p.acceptsRequests = false, false
	p.r.h.locked(func() { life.KilledAt = p.r.h.Now() })
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	<-exited
}

// admission says what clients may do, and in which life.
func (p *process) admission() (admits, takes bool, life int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.incarnation == nil {
		return false, false, 0
	}
	return p.acceptsConns, p.acceptsRequests, p.incarnation.Number
}
