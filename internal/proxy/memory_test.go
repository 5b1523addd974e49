package proxy

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/watch"
	"cloverdoor/policy"
)

// Guards against a memory limit that is exceeded by the answers to requests that were admitted while little was
// buffered: clients that read slowly leave all of them in this process.
func TestExpectedAnswersLimitAdmission(t *testing.T) {
	const limit, answerSize = 64 << 20, 240_000
	loop, err := eventloop.NewLoop(eventloop.SystemClock())
	if err != nil {
		t.Fatal(err)
	}
	m := newMemoryBudget(loop, limit)
	if bytes := m.reserveAnswer("a"); bytes != 0 || m.full() {
		t.Fatalf("%d bytes reserved before any answer was seen", bytes)
	}
	m.observeAnswer("a", answerSize)
	reserved := 0
	for !m.full() && reserved <= limit {
		reserved += m.reserveAnswer("a")
	}
	if reserved < limit || reserved > limit+answerSize {
		t.Errorf("full with answers of %d bytes to come, want at the limit of %d", reserved, limit)
	}
	m.releaseAnswer(answerSize)
	if m.full() {
		t.Error("still full after the end of a request")
	}
	if bytes := m.reserveAnswer("b"); bytes != 0 {
		t.Errorf("%d bytes reserved for another class, want 0", bytes)
	}
}

// Guards against a proxy that rejects more and more requests: the reservation ends with the request, however it ends.
func TestReservedAnswerIsReleased(t *testing.T) {
	for name, end := range map[string]func(f *proxyFixture, q *request){
		"answered": func(f *proxyFixture, q *request) { f.p.answer(q, Answer{Status: Served, Body: make([]byte, 500)}) },
		"rejected": func(f *proxyFixture, q *request) {
			f.p.answer(q, Answer{Status: Rejected, Reason: policy.ReasonCongestion})
		},
		"aborted":           func(f *proxyFixture, q *request) { f.p.handleDisconnect(q.number) },
		"connection closed": func(f *proxyFixture, q *request) { f.p.handleConnectionClosed(q.number, false) },
		"disconnected":      func(f *proxyFixture, q *request) { f.p.cancelAfterDisconnect(q.number) },
	} {
		f := newProxyFixture(t)
		f.p.memory.observeAnswer("w", 1000)
		a := f.waitForAttempt(t)
		if f.p.memory.expectedAnswers != 1000 {
			t.Fatalf("%s: %d bytes reserved, want 1000", name, f.p.memory.expectedAnswers)
		}
		end(f, a.req)
		end(f, a.req)
		if f.p.memory.expectedAnswers != 0 {
			t.Errorf("%s: %d bytes reserved after the end, want 0", name, f.p.memory.expectedAnswers)
		}
	}
}

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// Guards against open requests that take more memory than is counted for them (review/8, related paths).
func TestCountedMemoryCoversOpenRequests(t *testing.T) {
	const requests = 25
	f := newProxyFixture(t)
	caches := &watch.EndpointUpdate{} // so many that the origin is taken to have room for all requests
	for n := range 2000 {
		caches.Endpoints = append(caches.Endpoints, watch.Endpoint{
			ID: fmt.Sprint("c", n), Addr: "127.0.0.1:1", Zone: "hub", Kind: "std", State: watch.StateServing,
		})
	}
	f.p.endpoints.apply(caches)
	submit := func(n int) {
		f.p.submitRequest(Request{
			ID: fmt.Sprintf("%016x", n), ClassName: "w", Object: fmt.Sprintf("%016x", n), Timeout: time.Minute, Body: make([]byte, 1000),
		}, discardResponder{})
		f.p.dispatchEvents()
	}
	submit(0) // what is made once
	countedBefore, heapBefore := f.p.memory.openRequests, heapBytes()
	for n := range requests {
		submit(n + 1)
	}
	held := heapBytes() - heapBefore
	counted := f.p.memory.openRequests - countedBefore
	t.Logf("%d bytes of heap for a request, %d counted", held/requests, counted/requests)
	if len(f.p.requests) != requests+1 || held > counted {
		t.Errorf("%d open requests take %d bytes, %d are counted", len(f.p.requests), held, counted)
	}
}
