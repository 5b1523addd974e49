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
	// maxLogLine is the length of the longest line of a log that the timeline takes, in bytes.
	maxLogLine = 1 << 20
)

// logPipe opens a pipe for a program's log. One that is full from the start blocks every write until it is
// read.
func logPipe(full bool) (read, write *os.File, err error) {
	var ends [2]int
	if err := syscall.Pipe2(ends[:], syscall.O_CLOEXEC); err != nil {
		return nil, nil, err
	}
	read = os.NewFile(uintptr(ends[0]), "log")
	write = os.NewFile(uintptr(ends[1]), "log")
	if full {
		_, err = write.Write(bytes.Repeat([]byte("\n"), pipeSize))
	}
	return read, write, err
}

// readLog copies the log of an incarnation into the timeline, or leaves it unread until the exit.
func (p *process) readLog(log io.ReadCloser) {
	defer log.Close() //nolint:errcheck // it was only read
	p.mu.Lock()
	unread := p.logUnread
	exited := p.exited
	p.logUnread = false
	p.mu.Unlock()
	if unread {
		p.r.history.Logf(faultSource, "nobody reads the log of %s", p.name())
		<-exited
	}
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		if lines.Text() != "" {
			p.r.history.Logf(p.name(), "log: %s", lines.Text())
		}
	}
	io.Copy(io.Discard, log) //nolint:errcheck // what follows a line that is too long; only its end matters
}
