package proxy

// The HTTP status codes of the proxy's answers to clients, in CGI responses, and to operators.
const (
	statusOK                 = 200
	statusBadRequest         = 400
	statusNotFound           = 404
	statusMethodNotAllowed   = 405
	statusConflict           = 409
	statusBadGateway         = 502
	statusServiceUnavailable = 503
)
