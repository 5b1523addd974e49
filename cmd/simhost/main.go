// Command simhost hosts cloverdoor routers on the simulator's wire: batches on standard input, replies on
// standard output.
package main

import (
	"fmt"
	"os"

	"cloverdoor/internal/wire"
)

func main() {
	if err := wire.NewHost(os.Stderr).Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
