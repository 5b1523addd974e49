package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
)

func bulks(words ...string) []byte {
	out := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, w := range words {
		out = fmt.Appendf(out, "$%d\r\n%s\r\n", len(w), w)
	}
	return out
}

// command reads one command.
func command(in *bufio.Reader) ([]string, error) {
	count, err := length(in, '*')
	if err != nil || count < 1 || count > 8 {
		return nil, fmt.Errorf("array of %d: %w", count, err)
	}
	words := make([]string, count)
	for i := range words {
		size, err := length(in, '$')
		if err != nil || size > maxBulk {
			return nil, fmt.Errorf("bulk of %d: %w", size, err)
		}
		text := make([]byte, size+2)
		if _, err := io.ReadFull(in, text); err != nil {
			return nil, err
		}
		words[i] = string(text[:size])
	}
	return words, nil
}

func length(in *bufio.Reader, prefix byte) (int, error) {
	line, err := in.ReadBytes('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != prefix {
		return 0, fmt.Errorf("%q in place of %q", line[0], prefix)
	}
	return strconv.Atoi(string(bytes.TrimSpace(line[1:])))
}
