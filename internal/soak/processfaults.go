package soak

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// connsAfterDrainOrder is how long after the order to drain clients still connect.
	connsAfterDrainOrder = 200 * time.Millisecond
	// dialRetryInterval is the time between two attempts of an idle client to connect.
	dialRetryInterval = 10 * time.Millisecond
)

// pause stops the process by SIGSTOP for a length of time.
func (p *process) pause(length time.Duration) {
	p.mu.Lock()
	incarnation := p.incarnation
	p.mu.Unlock()
	from := p.r.history.Now()
	p.signal(syscall.SIGSTOP)
	time.Sleep(length)
	p.signal(syscall.SIGCONT)
	p.r.history.withLock(func() { incarnation.Paused = append(incarnation.Paused, Span{from, p.r.history.Now()}) })
}

// signalInterval is the time between the signals of a series.
const signalInterval = 30 * time.Millisecond

// reloadInSeries orders new configurations in a row.
func (r *run) reloadInSeries(p *process, f Fault) {
	p.awaitReloadable()
	for range 3 {
		r.recordFailure(r.rewriteConfig(p, f))
		p.signal(reloadSignal)
		time.Sleep(signalInterval)
	}
}

// signalInSeries sends the present incarnation a series of signals, which come after its SIGTERM.
func (p *process) signalInSeries() {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	for i, s := range []os.Signal{reloadSignal, syscall.SIGTERM, syscall.SIGINT, reloadSignal, syscall.SIGTERM} {
		time.AfterFunc(time.Duration(i+1)*signalInterval, func() {
			cmd.Process.Signal(s) //nolint:errcheck // it may have exited
		})
	}
}

// truncateConfig cuts the configuration off in the middle.
func (p *process) truncateConfig() error {
	text, err := os.ReadFile(p.config)
	if err != nil {
		return err
	}
	return os.WriteFile(p.config, text[:len(text)/2], 0o600)
}

// drain orders the proxy to drain for a length of time. Clients stop connecting and follow its closes.
func (p *process) drain(length time.Duration) {
	status, err := p.callAdmin("PUT", "/ops/drain/start")
	if err != nil || status != statusOK {
		p.r.history.Logf(p.name(), "does not drain: %d %v", status, err)
		return
	}
	p.mu.Lock()
	incarnation := p.incarnation
	p.mu.Unlock()
	time.Sleep(connsAfterDrainOrder)
	p.stopConns(incarnation)
	time.Sleep(length)
	status, err = p.callAdmin("PUT", "/ops/drain/stop")
	if err != nil || status != statusOK {
		p.r.history.Logf(p.name(), "does not serve again: %d %v", status, err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.incarnation == incarnation && incarnation.SigtermAt == 0 && incarnation.ExitedAt == 0 {
		p.acceptsConns = true
	}
}

// connectIdleClients keeps as many idle connections open as half of the proxy's descriptors for a length of
// time: more than it keeps for clients. Each that the proxy closes is opened again.
func (p *process) connectIdleClients(length time.Duration) {
	var clients sync.WaitGroup
	end := time.Now().Add(length)
	for range p.r.limits.Descriptors / 2 {
		clients.Go(func() {
			for time.Now().Before(end) {
				p.connectIdleClient(end)
			}
		})
	}
	clients.Wait()
}

// connectIdleClient connects, and waits until the proxy closes the connection or a time has come.
func (p *process) connectIdleClient(end time.Time) {
	conn, err := net.DialTimeout("tcp", p.addr, dialTimeout)
	if err != nil {
		time.Sleep(dialRetryInterval)
		return
	}
	conn.SetReadDeadline(end)  //nolint:errcheck // it fails as the read does
	conn.Read(make([]byte, 1)) //nolint:errcheck // it is over when the read returns
	conn.Close()               //nolint:errcheck // the proxy may have closed it
}
