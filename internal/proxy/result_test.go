package proxy

import (
	"errors"
	"fmt"
	"testing"

	"cloverdoor/internal/connpool"
	"cloverdoor/internal/eventloop"
	"cloverdoor/internal/resp"
	"cloverdoor/policy"
)

// The result of an answered attempt depends on the answer's status, creation time and version.
func TestResultOfAnswer(t *testing.T) {
	const bound = 1000 // Unix milliseconds
	for _, c := range []struct {
		name          string
		clientVersion string // version of the client's copy
		bound         int64  // earliest creation time that is accepted; 0: any
		ans           resp.Answer
		want          policy.Result
	}{
		{"served", "", 0, resp.Answer{Status: resp.StatusServed}, policy.ResultOK},
		{"as old as allowed", "", bound, resp.Answer{Status: resp.StatusServed, CreatedAtMillis: bound}, policy.ResultOK},
		{"too old", "", bound, resp.Answer{Status: resp.StatusServed, CreatedAtMillis: bound - 1}, policy.ResultError},
		{"without a time", "", bound, resp.Answer{Status: resp.StatusServed}, policy.ResultOK},
		{"known version", "v", 0, resp.Answer{Status: resp.StatusNotModified, Version: "v"}, policy.ResultOK},
		{"another version", "v", 0, resp.Answer{Status: resp.StatusNotModified, Version: "w"}, policy.ResultError},
		{"no known version", "", 0, resp.Answer{Status: resp.StatusNotModified}, policy.ResultError},
		{"not found", "", bound, resp.Answer{Status: resp.StatusNotFound, CreatedAtMillis: 1}, policy.ResultNotFound},
		{"overloaded", "", 0, resp.Answer{Status: resp.StatusOverloaded}, policy.ResultRejected},
		{"crashed", "", 0, resp.Answer{Status: resp.StatusCrashed}, policy.ResultError},
		{"not run", "", 0, resp.Answer{Status: resp.StatusNotRun}, policy.ResultNotSent},
		{"unknown status", "", 0, resp.Answer{Status: -1}, policy.ResultError},
	} {
		a := &attempt{req: &request{Request: Request{KnownVersion: c.clientVersion}}, oldestCopyMillis: c.bound}
		if got := a.resultOfAnswer(c.ans); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// The error with which a connection ends determines whether its calls may have been executed, and whether their
// results count against the server.
func TestResultOfClose(t *testing.T) {
	for _, c := range []struct {
		err  error
		want policy.Result
	}{
		{errors.New("reset by peer"), policy.ResultReset},
		{resp.ErrMalformed, policy.ResultReset},
		{nil, policy.ResultReset},
		{eventloop.ErrNotConnected, policy.ResultConnectFailed},
		{fmt.Errorf("%w: %w", eventloop.ErrNotConnected, eventloop.ErrLocalResourcesExhausted), policy.ResultNotSent},
		{fmt.Errorf("%w: %w", eventloop.ErrNotConnected, connpool.ErrConnLimit), policy.ResultNotSent},
	} {
		if got := resultOfClose(c.err); got != c.want {
			t.Errorf("%v: %v, want %v", c.err, got, c.want)
		}
	}
}

// A call that was not written completely was not executed, however its attempt ended.
func TestResultIfNeverSent(t *testing.T) {
	for result, want := range map[policy.Result]policy.Result{
		policy.ResultCancelled:     policy.ResultNotSent,
		policy.ResultNotSent:       policy.ResultNotSent,
		policy.ResultTimeout:       policy.ResultConnectFailed,
		policy.ResultReset:         policy.ResultConnectFailed,
		policy.ResultConnectFailed: policy.ResultConnectFailed,
	} {
		if got := resultIfNeverSent(result); got != want {
			t.Errorf("%v: %v, want %v", result, got, want)
		}
	}
}
