package main

import (
	"net"
	"sync/atomic"
	"time"
)

func init() { cases["flood"] = flood }

const (
	floodClients = 60
	floodLength  = 5 * time.Second
)

// flood: clients that send requests without an id at full speed must free no request of a usual client of its answer.
func flood(r *rig) (verdict, error) {
	servers, err := r.office(nil)
	if err != nil {
		return verdict{}, err
	}
	r.coordinator.publish(list(servers...))
	p, err := r.startProxy("n1", proxyConfig{memoryMB: 192, sockets: 1024, settings: settings()})
	if err != nil {
		return verdict{}, err
	}
	usual := &usualClient{r: r, p: p}
	if err := usual.ask(time.Second, 40*time.Millisecond); err != nil {
		return verdict{}, err
	}
	var sent, received atomic.Int64
	if r.trouble {
		end := time.Now().Add(floodLength)
		for range floodClients {
			if err := floodFrom(p, end, &sent, &received); err != nil {
				return verdict{}, err
			}
		}
		r.logf("bad clients: %d connected, send requests without an id for %v, and read the answers", floodClients, floodLength)
	}
	if err := usual.ask(floodLength, 40*time.Millisecond); err != nil {
		return verdict{}, err
	}
	r.logf("bad clients: sent %d kB, received %d kB; the process has %d MiB", sent.Load()>>10, received.Load()>>10, p.memoryMB())
	return usual.judge(), nil
}

// badRequests encodes complete requests that have no id.
func badRequests() []byte {
	var message []byte
	for n := range 1000 {
		id := uint16(n%30 + 1)
		message = append(message, begin(id)...)
		message = append(message, record(recordParams, id, pairs("SCRIPT_NAME", "/ops/fichas", "HTTP_REQ_WAIT_MS", "1500"))...)
		message = append(message, record(recordParams, id, nil)...)
		message = append(message, record(recordStdin, id, nil)...)
	}
	return message
}

// floodFrom connects one bad client. It reads all that it is sent, and closes at the end.
func floodFrom(p *proxyProcess, end time.Time, sent, received *atomic.Int64) error {
	conn, err := net.Dial("tcp4", p.addr)
	if err != nil {
		return err
	}
	p.r.onStop(func() { conn.Close() }) //nolint:errcheck // at the end
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, err := conn.Read(buffer)
			received.Add(int64(n))
			if err != nil {
				return
			}
		}
	}()
	message := badRequests()
	go func() {
		defer conn.Close()         //nolint:errcheck // it may have ended
		conn.SetWriteDeadline(end) //nolint:errcheck // the writes end with the proxy, too
		for time.Now().Before(end) {
			n, err := conn.Write(message)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}()
	return nil
}
