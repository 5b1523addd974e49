package soak

import (
	"encoding/binary"
	"fmt"
	"io"
	"strings"
)

// The record types of FastCGI.
const (
	fcgiBeginRequest = 1
	fcgiAbortRequest = 2
	fcgiEndRequest   = 3
	fcgiParams       = 4
	fcgiStdin        = 5
	fcgiStdout       = 6
)

const (
	// fcgiHeaderSize is the length of a record's header in bytes.
	fcgiHeaderSize = 8
	// fcgiProtocolStatusOffset is the offset of the protocol status in END_REQUEST.
	fcgiProtocolStatusOffset = 4
	// fcgiStatusOverloaded is the protocol status of a request that is rejected.
	fcgiStatusOverloaded = 2
	// beginResponderBody is the body of BEGIN_REQUEST: the role is responder, and the connection stays open.
	beginResponderBody = "\x00\x01\x01\x00\x00\x00\x00\x00"
	// writeBodySize is the size of a write's body in bytes.
	writeBodySize = 2000
)

// param is a FastCGI parameter.
type param struct{ name, value string }

// requestID formats a random number as a request's ID.
func requestID(number uint64) string { return fmt.Sprintf("%016x", number) }

// encodeRequest encodes all records of a request.
func encodeRequest(id uint16, req *Request) []byte {
	params := []param{
		{"SCRIPT_NAME", "/ops/" + req.Class}, {"HTTP_REQ_ID", req.ID}, {"HTTP_REQ_KEY", req.Object},
		{"HTTP_REQ_WAIT_MS", fmt.Sprint(req.Timeout.Milliseconds())}, {"HTTP_X_PIECE", "0"},
		{"HTTP_X_LOT", fmt.Sprint(req.Group)},
	}
	if req.Class == classKeyed {
		params = append(params, param{"HTTP_REQ_TOKEN", req.ID})
	}
	out := encodeRecord(fcgiBeginRequest, id, beginResponderBody)
	out = append(out, encodeRecord(fcgiParams, id, encodeParams(params))...)
	out = append(out, encodeRecord(fcgiParams, id, "")...)
	if req.Class == classWrite {
		out = append(out, encodeRecord(fcgiStdin, id, strings.Repeat("w", writeBodySize))...)
	}
	return append(out, encodeRecord(fcgiStdin, id, "")...)
}

// encodeParams encodes parameters whose names and values are shorter than 128 bytes.
func encodeParams(params []param) string {
	var out []byte
	for _, p := range params {
		out = append(out, byte(len(p.name)), byte(len(p.value)))
		out = append(out, p.name...)
		out = append(out, p.value...)
	}
	return string(out)
}

// encodeRecord encodes a record of FastCGI version 1 without padding.
func encodeRecord(recordType byte, id uint16, content string) []byte {
	out := []byte{1, recordType}
	out = binary.BigEndian.AppendUint16(out, id)
	out = binary.BigEndian.AppendUint16(out, uint16(len(content)))
	out = append(out, 0, 0) // padding length, reserved
	return append(out, content...)
}

// readRecord reads a record. The content includes the padding, but the proxy sends no padding.
func readRecord(in io.Reader) (recordType byte, id uint16, content []byte, err error) {
	var header [fcgiHeaderSize]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		return 0, 0, nil, err
	}
	contentLength := int(binary.BigEndian.Uint16(header[4:]))
	paddingLength := int(header[6])
	content = make([]byte, contentLength+paddingLength)
	_, err = io.ReadFull(in, content)
	return header[1], binary.BigEndian.Uint16(header[2:]), content, err
}
