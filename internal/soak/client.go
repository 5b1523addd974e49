package soak

import (
	"encoding/binary"
	"fmt"
	"io"
	"time"
)

// pick returns a connection to ask on: one that is open, or a new one.
func (d *proxyClients) pick(admits bool) *clientConn {
	if len(d.conns) > 0 && (!admits || d.rng.Float64() < 0.85) {
		return d.conns[d.rng.IntN(len(d.conns))]
	}
	if !admits {
		return nil
	}
	c := d.dial()
	if c != nil {
		d.conns = append(d.conns, c)
	}
	return c
}

func (d *proxyClients) request(class string, wait time.Duration) *Request {
	n := d.rng.IntN(objects)
	return &Request{ID: fmt.Sprintf("%016x", d.rng.Uint64()), Class: class, Object: fmt.Sprintf("%016x", n), Group: n % groupsInUse,
		Proxy: d.p.number, Timeout: wait}
}

// read takes the answers until the connection ends.
func (c *clientConn) read() {
	defer c.closed()
	for {
		var head [recordHeader]byte
		if _, err := io.ReadFull(c.conn, head[:]); err != nil {
			return
		}
		content := make([]byte, int(binary.BigEndian.Uint16(head[4:]))+int(head[6]))
		if _, err := io.ReadFull(c.conn, content); err != nil {
			return
		}
		id := binary.BigEndian.Uint16(head[2:])
		switch head[1] {
		case 6:
			c.texts[id] = append(c.texts[id], content...)
		case 3:
			c.takeAnswer(id, content)
		}
	}
}
