package resp

import (
	"fmt"
	"strconv"
)

const (
	arrayPrefix = '*' // followed by the number of elements
	bulkPrefix  = '$' // followed by the number of bytes
	lineEnd     = "\r\n"

	maxLengthDigits = 7 // maximum digits of the number after a prefix
)

// appendArray appends the header of an array.
func appendArray(dst []byte, elements int) []byte {
	dst = append(dst, arrayPrefix)
	dst = strconv.AppendInt(dst, int64(elements), 10)
	return append(dst, lineEnd...)
}

// appendBulk appends an encoded bulk string.
func appendBulk[T string | []byte](dst []byte, s T) []byte {
	dst = append(dst, bulkPrefix)
	dst = strconv.AppendInt(dst, int64(len(s)), 10)
	dst = append(dst, lineEnd...)
	dst = append(dst, s...)
	return append(dst, lineEnd...)
}

// decodeNumber decodes a prefix, a decimal number and the line end. used is 0 if they are not complete.
func decodeNumber(data []byte, prefix byte) (used, value int, err error) {
	if len(data) == 0 {
		return 0, 0, nil
	}
	if data[0] != prefix {
		return 0, 0, fmt.Errorf("%w: got %q, expected %q", ErrMalformed, data[0], prefix)
	}
	digits := data[1:]
	for i, c := range digits {
		if c == '\r' && i > 0 {
			used, err = decodeLineFeed(data, i+2)
			return used, value, err
		}
		if c < '0' || c > '9' || i >= maxLengthDigits {
			return 0, 0, fmt.Errorf("%w: invalid length", ErrMalformed)
		}
		value = value*10 + int(c-'0')
	}
	return 0, 0, nil
}

// decodeLineFeed checks that data[at] is a line feed and returns how many bytes data has up to and
// including the line feed, 0 if data ends before it.
func decodeLineFeed(data []byte, at int) (used int, err error) {
	if at >= len(data) {
		return 0, nil
	}
	if data[at] != '\n' {
		return 0, fmt.Errorf("%w: CR without LF", ErrMalformed)
	}
	return at + 1, nil
}

// decodeBulk decodes a bulk string of at most limit bytes. size is the length of its encoding, 0 if it is not
// complete.
func decodeBulk(data []byte, limit int) (size int, content []byte, err error) {
	start, length, err := decodeNumber(data, bulkPrefix)
	if start == 0 || err != nil {
		return 0, nil, err
	}
	if length > limit {
		return 0, nil, fmt.Errorf("%w: bulk string of %d bytes is over its limit", ErrMalformed, length)
	}
	end := start + length
	size = end + len(lineEnd)
	if len(data) < size {
		return 0, nil, nil
	}
	if string(data[end:size]) != lineEnd {
		return 0, nil, fmt.Errorf("%w: bulk string without CRLF at its end", ErrMalformed)
	}
	return size, data[start:end], nil
}
