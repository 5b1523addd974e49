package soak

import (
	"fmt"
	"strings"
)

func requestRecords(id uint16, q *Request) []byte {
	var pairs []byte
	for _, p := range [][2]string{
		{"SCRIPT_NAME", "/ops/" + q.Class}, {"HTTP_REQ_ID", q.ID}, {"HTTP_REQ_KEY", q.Object},
		{"HTTP_REQ_WAIT_MS", fmt.Sprint(q.Timeout.Milliseconds())}, {"HTTP_X_PIECE", "0"}, {"HTTP_X_LOT", fmt.Sprint(q.Group)},
	} {
		pairs = append(append(append(pairs, byte(len(p[0])), byte(len(p[1]))), p[0]...), p[1]...)
	}
	if q.Class == classKeyed {
		name := "HTTP_REQ_TOKEN"
		pairs = append(append(append(pairs, byte(len(name)), byte(len(q.ID))), name...), q.ID...)
	}
	out := record(1, id, "\x00\x01\x01\x00\x00\x00\x00\x00")
	out = append(append(out, record(4, id, string(pairs))...), record(4, id, "")...)
	if q.Class == classWrite {
		out = append(out, record(5, id, strings.Repeat("w", 2000))...)
	}
	return append(out, record(5, id, "")...)
}

func record(kind byte, id uint16, content string) []byte {
	head := []byte{1, kind, byte(id >> 8), byte(id), byte(len(content) >> 8), byte(len(content)), 0, 0}
	return append(head, content...)
}
