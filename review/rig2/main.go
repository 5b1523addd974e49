// Command rig2 runs one case of the second review: it starts the edge proxy by the deploy file's command, plays the
// coordinator, the servers, the clients and the platform around it on loopback addresses, and writes what was sent,
// answered and run. Its exit status is 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"time"
)

// maxRunTime is the longest time that a case may take.
const maxRunTime = 110 * time.Second

// verdict says whether the rule was broken, and how.
type verdict struct {
	broken bool
	text   string
}

// cases holds the cases by name. Each starts from a rig without processes.
var cases = map[string]func(r *rig) (verdict, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "usage: rig2 CASE RECORD; cases: %v\n", names)
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs a case, writes its record and returns the exit status.
func runCase(name, recordPath string) int {
	r, err := newRig(recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	time.AfterFunc(maxRunTime, func() { r.giveUp(fmt.Sprintf("it took over %v", maxRunTime)) })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		r.giveUp(fmt.Sprintf("%v", <-signals))
	}()
	v, err := cases[name](r)
	r.stopAll()
	status := 0
	switch {
	case err != nil:
		r.logf("the case could not run: %v", err)
		status = 2
	case v.broken:
		r.logf("RULE BROKEN: %s", v.text)
		status = 1
	default:
		r.logf("the rule held: %s", v.text)
	}
	if err := r.closeRecord(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	return status
}

// giveUp ends a run that can't be completed, with all that it has started.
func (r *rig) giveUp(reason string) {
	r.logf("the case could not run: %s", reason)
	r.stopAll()
	r.closeRecord() //nolint:errcheck // it did not run
	os.Exit(2)
}
