package proxy

// This file holds the operations that operators can call, and their HTTP answers.

import "cloverdoor/internal/http1"

// adminHandler is what operators can ask for. Its methods are called on the loop's goroutine and must not
// block.
type adminHandler interface {
	// currentPhase is the phase of the program.
	currentPhase() Phase
	// startDrain disconnects all clients, if the program is serving. It returns the phase after that.
	startDrain() Phase
	// stopDrain revokes startDrain. It returns the phase after that.
	stopDrain() Phase
	// stats is the text of all figures.
	stats() string
}

// adminOperation is an operation and the one HTTP method by which it is called.
type adminOperation struct {
	method string
	run    func(adminHandler) http1.Response
}

// adminOperations are the operations by path.
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

// answerReadiness answers 200 while the program is serving, otherwise 503.
func answerReadiness(handler adminHandler) http1.Response {
	return phaseResponse(handler.currentPhase(), Serving, statusServiceUnavailable)
}

// answerStats answers with all figures.
func answerStats(handler adminHandler) http1.Response {
	return http1.Response{Status: statusOK, Body: handler.stats()}
}

// answerStartDrain answers 200 if the program is draining now, otherwise 409.
func answerStartDrain(handler adminHandler) http1.Response {
	return phaseResponse(handler.startDrain(), Draining, statusConflict)
}

// answerStopDrain answers 200 if the program is serving now, otherwise 409.
func answerStopDrain(handler adminHandler) http1.Response {
	return phaseResponse(handler.stopDrain(), Serving, statusConflict)
}

// phaseResponse names the phase, with status 200 if it is the wanted one and otherStatus if it is another.
func phaseResponse(phase, wanted Phase, otherStatus int) http1.Response {
	status := otherStatus
	if phase == wanted {
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
	}
	return p.lifecycle.phase
}
