// Command toy stands in for the world around one cloverdoor, so that a newcomer can try it on one machine:
//
//	toy serve              a coordinator on 127.0.0.1:7070, a cache on :7101 and the origin on :7102
//	toy ask CLASS OBJECT   one request to the proxy on 127.0.0.1:7000
//
// The cache keeps everything, the origin makes every object up.
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

const (
	proxyAddr       = "127.0.0.1:7000"
	coordinatorAddr = "127.0.0.1:7070"
	cacheAddr       = "127.0.0.1:7101"
	originAddr      = "127.0.0.1:7102"
)

func main() {
	log.SetFlags(log.Ltime)
	err := errors.New("usage: toy serve | toy ask CLASS OBJECT")
	switch {
	case len(os.Args) == 2 && os.Args[1] == "serve":
		err = serve()
	case len(os.Args) == 4 && os.Args[1] == "ask":
		err = ask(os.Args[2], os.Args[3])
	}
	if err != nil {
		log.Fatal(err)
	}
}

func serve() error {
	ended := make(chan error)
	for addr, handle := range map[string]func(net.Conn) error{
		coordinatorAddr: coordinate,
		cacheAddr:       func(c net.Conn) error { return store(c, "cache") },
		originAddr:      func(c net.Conn) error { return store(c, "origin") },
	} {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		go func() { ended <- accept(l, handle) }()
	}
	return <-ended
}

func accept(l net.Listener, handle func(net.Conn) error) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer conn.Close() //nolint:errcheck // the peer sees the end in any case
			if err := handle(conn); err != nil && !errors.Is(err, io.EOF) {
				log.Print(err)
			}
		}()
	}
}

// coordinate tells one event, the whole list, and then its number every second.
func coordinate(conn net.Conn) error {
	var last int
	if _, err := fmt.Fscanf(conn, "follow %d\n", &last); err != nil {
		return err
	}
	log.Printf("coordinator: followed from %d", last)
	if last < 1 {
		const server = `{"id":%q,"addr":%q,"zone":%q,"kind":%q,"cell":0,"state":"SERVING","weight":20,"started_ms":0}`
		list := fmt.Sprintf(server, "s-cache", cacheAddr, "office", "estandar") + "," +
			fmt.Sprintf(server, "s-origin", originAddr, "hub", "origin")
		if _, err := fmt.Fprintf(conn, `{"index":1,"endpoints":{"version":1,"full":true,"servers":[%s]}}`+"\n", list); err != nil {
			return err
		}
	}
	for {
		if _, err := fmt.Fprintln(conn, 1); err != nil {
			return err
		}
		time.Sleep(time.Second)
	}
}

// store answers every request with an object made up from its key.
func store(conn net.Conn, name string) error {
	in := bufio.NewReader(conn)
	held := map[string]bool{}
	for {
		words, err := command(in)
		if err != nil {
			return err
		}
		log.Printf("%s: %q", name, words)
		if len(words) != 4 || words[0] != "REQ" {
			continue
		}
		_, key, _ := strings.Cut(words[2], "k=")
		key, _, _ = strings.Cut(key, ",")
		note := "TCP_MISS"
		if held[key] {
			note = "TCP_HIT"
		}
		held[key] = true
		h := fnv.New64a()
		h.Write([]byte(key)) //nolint:errcheck // a hash takes everything
		fields := fmt.Sprintf("etag=%016x,made=%d,note=%s,ttfb=0", h.Sum64(), time.Now().UnixMilli(), note)
		if _, err := conn.Write(array(words[1], "served", fields, "object "+key+" from the "+name+"\n")); err != nil {
			return err
		}
	}
}

// command reads a RESP array of bulk strings.
func command(in *bufio.Reader) (words []string, err error) {
	var n, size int
	if _, err := fmt.Fscanf(in, "*%d\r\n", &n); err != nil {
		return nil, err
	}
	for range n {
		if _, err := fmt.Fscanf(in, "$%d\r\n", &size); err != nil {
			return nil, err
		}
		word := make([]byte, size+2)
		if _, err := io.ReadFull(in, word); err != nil {
			return nil, err
		}
		words = append(words, string(word[:size]))
	}
	return words, nil
}

func array(words ...string) []byte {
	out := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, w := range words {
		out = fmt.Appendf(out, "$%d\r\n%s\r\n", len(w), w)
	}
	return out
}

// ask sends one FastCGI request and prints the answer.
func ask(class, object string) error {
	conn, err := net.Dial("tcp", proxyAddr)
	if err != nil {
		return err
	}
	defer conn.Close() //nolint:errcheck // nothing more is written
	h := fnv.New64a()
	h.Write([]byte(object)) //nolint:errcheck // a hash takes everything
	var params []byte
	for _, p := range [][2]string{
		{"SCRIPT_NAME", "/ops/" + class}, {"HTTP_REQ_ID", fmt.Sprintf("%016x", rand.Uint64())},
		{"HTTP_REQ_WAIT_MS", "3000"}, {"HTTP_REQ_KEY", fmt.Sprintf("%016x", h.Sum64())},
		{"HTTP_X_PIECE", "0"}, {"HTTP_X_LOT", "17"},
	} {
		params = append(append(append(params, byte(len(p[0])), byte(len(p[1]))), p[0]...), p[1]...)
	}
	request := record(1, "\x00\x01\x00\x00\x00\x00\x00\x00") // BEGIN_REQUEST: Responder, close when done
	request = append(request, record(4, string(params))...)
	request = append(append(request, record(4, "")...), record(5, "")...)
	if _, err := conn.Write(request); err != nil {
		return err
	}
	return show(conn)
}

func record(kind byte, content string) []byte {
	head := []byte{1, kind, 0, 1}
	head = binary.BigEndian.AppendUint16(head, uint16(len(content)))
	return append(append(head, 0, 0), content...)
}

// show prints STDOUT records until END_REQUEST.
func show(conn net.Conn) error {
	for {
		var head [8]byte
		if _, err := io.ReadFull(conn, head[:]); err != nil {
			return fmt.Errorf("answer cut off: %w", err)
		}
		content := make([]byte, int(binary.BigEndian.Uint16(head[4:]))+int(head[6]))
		if _, err := io.ReadFull(conn, content); err != nil {
			return fmt.Errorf("answer cut off: %w", err)
		}
		switch head[1] {
		case 3:
			return nil
		case 6:
			os.Stdout.Write(content[:len(content)-int(head[6])]) //nolint:errcheck // a terminal
		}
	}
}
