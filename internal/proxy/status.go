package proxy

// The status codes of HTTP that the proxy answers with, to clients in CGI responses and to operators.
const (
	statusOK                 = 200
	statusBadRequest         = 400
	statusNotFound           = 404
	statusMethodNotAllowed   = 405
	statusConflict           = 409
	statusBadGateway         = 502
	statusServiceUnavailable = 503
)
