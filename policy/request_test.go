package policy

import "testing"

// Whatever the result of its attempts, a request gets one final answer and is removed.
func TestEveryRequestIsFinishedOnce(t *testing.T) {
	for _, result := range []Result{ResultError, ResultRejected, ResultTimeout, ResultConnectFailed,
		ResultReset,
		ResultCancelled, ResultNotSent, ResultNotFound} {
		for class := 0; class < 3; class++ {
			h := newHarness(t)
			acts := h.request(1, "x", class)
			ends := countFinalAnswers(acts)
			for try := 0; fetchOf(acts) != nil; try++ {
				h.now += 600 * ms
				acts = h.do(Outcome{ID: 1, Attempt: try, Result: result, Elapsed: 600 * ms})
				ends += countFinalAnswers(acts)
			}
			if ends != 1 || len(h.router.requests) != 0 {
				t.Errorf("result %v class %d: %d final answers, %d open", result, class, ends,
					len(h.router.requests))
			}
		}
	}
}

// A request of an unknown class gets its one final answer.
func TestUnknownClassIsAnswered(t *testing.T) {
	h := newHarness(t)
	if acts := h.request(1, "x", 9); len(acts) != 1 || acts[0] != (Fail{ID: 1, Reason: ReasonUnknownClass}) {
		t.Fatalf("%+v", acts)
	}
}
