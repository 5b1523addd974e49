// Command toy is a coordinator, a cache, an origin and a client for trying out one edge proxy on one machine:
//
//	toy serve              a coordinator on 127.0.0.1:7070, a cache on :7101 and the origin on :7102
//	toy ask CLASS OBJECT   one request to the proxy on 127.0.0.1:7000
//
// The cache and the origin generate each object from its key and store none. An object counts as cached from
// its second request on a connection until that connection ends; no object is evicted earlier.
package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"time"
)

// The addresses of example/config.json.
const (
	proxyAddr       = "127.0.0.1:7000"
	coordinatorAddr = "127.0.0.1:7070"
	cacheAddr       = "127.0.0.1:7101"
	originAddr      = "127.0.0.1:7102"
)

// The record types of FastCGI that a client needs.
const (
	fcgiBeginRequest = 1
	fcgiEndRequest   = 3
	fcgiParams       = 4
	fcgiStdin        = 5
	fcgiStdout       = 6
)

// fcgiHeaderSize is the length of a record's header in bytes.
const fcgiHeaderSize = 8

// beginResponder is the body of a BEGIN_REQUEST record: role responder, close the connection after the answer.
const beginResponder = "\x00\x01\x00\x00\x00\x00\x00\x00"

// progressInterval is the interval at which the coordinator sends the index of its last event.
const progressInterval = time.Second

func main() {
	log.SetFlags(log.Ltime)
	err := errors.New("usage: toy serve | toy ask CLASS OBJECT")
	switch {
	case len(os.Args) == 2 && os.Args[1] == "serve":
		err = serve()
	case len(os.Args) == 4 && os.Args[1] == "ask":
		err = sendRequest(os.Args[2], os.Args[3])
	}
	if err != nil {
		log.Fatal(err)
	}
}

// serve runs the coordinator, the cache and the origin until one of them fails.
func serve() error {
	ended := make(chan error)
	for addr, handle := range map[string]func(net.Conn) error{
		coordinatorAddr: sendEvents,
		cacheAddr:       func(c net.Conn) error { return serveObjects(c, "cache") },
		originAddr:      func(c net.Conn) error { return serveObjects(c, "origin") },
	} {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		go func() { ended <- acceptAll(l, handle) }()
	}
	return <-ended
}

// acceptAll handles each connection of a listener in its own goroutine, until accepting fails.
func acceptAll(l net.Listener, handle func(net.Conn) error) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer conn.Close() //nolint:errcheck // the peer sees the connection end in any case
			if err := handle(conn); err != nil && !errors.Is(err, io.EOF) {
				log.Print(err)
			}
		}()
	}
}

// sendEvents sends events to a watching proxy: first event 1, the full endpoint list, unless the proxy has it, and
// then the index of that event once per progressInterval.
func sendEvents(conn net.Conn) error {
	var lastIndex int
	if _, err := fmt.Fscanf(conn, "follow %d\n", &lastIndex); err != nil {
		return err
	}
	log.Printf("coordinator: followed from %d", lastIndex)
	if lastIndex < 1 {
		const serverFormat = `{"id":%q,"addr":%q,"zone":%q,"kind":%q,"cell":0,"state":"SERVING","weight":20,"started_ms":0}`
		servers := fmt.Sprintf(serverFormat, "s-cache", cacheAddr, "office", "estandar") + "," +
			fmt.Sprintf(serverFormat, "s-origin", originAddr, "hub", "origin")
		if _, err := fmt.Fprintf(conn, `{"index":1,"endpoints":{"version":1,"full":true,"servers":[%s]}}`+"\n", servers); err != nil {
			return err
		}
	}
	for {
		if _, err := fmt.Fprintln(conn, 1); err != nil {
			return err
		}
		time.Sleep(progressInterval)
	}
}

// serveObjects answers every REQ command of a connection with an object generated from its key, and ignores other
// commands. An object counts as cached from its second request on that connection. name is the server's name in logs
// and objects.
func serveObjects(conn net.Conn, name string) error {
	in := bufio.NewReader(conn)
	cached := map[string]bool{}
	for {
		args, err := readCommand(in)
		if err != nil {
			return err
		}
		log.Printf("%s: %q", name, args)
		if len(args) != 4 || args[0] != "REQ" {
			continue
		}
		_, key, _ := strings.Cut(args[2], "k=")
		key, _, _ = strings.Cut(key, ",")
		note := "TCP_MISS"
		if cached[key] {
			note = "TCP_HIT"
		}
		cached[key] = true
		h := fnv.New64a()
		h.Write([]byte(key)) //nolint:errcheck // a write to a hash never fails
		fields := fmt.Sprintf("etag=%016x,made=%d,note=%s,ttfb=0", h.Sum64(), time.Now().UnixMilli(), note)
		if _, err := conn.Write(bulkArray(args[1], "served", fields, "object "+key+" from the "+name+"\n")); err != nil {
			return err
		}
	}
}

// readCommand decodes a RESP array of bulk strings.
func readCommand(in *bufio.Reader) (args []string, err error) {
	var count, size int
	if _, err := fmt.Fscanf(in, "*%d\r\n", &count); err != nil {
		return nil, err
	}
	for range count {
		if _, err := fmt.Fscanf(in, "$%d\r\n", &size); err != nil {
			return nil, err
		}
		arg := make([]byte, size+2)
		if _, err := io.ReadFull(in, arg); err != nil {
			return nil, err
		}
		args = append(args, string(arg[:size]))
	}
	return args, nil
}

// bulkArray encodes a RESP array of bulk strings.
func bulkArray(values ...string) []byte {
	out := fmt.Appendf(nil, "*%d\r\n", len(values))
	for _, value := range values {
		out = fmt.Appendf(out, "$%d\r\n%s\r\n", len(value), value)
	}
	return out
}

// sendRequest sends one FastCGI request to the proxy and prints the answer.
func sendRequest(class, object string) error {
	conn, err := net.Dial("tcp", proxyAddr)
	if err != nil {
		return err
	}
	defer conn.Close() //nolint:errcheck // nothing more is written
	h := fnv.New64a()
	h.Write([]byte(object)) //nolint:errcheck // a write to a hash never fails
	var params []byte
	// HTTP_X_PIECE is the number of the object's part, from 0. HTTP_X_LOT is the object's purge group: any number
	// will do, as nothing is purged.
	for _, pair := range []struct{ name, value string }{
		{"SCRIPT_NAME", "/ops/" + class}, {"HTTP_REQ_ID", fmt.Sprintf("%016x", rand.Uint64())},
		{"HTTP_REQ_WAIT_MS", "3000"}, {"HTTP_REQ_KEY", fmt.Sprintf("%016x", h.Sum64())},
		{"HTTP_X_PIECE", "0"}, {"HTTP_X_LOT", "17"},
	} {
		params = append(params, byte(len(pair.name)), byte(len(pair.value)))
		params = append(params, pair.name...)
		params = append(params, pair.value...)
	}
	records := encodeRecord(fcgiBeginRequest, beginResponder)
	records = append(records, encodeRecord(fcgiParams, string(params))...)
	records = append(records, encodeRecord(fcgiParams, "")...)
	records = append(records, encodeRecord(fcgiStdin, "")...)
	if _, err := conn.Write(records); err != nil {
		return err
	}
	return printAnswer(conn)
}

// encodeRecord encodes a record of FastCGI version 1 for request ID 1, without padding.
func encodeRecord(recordType byte, content string) []byte {
	record := []byte{1, recordType, 0, 1}
	record = binary.BigEndian.AppendUint16(record, uint16(len(content)))
	record = append(record, 0, 0)
	return append(record, content...)
}

// printAnswer prints the content of the STDOUT records until END_REQUEST.
func printAnswer(conn net.Conn) error {
	for {
		var header [fcgiHeaderSize]byte
		if _, err := io.ReadFull(conn, header[:]); err != nil {
			return fmt.Errorf("answer cut off: %w", err)
		}
		contentLength := int(binary.BigEndian.Uint16(header[4:]))
		paddingLength := int(header[6])
		content := make([]byte, contentLength+paddingLength)
		if _, err := io.ReadFull(conn, content); err != nil {
			return fmt.Errorf("answer cut off: %w", err)
		}
		switch header[1] {
		case fcgiEndRequest:
			return nil
		case fcgiStdout:
			os.Stdout.Write(content[:contentLength]) //nolint:errcheck // standard output is a terminal
		}
	}
}
