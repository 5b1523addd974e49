package proxy

import (
	"errors"
	"testing"
	"time"

	"cloverdoor/internal/eventloop"
)

// awaitLoad polls a loader until its read is done.
func awaitLoad(t *testing.T, l *configLoader, now eventloop.Timestamp) loadResult {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if result, done := l.poll(now); done {
			return result
		}
	}
	t.Fatal("the read is not done")
	return loadResult{}
}

// At most one read is in progress at a time. Requests for a reload that arrive during a read lead to one more read.
func TestConfigLoaderReadsOneAtATime(t *testing.T) {
	errRead := errors.New("read")
	proceed, started := make(chan bool), make(chan bool, 10)
	load := func() (PrepareUpdateFunc, error) {
		started <- true
		<-proceed
		return nil, errRead
	}
	var l configLoader
	l.start(load, 0)
	if l.results != nil {
		t.Fatal("a read was started that nobody requested")
	}
	l.requested = true
	for range 3 {
		l.start(load, 0)
		l.requested = true
	}
	<-started
	if _, done := l.poll(0); done || len(started) != 0 {
		t.Fatalf("done %v, %d more reads, want neither", done, len(started))
	}
	proceed <- true
	if result := awaitLoad(t, &l, 0); !errors.Is(result.err, errRead) {
		t.Errorf("the read ended with error %v, want the one that load returned", result.err)
	}
	l.start(load, 0)
	<-started
	proceed <- true
	awaitLoad(t, &l, 0)
	l.start(load, 0)
	if l.results != nil {
		t.Error("a third read was started")
	}
}

// A read that exceeds its time limit fails. What it returns later is not taken for the result of the next read.
func TestConfigLoaderTimeLimit(t *testing.T) {
	release := make(chan bool)
	errLate, errNext := errors.New("late"), errors.New("next")
	l := configLoader{requested: true}
	l.start(func() (PrepareUpdateFunc, error) { <-release; return nil, errLate }, time.Second)
	if _, done := l.poll(time.Second + loadTimeout - 1); done {
		t.Error("the read has failed too early")
	}
	result, done := l.poll(time.Second + loadTimeout)
	if !done || !errors.Is(result.err, errLoadTimeout) {
		t.Errorf("done %v, error %v, want true and errLoadTimeout", done, result.err)
	}
	l.requested = true
	l.start(func() (PrepareUpdateFunc, error) { return nil, errNext }, 2*time.Second)
	release <- true
	if result := awaitLoad(t, &l, 2*time.Second); !errors.Is(result.err, errNext) {
		t.Errorf("the next read ended with error %v, want its own", result.err)
	}
}
