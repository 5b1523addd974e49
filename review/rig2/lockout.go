package main

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"time"
)

func init() { cases["lockout"] = lockout }

const (
	lockoutSockets = 512
	lockoutClients = 250
	lockoutLength  = 6 * time.Second
)

// lockout: clients that send the same again as soon as they are turned away must free no request of a usual client of
// its answer.
func lockout(r *rig) (verdict, error) {
	servers, err := r.office(nil)
	if err != nil {
		return verdict{}, err
	}
	r.coordinator.publish(list(servers...))
	p, err := r.startProxy("n1", proxyConfig{memoryMB: 192, sockets: lockoutSockets, settings: settings()})
	if err != nil {
		return verdict{}, err
	}
	usual := &usualClient{r: r, p: p}
	if err := usual.ask(time.Second, 40*time.Millisecond); err != nil {
		return verdict{}, err
	}
	var answers, ended atomic.Int64
	if r.trouble {
		stop := time.Now().Add(lockoutLength)
		for range lockoutClients {
			conn, err := net.Dial("tcp4", p.addr)
			if err != nil {
				return verdict{}, err
			}
			r.onStop(func() { conn.Close() }) //nolint:errcheck // at the end
			go sendAgain(conn, stop, &answers, &ended)
		}
		r.logf("bad clients: %d connected; each asks for a class that does not exist, and again as soon as it is answered",
			lockoutClients)
	}
	if err := usual.ask(lockoutLength, 40*time.Millisecond); err != nil {
		return verdict{}, err
	}
	r.logf("bad clients: %d answers, %d connections ended by the proxy", answers.Load(), ended.Load())
	return usual.judge(), nil
}

// sendAgain sends a bad request, and the same again 20 ms after each answer.
func sendAgain(conn net.Conn, stop time.Time, answers, ended *atomic.Int64) {
	defer conn.Close() //nolint:errcheck // it may have ended
	in := bufio.NewReader(conn)
	for time.Now().Before(stop) {
		a := newAsk("nada", "00000000deadbeef", time.Second)
		if _, err := conn.Write(a.encode(1)); err != nil || awaitEnd(in) != nil {
			ended.Add(1)
			return
		}
		answers.Add(1)
		time.Sleep(20 * time.Millisecond)
	}
}

// awaitEnd reads up to an END_REQUEST record.
func awaitEnd(in *bufio.Reader) error {
	header := make([]byte, 8)
	for {
		if _, err := io.ReadFull(in, header); err != nil {
			return err
		}
		if _, err := in.Discard(int(binary.BigEndian.Uint16(header[4:])) + int(header[6])); err != nil {
			return err
		}
		if header[1] == recordEnd {
			return nil
		}
	}
}
