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

const (
	statusOK     = http.StatusOK
	adminTimeout = 2 * time.Second
)

// callAdmin sends an HTTP request to the proxy's admin address and returns the status of the answer.
func (p *process) callAdmin(method, path string) (status int, err error) {
	conn, err := net.DialTimeout("tcp", p.adminAddr, dialTimeout)
	if err != nil {
		return 0, err
	}
	defer conn.Close() //nolint:errcheck // the answer has been read
	if err := conn.SetDeadline(time.Now().Add(adminTimeout)); err != nil {
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

// measure updates the peaks of memory and descriptors of the current incarnation.
func (p *process) measure() {
	p.mu.Lock()
	incarnation := p.incarnation
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return // the process has exited
	}
	memoryKB := peakMemoryKB(string(status))
	descriptors, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return
	}
	p.r.history.withLock(func() {
		incarnation.PeakMemoryKB = max(incarnation.PeakMemoryKB, memoryKB)
		incarnation.PeakDescriptors = max(incarnation.PeakDescriptors, len(descriptors))
	})
}

// peakMemoryKB returns the peak of the resident memory, in KB, from the text of a /proc status file. It returns 0 if
// the text has none because the process has exited.
func peakMemoryKB(status string) int {
	_, peak, _ := strings.Cut(status, "VmHWM:")
	fields := strings.Fields(peak)
	if len(fields) == 0 {
		return 0
	}
	kb, err := strconv.Atoi(fields[0])
	if err != nil {
		return 0
	}
	return kb
}
