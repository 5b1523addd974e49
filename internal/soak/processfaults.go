package soak

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// pause takes the core away for a time.
func (p *process) pause(length time.Duration) {
	p.mu.Lock()
	life := p.incarnation
	p.mu.Unlock()
	from := p.r.h.Now()
	p.signal(syscall.SIGSTOP)
	time.Sleep(length)
	p.signal(syscall.SIGCONT)
	p.r.h.locked(func() { life.Paused = append(life.Paused, [2]time.Duration{from, p.r.h.Now()}) })
}

// truncateConfig leaves a configuration that was cut off.
func (p *process) truncateConfig() error {
	text, err := os.ReadFile(p.config)
	if err != nil {
		return err
	}
	return os.WriteFile(p.config, text[:len(text)/2], 0o600)
}

// drain has the proxy emptied on an operator's order, and takes that back. Clients go as the front tells them to.
func (p *process) drain(length time.Duration) {
	if status, err := p.call("PUT", "/ops/drain/start"); err != nil || status != 200 {
		p.r.h.Note(p.name(), "does not drain: %d %v", status, err)
		return
	}
	p.mu.Lock()
	life := p.incarnation
	p.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	p.closeGate(life, &p.acceptsConns)
	time.Sleep(length)
	if status, err := p.call("PUT", "/ops/drain/stop"); err != nil || status != 200 {
		p.r.h.Note(p.name(), "does not serve again: %d %v", status, err)
		return
	}
	p.mu.Lock()
	if p.incarnation == life && life.SigtermAt == 0 && life.ExitedAt == 0 {
		p.acceptsConns = true
	}
	p.mu.Unlock()
}

// connectIdleClients has more clients connect and say nothing than the proxy has descriptors for, and again as soon as one is closed.
func (p *process) connectIdleClients(length time.Duration) {
	var idlers sync.WaitGroup
	end := time.Now().Add(length)
	for range p.r.limits.Descriptors / 2 {
		idlers.Go(func() {
			for time.Now().Before(end) {
				conn, err := net.DialTimeout("tcp", p.addr, time.Second)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				conn.SetReadDeadline(end)  //nolint:errcheck // shows in the read
				conn.Read(make([]byte, 1)) //nolint:errcheck // its end is waited for
				conn.Close()               //nolint:errcheck // as above
			}
		})
	}
	idlers.Wait()
}
