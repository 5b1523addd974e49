package fastcgi

import (
	"encoding/binary"
	"fmt"
)

// A name-value pair is encoded as the name's length, the value's length, the name and the value. A length
// under 128 takes one byte; any other takes four, with the top bit set.
const (
	maxShortLength  = 0x7f
	longLengthFlag  = 1 << 31
	longLengthBytes = 4
)

// Params are a request's parameters in their encoded form. Decoded, many short ones would take some ten times the memory.
type Params []byte

// Get returns the value of a parameter, of several with the name the last one; empty if there is none. The parameters
// must be well-formed, as those of a Request are.
func (p Params) Get(name string) string {
	var found []byte
	for rest := []byte(p); len(rest) > 0; {
		var pairName, value []byte
		var err error
		pairName, value, rest, err = nextPair(rest)
		if err != nil {
			break
		}
		if string(pairName) == name {
			found = value
		}
	}
	return string(found)
}

// AppendParam appends a parameter.
func AppendParam(params Params, name, value string) Params { return appendPair(params, name, value) }

// check returns an error, which wraps ErrRecord, if the parameters are not well-formed.
func (p Params) check() error {
	for rest := []byte(p); len(rest) > 0; {
		var err error
		_, _, rest, err = nextPair(rest)
		if err != nil {
			return err
		}
	}
	return nil
}

// has reports whether there is a parameter with the name.
func (p Params) has(name string) bool {
	for rest := []byte(p); len(rest) > 0; {
		pairName, _, next, err := nextPair(rest)
		if err != nil {
			return false
		}
		if string(pairName) == name {
			return true
		}
		rest = next
	}
	return false
}

// nextPair decodes the first name-value pair of a list that is not empty, and returns the rest of the list.
func nextPair(list []byte) (name, value, rest []byte, err error) {
	nameLength, nameLengthBytes := decodePairLength(list)
	valueLength, valueLengthBytes := decodePairLength(list[nameLengthBytes:])
	if nameLengthBytes == 0 || valueLengthBytes == 0 {
		return nil, nil, nil, fmt.Errorf("%w: truncated name-value pair", ErrRecord)
	}
	list = list[nameLengthBytes+valueLengthBytes:]
	if nameLength > len(list) || valueLength > len(list)-nameLength {
		return nil, nil, nil, fmt.Errorf("%w: truncated name-value pair", ErrRecord)
	}
	valueEnd := nameLength + valueLength
	return list[:nameLength], list[nameLength:valueEnd], list[valueEnd:], nil
}

// decodePairLength decodes a length. size is how many bytes the length itself takes, 0 if data ends within it.
func decodePairLength(data []byte) (length, size int) {
	if len(data) == 0 {
		return 0, 0
	}
	if data[0] <= maxShortLength {
		return int(data[0]), 1
	}
	if len(data) < longLengthBytes {
		return 0, 0
	}
	return int(binary.BigEndian.Uint32(data) &^ longLengthFlag), longLengthBytes
}

// appendPair appends an encoded name-value pair.
func appendPair(dst []byte, name, value string) []byte {
	dst = appendPairLength(dst, len(name))
	dst = appendPairLength(dst, len(value))
	dst = append(dst, name...)
	return append(dst, value...)
}

func appendPairLength(dst []byte, length int) []byte {
	if length <= maxShortLength {
		return append(dst, byte(length))
	}
	return binary.BigEndian.AppendUint32(dst, uint32(length)|longLengthFlag)
}
