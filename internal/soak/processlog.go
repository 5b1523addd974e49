package soak

import (
	"bufio"
	"bytes"
	"io"
	"os"
	"syscall"
)

const (
	// pipeSize is the capacity of a pipe in bytes.
	pipeSize = 64 << 10
	// maxLogLine is the length in bytes of the longest log line that goes into the timeline.
	maxLogLine = 1 << 20
)

// logPipe opens a pipe for a process's log. If full is set, the pipe is filled, so that every write blocks until
// the pipe is read.
func logPipe(full bool) (reader, writer *os.File, err error) {
	var fds [2]int
	if err := syscall.Pipe2(fds[:], syscall.O_CLOEXEC); err != nil {
		return nil, nil, err
	}
	reader = os.NewFile(uintptr(fds[0]), "log")
	writer = os.NewFile(uintptr(fds[1]), "log")
	if full {
		_, err = writer.Write(bytes.Repeat([]byte("\n"), pipeSize))
	}
	return reader, writer, err
}

// readLog copies the log of an incarnation into the timeline. With logUnread set, it reads nothing until the
// incarnation has exited.
func (p *process) readLog(log io.ReadCloser) {
	defer log.Close() //nolint:errcheck // it was only read
	p.mu.Lock()
	unread := p.logUnread
	exited := p.exited
	p.logUnread = false
	p.mu.Unlock()
	if unread {
		p.r.history.Logf(faultSource, "the log of %s is not read until it exits", p.name())
		<-exited
	}
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if scanner.Text() != "" {
			p.r.history.Logf(p.name(), "log: %s", scanner.Text())
		}
	}
	io.Copy(io.Discard, log) //nolint:errcheck // drains the rest after a line that was too long
}
