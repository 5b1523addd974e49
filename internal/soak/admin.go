package soak

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// call asks the operators' address.
func (p *process) call(method, path string) (status int, err error) {
	conn, err := net.DialTimeout("tcp", p.admin, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close() //nolint:errcheck // the response has been read
	if err := conn.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		return 0, err
	}
	if _, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: x\r\n\r\n", method, path); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// measure takes note of the memory and the descriptors held.
func (p *process) measure() {
	p.mu.Lock()
	life, pid := p.incarnation, p.cmd.Process.Pid
	p.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return
	}
	_, peak, _ := strings.Cut(string(status), "VmHWM:")
	kb := 0
	if fields := strings.Fields(peak); len(fields) > 0 {
		kb, _ = strconv.Atoi(fields[0])
	}
	descriptors, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	p.r.h.locked(func() {
		life.PeakMemoryKB = max(life.PeakMemoryKB, kb)
		life.PeakDescriptors = max(life.PeakDescriptors, len(descriptors))
	})
}
