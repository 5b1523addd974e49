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

// decodePairs decodes a list of name-value pairs.
func decodePairs(data []byte) (map[string]string, error) {
	pairs := map[string]string{}
	for len(data) > 0 {
		nameLength, nameLengthBytes := decodePairLength(data)
		valueLength, valueLengthBytes := decodePairLength(data[nameLengthBytes:])
		if nameLengthBytes == 0 || valueLengthBytes == 0 {
			return nil, fmt.Errorf("%w: truncated name-value pair", ErrRecord)
		}
		data = data[nameLengthBytes+valueLengthBytes:]
		if nameLength > len(data) || valueLength > len(data)-nameLength {
			return nil, fmt.Errorf("%w: truncated name-value pair", ErrRecord)
		}
		name := string(data[:nameLength])
		pairs[name] = string(data[nameLength : nameLength+valueLength])
		data = data[nameLength+valueLength:]
	}
	return pairs, nil
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
