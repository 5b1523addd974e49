package main

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["half-requests"] = halfRequests }

const (
	halfMemoryMB    = 192
	halfClients     = 60
	halfPerClient   = 32    // open requests on a connection, as the pages allow
	halfParamsBytes = 16000 // of one request
)

// halfRequest encodes a request up to the end of its parameters: its body never ends.
func halfRequest(id uint16) []byte {
	var list []string
	for n := 0; 4*n < halfParamsBytes; n++ {
		list = append(list, string([]byte{byte('!' + n%90), byte('!' + n/90)}), "")
	}
	b := append(begin(id), record(recordParams, id, pairs(list...))...)
	return append(b, record(recordParams, id, nil)...)
}

// halfRequests: clients that send half a request and then close must not cost the process its life.
func halfRequests(r *rig) (verdict, error) {
	servers, err := r.office(nil)
	if err != nil {
		return verdict{}, err
	}
	r.coordinator.publish(list(servers...))
	p, err := r.startProxy("n1", proxyConfig{memoryMB: halfMemoryMB, sockets: 1024, settings: settings()})
	if err != nil {
		return verdict{}, err
	}
	usual := &usualClient{r: r, p: p}
	if err := usual.ask(time.Second, 20*time.Millisecond); err != nil {
		return verdict{}, err
	}
	peak := r.watchMemory(p, halfMemoryMB)
	if r.trouble {
		sendHalfRequests(r, p)
	}
	if err := usual.ask(3*time.Second, 20*time.Millisecond); err != nil {
		return verdict{}, err
	}
	v := usual.judge()
	r.logf("peak of the process's memory: %d MiB of %d; killed by the platform: %v", peak.Load(), halfMemoryMB, p.ended())
	v.broken = v.broken || p.ended()
	return v, nil
}

// sendHalfRequests connects the bad clients, and closes their connections a second later.
func sendHalfRequests(r *rig, p *proxyProcess) {
	var message []byte
	for id := range halfPerClient {
		message = append(message, halfRequest(uint16(id+1))...)
	}
	for range halfClients {
		conn, err := net.Dial("tcp4", p.addr)
		if err != nil {
			break
		}
		go conn.Write(message)                               //nolint:errcheck // the proxy may have closed the connection
		time.AfterFunc(time.Second, func() { conn.Close() }) //nolint:errcheck // it may have ended
	}
	r.logf("bad clients: %d connected, sent %d half requests of %d bytes each, and close 1 s later", halfClients, halfPerClient,
		len(message)/halfPerClient)
}

// watchMemory plays the platform: it kills a process that has more memory than its limit. It returns the peak in MiB.
func (r *rig) watchMemory(p *proxyProcess, limitMB int) *atomic.Int64 {
	var peak atomic.Int64
	go func() {
		for !p.ended() {
			mb := int64(p.memoryMB())
			peak.Store(max(peak.Load(), mb))
			if mb > int64(limitMB) {
				r.logf("platform: the process has %d MiB, its limit is %d MiB: it is killed", mb, limitMB)
				p.signal(syscall.SIGKILL)
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	return &peak
}
