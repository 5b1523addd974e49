// Command faultproxy relays TCP connections on loopback and breaks their traffic as a script and its seed say.
// docs/faultproxy.md is its page for operators.
package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"cloverdoor/internal/fault"
	"cloverdoor/internal/relay"
)

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "faultproxy:", err)
		os.Exit(1)
	}
}

type options struct {
	script, log string
	check       bool
	compare     bool
	length      time.Duration
	seed        uint64
	logs        []string
}

func parse(args []string) (o options, err error) {
	flags := flag.NewFlagSet("faultproxy", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.StringVar(&o.script, "script", "", "`file` with the links and faults")
	flags.StringVar(&o.log, "log", "", "`file` for the faults that fired, one a line; else standard output")
	flags.BoolVar(&o.check, "check", false, "check the script and end")
	flags.BoolVar(&o.compare, "compare", false, "compare two logs, named as arguments")
	flags.DurationVar(&o.length, "for", 0, "end after this `time`; else at SIGINT or SIGTERM")
	flags.Uint64Var(&o.seed, "seed", 0, "`number` that goes before the script's seed")
	if err = flags.Parse(args); errors.Is(err, flag.ErrHelp) {
		fmt.Println("faultproxy -script FILE [flags], or faultproxy -compare LOG LOG")
		flags.SetOutput(os.Stdout)
		flags.PrintDefaults()
		os.Exit(0)
	}
	o.logs = flags.Args()
	switch {
	case err != nil:
	case o.compare && len(o.logs) != 2:
		err = fmt.Errorf("-compare takes two logs")
	case !o.compare && (o.script == "" || len(o.logs) > 0):
		err = fmt.Errorf("-script FILE is wanted, and no other argument; -help tells more")
	case o.length < 0:
		err = fmt.Errorf("-for %v is under 0", o.length)
	}
	return o, err
}

func run(args []string, out io.Writer) error {
	o, err := parse(args)
	if err != nil {
		return err
	}
	if o.compare {
		return compare(o.logs[0], o.logs[1], out)
	}
	text, err := os.ReadFile(o.script)
	if err != nil {
		return err
	}
	script, err := fault.Parse(string(text))
	if err != nil || o.check {
		return err
	}
	if o.seed != 0 {
		script.Seed = o.seed
	}
	if o.log != "" {
		file, err := os.Create(o.log)
		if err != nil {
			return err
		}
		defer file.Close() //nolint:errcheck // every line has been written by then
		out = file
	}
	return carryOut(script, o.length, out)
}

// carryOut relays until a signal or the end of its time.
func carryOut(script *fault.Script, length time.Duration, out io.Writer) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	var failed error
	r, err := relay.Start(script, func(e fault.Firing) {
		if _, err := fmt.Fprintln(out, e); err != nil {
			failed = err
		}
	})
	if err != nil {
		return err
	}
	for _, l := range script.Links {
		fmt.Fprintf(os.Stderr, "faultproxy: %s: %s to %s\n", l.Name, r.Addr(l.Name), l.Target)
	}
	var over <-chan time.Time
	if length > 0 {
		over = time.After(length)
	}
	select {
	case <-stop:
	case <-over:
	}
	r.Close()
	return failed
}

// compare says whether two logs hold the same faults. Connections run side by side, so the order of the lines is that
// of the run; within a connection and direction it is the plan's.
func compare(a, b string, out io.Writer) error {
	first, err := lines(a)
	if err != nil {
		return err
	}
	second, err := lines(b)
	if err != nil {
		return err
	}
	if slices.Equal(first, second) {
		fmt.Fprintf(out, "the same %d faults\n", len(first)) //nolint:errcheck // nothing follows
		return nil
	}
	for i := range max(len(first), len(second)) {
		if i >= len(first) || i >= len(second) || first[i] != second[i] {
			return fmt.Errorf("%s and %s differ: %d and %d faults; the first that differs is %q and %q",
				a, b, len(first), len(second), at(first, i), at(second, i))
		}
	}
	return nil
}

func at(list []string, i int) string {
	if i < len(list) {
		return list[i]
	}
	return "none"
}

// lines reads a log, sorted by connection and direction.
func lines(path string) (list []string, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close() //nolint:errcheck // it was only read
	in := bufio.NewScanner(file)
	for in.Scan() {
		list = append(list, in.Text())
	}
	key := func(line string) string {
		return strings.Join(strings.Fields(line)[:min(2, len(strings.Fields(line)))], " ")
	}
	slices.SortStableFunc(list, func(a, b string) int { return strings.Compare(key(a), key(b)) })
	return list, in.Err()
}
