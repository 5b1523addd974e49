package proxy

import (
	"testing"

	"cloverdoor/internal/eventloop"
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
