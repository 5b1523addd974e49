package fastcgi

import (
	"encoding/binary"
	"strconv"
)

// Response is a complete CGI response.
type Response struct {
	Status  int         // HTTP status code
	Headers [][2]string // names and values
	Body    []byte
}

// AppendResponse appends to dst the encoded response to a request, with its END_REQUEST.
func AppendResponse(dst []byte, id uint16, r Response) []byte {
	dst = appendStdout(dst, id, r.head())
	dst = appendStdout(dst, id, r.Body)
	dst = appendHeader(dst, typeStdout, id, 0) // ends the output
	return AppendEnd(dst, id, 0, StatusComplete)
}

// head returns the CGI header block with the empty line after it.
func (r *Response) head() []byte {
	head := strconv.AppendInt([]byte("Status: "), int64(r.Status), 10)
	for _, header := range r.Headers {
		head = append(head, "\r\n"...)
		head = append(head, header[0]...)
		head = append(head, ": "...)
		head = append(head, header[1]...)
	}
	return append(head, "\r\n\r\n"...)
}

// appendStdout appends output as STDOUT records, as few as possible and none if data is empty.
func appendStdout(dst []byte, id uint16, data []byte) []byte {
	for len(data) > 0 {
		n := min(len(data), maxContentBytes)
		dst = appendHeader(dst, typeStdout, id, n)
		dst = append(dst, data[:n]...)
		data = data[n:]
	}
	return dst
}

// AppendAborted appends to dst the END_REQUEST of a request that the client aborted.
func AppendAborted(dst []byte, id uint16) []byte {
	return AppendEnd(dst, id, applicationAborted, StatusComplete)
}

// AppendEnd appends to dst an END_REQUEST with the application's status and the protocol's.
func AppendEnd(dst []byte, id uint16, appStatus uint32, status ProtocolStatus) []byte {
	dst = appendHeader(dst, typeEnd, id, 8)
	dst = binary.BigEndian.AppendUint32(dst, appStatus)
	return append(dst, byte(status), 0, 0, 0)
}
