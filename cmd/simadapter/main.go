// Command simadapter runs policy routers on the simulator's wire: batches on standard input, replies on
// standard output.
package main

import (
	"fmt"
	"os"

	"cloverdoor/internal/simwire"
)

func main() {
	if err := simwire.NewHost(os.Stderr).Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
