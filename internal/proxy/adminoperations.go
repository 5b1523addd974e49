package proxy

// This file holds the operations that admin calls run, and their HTTP answers.

import "cloverdoor/internal/http1"

// adminHandler carries out the admin calls of operators. Its methods are called on the event loop's goroutine and
// must not block.
type adminHandler interface {
	// currentPhase returns the phase of the process.
	currentPhase() Phase
	// startDrain starts to disconnect all clients if the phase is Serving. It returns the resulting phase.
	startDrain() Phase
	// stopDrain returns to Serving if the phase is Draining. It returns the resulting phase.
	stopDrain() Phase
	// stats returns all metrics as text.
	stats() string
}

// adminOperation is an operation with the only HTTP method that it accepts.
type adminOperation struct {
	method string
	run    func(adminHandler) http1.Response
}

// adminOperations holds the operations by path.
var adminOperations = map[string]adminOperation{
	"/ops/readiness":   {method: "GET", run: answerReadiness},
	"/ops/stats":       {method: "GET", run: answerStats},
	"/ops/drain/start": {method: "PUT", run: answerStartDrain},
	"/ops/drain/stop":  {method: "PUT", run: answerStopDrain},
}

// runAdminCall runs the operation that a call names.
func runAdminCall(handler adminHandler, call http1.Request) http1.Response {
	operation, known := adminOperations[call.Path]
	if !known {
		return http1.Response{Status: statusNotFound, Body: "no such operation\n"}
	}
	if call.Method != operation.method {
		return http1.Response{Status: statusMethodNotAllowed, Allow: operation.method}
	}
	return operation.run(handler)
}

// answerReadiness answers 200 if the phase is Serving, otherwise 503.
func answerReadiness(handler adminHandler) http1.Response {
	return phaseResponse(handler.currentPhase(), Serving, statusServiceUnavailable)
}

// answerStats answers with all metrics.
func answerStats(handler adminHandler) http1.Response {
	return http1.Response{Status: statusOK, Body: handler.stats()}
}

// answerStartDrain starts a drain and answers 200 if the phase is then Draining, otherwise 409.
func answerStartDrain(handler adminHandler) http1.Response {
	return phaseResponse(handler.startDrain(), Draining, statusConflict)
}

// answerStopDrain stops a drain and answers 200 if the phase is then Serving, otherwise 409.
func answerStopDrain(handler adminHandler) http1.Response {
	return phaseResponse(handler.stopDrain(), Serving, statusConflict)
}

// phaseResponse returns an answer with the name of the phase. Its status is 200 if phase is wantedPhase, otherwise
// otherStatus.
func phaseResponse(phase, wantedPhase Phase, otherStatus int) http1.Response {
	status := otherStatus
	if phase == wantedPhase {
		status = statusOK
	}
	return http1.Response{Status: status, Body: phase.String() + "\n"}
}

// currentPhase implements adminHandler.
func (p *Proxy) currentPhase() Phase { return p.lifecycle.phase }

// startDrain implements adminHandler.
func (p *Proxy) startDrain() Phase {
	if p.lifecycle.phase == Serving {
		p.lifecycle.beginDrain(p.openRequests)
	}
	return p.lifecycle.phase
}

// stopDrain implements adminHandler.
func (p *Proxy) stopDrain() Phase {
	if p.lifecycle.phase == Draining {
		p.lifecycle.setPhase(Serving, p.openRequests)
		for _, f := range p.fastcgiServers {
			f.forgetHolds()
		}
	}
	return p.lifecycle.phase
}
