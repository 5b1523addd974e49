// Command simadapter runs policy routers for the simulator: it reads batches of events from standard input and
// writes the replies to standard output and log messages to standard error. It exits with status 1 on an error,
// such as malformed input.
package main

import (
	"fmt"
	"os"

	"cloverdoor/internal/simwire"
)

func main() {
	host := simwire.NewHost(os.Stderr)
	if err := host.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
