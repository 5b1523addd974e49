package dedup

import (
	"fmt"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	wordBytes = 8
	fileBytes = tableWords * wordBytes
)

// Open returns a table in a file that other processes may have open as well. A file that does not exist is made. The file
// must be on a file system in memory: the table is never synchronized to a disk.
func Open(path string) (*Table, error) {
	const ownerOnly = 0o600
	fd, err := unix.Open(path, unix.O_RDWR|unix.O_CREAT|unix.O_CLOEXEC|unix.O_NOFOLLOW, ownerOnly)
	if err != nil {
		return nil, fmt.Errorf("open %s: %w", path, err)
	}
	defer unix.Close(fd) //nolint:errcheck // the mapping stays
	var status unix.Stat_t
	if err := unix.Fstat(fd, &status); err != nil {
		return nil, fmt.Errorf("stat %s: %w", path, err)
	}
	if status.Size != 0 && status.Size != fileBytes {
		return nil, fmt.Errorf("%s has %d bytes, want %d", path, status.Size, fileBytes)
	}
	// Without its pages allocated, a write to the mapping could end the process.
	if err := unix.Fallocate(fd, 0, 0, fileBytes); err != nil {
		return nil, fmt.Errorf("allocate %s: %w", path, err)
	}
	mapping, err := unix.Mmap(fd, 0, fileBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("map %s: %w", path, err)
	}
	words := unsafe.Slice((*uint64)(unsafe.Pointer(unsafe.SliceData(mapping))), tableWords)
	return &Table{entries: words}, nil
}
