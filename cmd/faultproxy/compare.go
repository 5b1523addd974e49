package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

// compareLogs returns an error unless two logs hold the same faults. Connections run concurrently, so
// the order of their lines differs between runs and is ignored. The order within one direction of a connection is
// fixed by the plan and is compared.
func compareLogs(pathA, pathB string, out io.Writer) error {
	linesA, err := readSorted(pathA)
	if err != nil {
		return err
	}
	linesB, err := readSorted(pathB)
	if err != nil {
		return err
	}
	if slices.Equal(linesA, linesB) {
		fmt.Fprintf(out, "the same %d faults\n", len(linesA)) //nolint:errcheck // the exit status says the same
		return nil
	}
	first := firstDifference(linesA, linesB)
	return fmt.Errorf("%s and %s differ: %d and %d faults; the first difference is %q and %q",
		pathA, pathB, len(linesA), len(linesB), lineAt(linesA, first), lineAt(linesB, first))
}

// firstDifference returns the index of the first line in which two unequal logs differ.
func firstDifference(a, b []string) int {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return i
		}
	}
	return min(len(a), len(b))
}

// lineAt returns line i, or "none" if the log is shorter.
func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "none"
}

// readSorted reads a log and sorts its lines by connection and direction, keeping the order within each direction.
func readSorted(path string) (lines []string, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close() //nolint:errcheck // it was only read
	in := bufio.NewScanner(file)
	for in.Scan() {
		lines = append(lines, in.Text())
	}
	slices.SortStableFunc(lines, func(a, b string) int { return strings.Compare(streamOf(a), streamOf(b)) })
	return lines, in.Err()
}

// streamOf returns the first two fields of a log line: connection and direction.
func streamOf(line string) string {
	fields := strings.Fields(line)
	return strings.Join(fields[:min(2, len(fields))], " ")
}
