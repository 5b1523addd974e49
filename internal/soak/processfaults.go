package soak

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
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

// signalInterval is the time between two signals of a series.
const signalInterval = 30 * time.Millisecond

// reloadInSeries writes a configuration and sends the signal to reload it, three times in a row.
func (r *run) reloadInSeries(p *process, f Fault) {
	p.awaitReloadable()
	for range 3 {
		r.recordFailure(r.rewriteConfig(p, f))
		p.signal(reloadSignal)
		time.Sleep(signalInterval)
	}
}

// signalInSeries schedules a series of signals to the current incarnation, and returns at once. The caller ends the
// process by SIGTERM next, so the series follows that signal.
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

// truncateConfig truncates the configuration file to half its length.
func (p *process) truncateConfig() error {
	text, err := os.ReadFile(p.configPath)
	if err != nil {
		return err
	}
	return os.WriteFile(p.configPath, text[:len(text)/2], 0o600)
}

// connectIdleClients keeps idle connections open for a length of time, half as many as the proxy's limit on
// descriptors: more than the proxy keeps for clients. A connection that the proxy closes is opened again.
func (p *process) connectIdleClients(length time.Duration) {
	p.idleCrowds.Add(1)
	defer p.idleCrowds.Add(-1)
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

// connectIdleClient connects, and waits until the proxy closes the connection or end is reached.
func (p *process) connectIdleClient(end time.Time) {
	conn, err := net.DialTimeout("tcp", p.addr, dialTimeout)
	if err != nil {
		time.Sleep(dialRetryInterval)
		return
	}
	conn.SetReadDeadline(end)  //nolint:errcheck // if it fails, the read fails too
	conn.Read(make([]byte, 1)) //nolint:errcheck // any result ends the wait
	conn.Close()               //nolint:errcheck // the proxy may have closed it
}
