package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
)

const (
	// maxWords is the maximum number of words in a command.
	maxWords = 8
	// maxBulkSize is the maximum size of a command's word in bytes.
	maxBulkSize = 1 << 20
	// lineEnd is the size in bytes of CR LF, which ends a line.
	lineEnd = 2
)

// encodeBulks encodes a RESP array of bulk strings.
func encodeBulks(words ...string) []byte {
	out := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, w := range words {
		out = fmt.Appendf(out, "$%d\r\n%s\r\n", len(w), w)
	}
	return out
}

// readCommand reads a RESP array of bulk strings.
func readCommand(in *bufio.Reader) ([]string, error) {
	count, err := readLength(in, '*')
	if err != nil || count < 1 || count > maxWords {
		return nil, fmt.Errorf("array of %d: %w", count, err)
	}
	words := make([]string, count)
	for i := range words {
		size, err := readLength(in, '$')
		if err != nil || size > maxBulkSize {
			return nil, fmt.Errorf("bulk of %d: %w", size, err)
		}
		text := make([]byte, size+lineEnd)
		if _, err := io.ReadFull(in, text); err != nil {
			return nil, err
		}
		words[i] = string(text[:size])
	}
	return words, nil
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
