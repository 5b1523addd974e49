package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
)

const (
	// maxArgs is the maximum number of arguments of a command, which include its name.
	maxArgs = 8
	// maxBulkSize is the maximum size of a command's argument in bytes.
	maxBulkSize = 1 << 20
	// lineEndSize is the size in bytes of CR LF, which ends a line.
	lineEndSize = 2
)

// encodeBulks encodes a RESP array of bulk strings.
func encodeBulks(elements ...string) []byte {
	out := fmt.Appendf(nil, "*%d\r\n", len(elements))
	for _, element := range elements {
		out = fmt.Appendf(out, "$%d\r\n%s\r\n", len(element), element)
	}
	return out
}

// readCommand reads a RESP array of bulk strings.
func readCommand(in *bufio.Reader) ([]string, error) {
	count, err := readLength(in, '*')
	if err != nil || count < 1 || count > maxArgs {
		return nil, fmt.Errorf("array of %d: %w", count, err)
	}
	args := make([]string, count)
	for i := range args {
		size, err := readLength(in, '$')
		if err != nil || size > maxBulkSize {
			return nil, fmt.Errorf("bulk of %d: %w", size, err)
		}
		bulk := make([]byte, size+lineEndSize)
		if _, err := io.ReadFull(in, bulk); err != nil {
			return nil, err
		}
		args[i] = string(bulk[:size])
	}
	return args, nil
}

// readLength reads a line that consists of a prefix and a number, and returns the number.
func readLength(in *bufio.Reader, prefix byte) (int, error) {
	line, err := in.ReadBytes('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != prefix {
		return 0, fmt.Errorf("line starts with %q, want %q", line[0], prefix)
	}
	return strconv.Atoi(string(bytes.TrimSpace(line[1:])))
}
