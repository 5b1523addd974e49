package fastcgi

// knownVariables are the variables that FCGI_GET_VALUES may ask for, in the order of the answer. The first two
// are only announced: nothing enforces their values.
var knownVariables = []struct{ name, value string }{
	{"FCGI_MAX_CONNS", "256"}, // limit on connections at once
	{"FCGI_MAX_REQS", "2048"}, // limit on requests in progress, on all connections together
	{"FCGI_MPXS_CONNS", "1"},  // 1: requests may share a connection
}

// answerManagement answers a record that belongs to no request.
func answerManagement(recordType byte, content []byte) (Event, error) {
	if recordType != typeGetValues {
		return Reply{Data: encodeUnknownType(recordType)}, nil
	}
	requested := Params(content)
	if err := requested.check(); err != nil {
		return nil, err
	}
	var pairs []byte
	for _, variable := range knownVariables {
		if requested.has(variable.name) {
			pairs = appendPair(pairs, variable.name, variable.value)
		}
	}
	return Reply{Data: append(appendHeader(nil, typeGetResult, 0, len(pairs)), pairs...)}, nil
}

// encodeUnknownType encodes the answer to a record of an unknown type.
func encodeUnknownType(recordType byte) []byte {
	return append(appendHeader(nil, typeUnknown, 0, 8), recordType, 0, 0, 0, 0, 0, 0, 0)
}
