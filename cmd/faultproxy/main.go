// Command faultproxy relays TCP connections on loopback and injects faults into them, as a script and its seed
// say. docs/faultproxy.md describes it for operators.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
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

// options are the flags and arguments of the command line.
type options struct {
	script   string        // path; required unless compare is set
	log      string        // path; empty: standard output
	check    bool          // only check the script
	compare  bool          // only compare two logs
	duration time.Duration // of the run; 0: until a signal
	seed     uint64        // 0: the seed of the script
	logs     []string      // paths of the logs to compare
}

// parseOptions parses the command line. For -help it prints the flags and exits.
func parseOptions(args []string) (o options, err error) {
	flags := flag.NewFlagSet("faultproxy", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.StringVar(&o.script, "script", "", "`file` with the links and faults")
	flags.StringVar(&o.log, "log", "", "`file` to write the fired faults to, one per line; default: standard output")
	flags.BoolVar(&o.check, "check", false, "check the script and exit")
	flags.BoolVar(&o.compare, "compare", false, "compare the two logs that are named as arguments")
	flags.DurationVar(&o.duration, "for", 0, "exit after this `time`; default: at SIGINT or SIGTERM")
	flags.Uint64Var(&o.seed, "seed", 0, "`number` that overrides the script's seed")
	err = flags.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		fmt.Println("faultproxy -script FILE [flags], or faultproxy -compare LOG LOG")
		flags.SetOutput(os.Stdout)
		flags.PrintDefaults()
		os.Exit(0)
	}
	if err != nil {
		return o, err
	}
	o.logs = flags.Args()
	return o, o.validate()
}

func (o options) validate() error {
	if o.compare && len(o.logs) != 2 {
		return errors.New("-compare requires two logs")
	}
	if !o.compare && (o.script == "" || len(o.logs) > 0) {
		return errors.New("-script FILE is required, without further arguments; see -help")
	}
	if o.duration < 0 {
		return fmt.Errorf("-for must be at least 0, but is %v", o.duration)
	}
	return nil
}

func run(args []string, out io.Writer) error {
	o, err := parseOptions(args)
	if err != nil {
		return err
	}
	if o.compare {
		return compareLogs(o.logs[0], o.logs[1], out)
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
		defer file.Close() //nolint:errcheck // each line is written when its fault fires; run returns the error of a failed write
		out = file
	}
	return relayUntilStopped(script, o.duration, out)
}

// relayUntilStopped relays until SIGINT or SIGTERM or, unless duration is 0, until duration has passed. It logs each
// fault that fires. It returns the last error of a write to the log.
func relayUntilStopped(script *fault.Script, duration time.Duration, log io.Writer) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	var logErr error
	r, err := relay.Start(script, func(f fault.Firing) {
		if _, err := fmt.Fprintln(log, f); err != nil {
			logErr = err
		}
	})
	if err != nil {
		return err
	}
	for _, l := range script.Links {
		fmt.Fprintf(os.Stderr, "faultproxy: %s: %s to %s\n", l.Name, r.Addr(l.Name), l.Target)
	}
	var timeout <-chan time.Time
	if duration > 0 {
		timeout = time.After(duration)
	}
	select {
	case <-stop:
	case <-timeout:
	}
	r.Close()
	return logErr
}
