package soak

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// incarnationOf returns the number of the incarnation that holds the other end of a connection of this process; 0:
// none of those that run.
func (p *process) incarnationOf(conn net.Conn) int {
	inode := socketInode(conn.RemoteAddr(), conn.LocalAddr())
	if inode == "" {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for number, pid := range p.pids {
		if holdsSocket(pid, inode) {
			return number
		}
	}
	return 0
}

// The columns of a line of /proc/net/tcp.
const (
	columnLocalAddr  = 1
	columnRemoteAddr = 2
	columnInode      = 9
	columnCount      = 10
)

// socketInode returns the inode of the socket on this machine that connects a local address with a remote one; "" if
// there is none.
func socketInode(local, remote net.Addr) string {
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer table.Close() //nolint:errcheck // it was only read
	localText, remoteText := procAddr(local), procAddr(remote)
	for lines := bufio.NewScanner(table); lines.Scan(); {
		columns := strings.Fields(lines.Text())
		if len(columns) >= columnCount && columns[columnLocalAddr] == localText && columns[columnRemoteAddr] == remoteText {
			return columns[columnInode]
		}
	}
	return ""
}

// procAddr returns an IPv4 address and port as /proc/net/tcp has them: the address in the byte order of little-endian
// machines.
func procAddr(addr net.Addr) string {
	tcp, isTCP := addr.(*net.TCPAddr)
	if !isTCP || tcp.IP.To4() == nil {
		return ""
	}
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}

// holdsSocket reports whether a process has a descriptor of the socket with an inode.
func holdsSocket(pid int, inode string) bool {
	links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return false
	}
	for _, link := range links {
		target, err := os.Readlink(link)
		if err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
