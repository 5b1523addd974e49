package fastcgi

import (
	"encoding/binary"
	"strconv"
)

// Response is one whole CGI response.
type Response struct {
	Status  int
	Headers [][2]string
	Body    []byte
}

// AppendResponse encodes the response to request id with its END_REQUEST.
func AppendResponse(dst []byte, id uint16, r Response) []byte {
	head := strconv.AppendInt([]byte("Status: "), int64(r.Status), 10)
	for _, h := range r.Headers {
		head = append(append(append(append(head, "\r\n"...), h[0]...), ": "...), h[1]...)
	}
	head = append(head, "\r\n\r\n"...)
	dst = appendStdout(dst, id, head)
	dst = appendStdout(dst, id, r.Body)
	dst = appendHeader(dst, typeStdout, id, 0)
	return AppendEnd(dst, id, 0, Complete)
}

func appendStdout(dst []byte, id uint16, data []byte) []byte {
	for len(data) > 0 {
		n := min(len(data), maxContent)
		dst = append(appendHeader(dst, typeStdout, id, n), data[:n]...)
		data = data[n:]
	}
	return dst
}

// AppendEnd encodes a bare END_REQUEST.
func AppendEnd(dst []byte, id uint16, appStatus uint32, status ProtocolStatus) []byte {
	dst = binary.BigEndian.AppendUint32(appendHeader(dst, typeEnd, id, 8), appStatus)
	return append(dst, byte(status), 0, 0, 0)
}
