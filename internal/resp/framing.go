package resp

import (
	"fmt"
	"strconv"
)

func appendBulk[T string | []byte](dst []byte, s T) []byte {
	dst = strconv.AppendInt(append(dst, '$'), int64(len(s)), 10)
	dst = append(dst, "\r\n"...)
	return append(append(dst, s...), "\r\n"...)
}

// number reads a prefix byte and a decimal number with its line end; n is 0 when it is not whole.
func number(data []byte, prefix byte) (n, value int, err error) {
	if len(data) == 0 {
		return 0, 0, nil
	}
	if data[0] != prefix {
		return 0, 0, fmt.Errorf("%w: %q in place of %q", ErrMalformed, data[0], prefix)
	}
	for i, c := range data[1:] {
		switch {
		case c == '\r' && i > 0:
			if len(data) < i+3 {
				return 0, 0, nil
			}
			if data[i+2] != '\n' {
				return 0, 0, fmt.Errorf("%w: bare CR", ErrMalformed)
			}
			return i + 3, value, nil
		case c < '0' || c > '9' || i >= maxDigits:
			return 0, 0, fmt.Errorf("%w: bad length", ErrMalformed)
		}
		value = value*10 + int(c-'0')
	}
	return 0, 0, nil
}

func bulk(data []byte, limit int) (size int, part []byte, err error) {
	n, length, err := number(data, '$')
	if n == 0 || err != nil {
		return 0, nil, err
	}
	if length > limit {
		return 0, nil, fmt.Errorf("%w: bulk string of %d bytes", ErrMalformed, length)
	}
	if len(data) < n+length+2 {
		return 0, nil, nil
	}
	if data[n+length] != '\r' || data[n+length+1] != '\n' {
		return 0, nil, fmt.Errorf("%w: bulk string without its end", ErrMalformed)
	}
	return n + length + 2, data[n : n+length], nil
}
