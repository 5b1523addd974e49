package policy

import "testing"

// Only results after which the target cannot have carried out the request mean that an attempt never ran. An
// unknown result does not.
func TestStateAfterResult(t *testing.T) {
	for result, want := range map[Result]attemptState{
		ResultOK:            attemptSucceeded,
		ResultRejected:      attemptNeverRan,
		ResultConnectFailed: attemptNeverRan,
		ResultNotSent:       attemptNeverRan,
		ResultNotFound:      attemptNeverRan,
		ResultError:         attemptFailed,
		ResultReset:         attemptFailed,
		ResultTimeout:       attemptTimedOut,
		ResultCancelled:     attemptCancelled,
		Result(99):          attemptTimedOut,
	} {
		if got := stateAfter(result); got != want {
			t.Errorf("%v: state %d, want %d", result, got, want)
		}
	}
}
