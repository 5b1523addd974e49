package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// longWait is how long a client waits, in milliseconds, where its time must not run out.
const longWait = 60_000

// freeze stops the program's process until thaw is called: what is sent meanwhile arrives in one piece.
func (w *world) freeze() (thaw func()) {
	w.t.Helper()
	if err := w.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		w.t.Fatal(err)
	}
	w.eventually("every thread has stopped", func() bool {
		tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", w.cmd.Process.Pid))
		for _, task := range tasks {
			status, err := os.ReadFile(task)
			if err == nil && !strings.Contains(string(status), "State:\tT") {
				return false
			}
		}
		return err == nil
	})
	return func() {
		w.t.Helper()
		if err := w.cmd.Process.Signal(syscall.SIGCONT); err != nil {
			w.t.Fatal(err)
		}
	}
}

// longer is more than the operators allow between a client's end and an attempt for it.
const longer = 150 * time.Millisecond
