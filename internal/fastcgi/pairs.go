package fastcgi

import (
	"encoding/binary"
	"fmt"
)

func decodePairs(data []byte) (map[string]string, error) {
	pairs := map[string]string{}
	for len(data) > 0 {
		var lengths [2]int
		for i := range lengths {
			n, size := pairLength(data)
			if size == 0 {
				return nil, fmt.Errorf("%w: cut name-value pair", ErrRecord)
			}
			lengths[i], data = n, data[size:]
		}
		name, value := lengths[0], lengths[1]
		if name > len(data) || value > len(data)-name {
			return nil, fmt.Errorf("%w: cut name-value pair", ErrRecord)
		}
		pairs[string(data[:name])] = string(data[name : name+value])
		data = data[name+value:]
	}
	return pairs, nil
}

// pairLength reads one length: a byte, or four with the top bit set. A size of 0 says that it is cut.
func pairLength(data []byte) (n, size int) {
	if len(data) == 0 {
		return 0, 0
	}
	if data[0] < 0x80 {
		return int(data[0]), 1
	}
	if len(data) < 4 {
		return 0, 0
	}
	return int(binary.BigEndian.Uint32(data) & 0x7fffffff), 4
}

func appendPair(dst []byte, name, value string) []byte {
	for _, s := range []string{name, value} {
		if len(s) < 0x80 {
			dst = append(dst, byte(len(s)))
		} else {
			dst = binary.BigEndian.AppendUint32(dst, uint32(len(s))|1<<31)
		}
	}
	return append(append(dst, name...), value...)
}
