package watch

import (
	"bytes"
	"errors"
	"fmt"
)

// MaxLineBytes is the maximum number of bytes without a line feed. The complete endpoint list of a large fleet is far
// shorter.
const MaxLineBytes = 1 << 20

// ErrMalformed says that a line is neither an event nor a heartbeat.
var ErrMalformed = errors.New("watch: malformed line")

// ErrLineTooLong says that more than MaxLineBytes have arrived without a line feed. It wraps ErrMalformed.
var ErrLineTooLong = fmt.Errorf("%w: over %d bytes", ErrMalformed, MaxLineBytes)

// NextLine splits the first line off data. used is its length with the line feed, 0 if data has no complete
// line. If data has more than MaxLineBytes and no line feed, the error is ErrLineTooLong.
func NextLine(data []byte) (used int, line []byte, err error) {
	end := bytes.IndexByte(data, '\n')
	if end >= 0 {
		return end + 1, data[:end], nil
	}
	if len(data) > MaxLineBytes {
		return 0, nil, ErrLineTooLong
	}
	return 0, nil, nil
}

// EncodeFollow returns the line that asks the coordinator for all events with an index above last.
func EncodeFollow(lastIndex int64) []byte { return fmt.Appendf(nil, "follow %d\n", lastIndex) }
