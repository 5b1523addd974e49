package fastcgi

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
)

// Decoder decodes the records of one connection. The zero value is ready for use.
type Decoder struct {
	receiving   map[uint16]*partialRequest // requests that are not complete
	inProgress  map[uint16]bool            // complete requests that have not been answered
	memoryBytes int                        // of the requests in receiving
}

// partialRequest is a request of which some records have been decoded.
type partialRequest struct {
	req         Request
	paramsDone  bool // the empty PARAMS record has ended the parameters
	memoryBytes int  // as counted by the decoder
}

// Done tells the decoder that a complete request has been answered or dropped, so that its ID may be reused.
func (d *Decoder) Done(id uint16) { delete(d.inProgress, id) }

// MemoryBytes returns how many bytes of memory the requests take that are not complete.
func (d *Decoder) MemoryBytes() int { return d.memoryBytes }

// countMemory updates the count of bytes after a change to a request that is not complete.
func (d *Decoder) countMemory(partial *partialRequest) {
	bytes := partial.req.MemoryBytes()
	d.memoryBytes += bytes - partial.memoryBytes
	partial.memoryBytes = bytes
}

// DropPartial drops all requests that are not complete and returns their IDs. Their further records are
// ignored.
func (d *Decoder) DropPartial() []uint16 {
	ids := slices.Sorted(maps.Keys(d.receiving))
	clear(d.receiving)
	d.memoryBytes = 0
	return ids
}

// Receiving reports whether any request has begun and is not complete.
func (d *Decoder) Receiving() bool { return len(d.receiving) > 0 }

// Busy reports whether a request is being received or waits for its response.
func (d *Decoder) Busy() bool { return len(d.receiving)+len(d.inProgress) > 0 }

// Decode decodes one record from the start of data. used is the length of the record, 0 if data ends before the
// record does. ev is the event that results from the record, nil if there is none. After an error, which wraps
// ErrVersion or ErrRecord, nothing more can be decoded from the connection.
func (d *Decoder) Decode(data []byte) (used int, ev Event, err error) {
	if len(data) < headerBytes {
		return 0, nil, nil
	}
	if data[0] != version {
		return 0, nil, ErrVersion
	}
	used = recordBytes(data)
	if len(data) < used {
		return 0, nil, nil
	}
	recordType := data[1]
	id := binary.BigEndian.Uint16(data[2:])
	content := data[headerBytes : headerBytes+contentBytes(data)]
	ev, err = d.handleRecord(recordType, id, content)
	return used, ev, err
}

// MissingBytes returns how many bytes are missing from the record at the start of data: 0 if the record is
// complete or data ends within its header.
func MissingBytes(data []byte) int {
	if len(data) < headerBytes {
		return 0
	}
	return max(0, recordBytes(data)-len(data))
}

// contentBytes returns the content length in a record header.
func contentBytes(header []byte) int { return int(binary.BigEndian.Uint16(header[4:])) }

// recordBytes returns the length of a record with its header and padding.
func recordBytes(header []byte) int {
	paddingBytes := int(header[6])
	return headerBytes + contentBytes(header) + paddingBytes
}

// handleRecord handles one complete record.
func (d *Decoder) handleRecord(recordType byte, id uint16, content []byte) (Event, error) {
	if id == 0 {
		return answerManagement(recordType, content)
	}
	switch recordType {
	case typeBegin:
		return d.handleBegin(id, content)
	case typeAbort:
		return d.handleAbort(id), nil
	}
	partial := d.receiving[id]
	if partial == nil {
		return nil, nil // the protocol requires records of unknown requests to be ignored
	}
	switch recordType {
	case typeParams:
		return d.addParams(partial, content)
	case typeStdin:
		return d.addBody(partial, content)
	case typeData:
		return nil, nil // unused in the Responder role
	}
	return Reply{Data: encodeUnknownType(recordType)}, nil
}

// handleBegin handles a BEGIN_REQUEST. It replies to a request that it does not accept.
func (d *Decoder) handleBegin(id uint16, content []byte) (Event, error) {
	if len(content) != beginContentBytes {
		return nil, fmt.Errorf("%w: BEGIN_REQUEST of %d bytes", ErrRecord, len(content))
	}
	if d.receiving[id] != nil || d.inProgress[id] {
		return nil, fmt.Errorf("%w: BEGIN_REQUEST for request %d, which is already open", ErrRecord, id)
	}
	role := binary.BigEndian.Uint16(content)
	keepConn := content[2]&flagKeepConn != 0
	if len(d.receiving)+len(d.inProgress) >= maxRequests {
		return Reply{Data: AppendEnd(nil, id, 0, StatusOverloaded), Close: !keepConn}, nil
	}
	if role != roleResponder {
		return Reply{Data: AppendEnd(nil, id, 0, StatusUnknownRole), Close: !keepConn}, nil
	}
	if d.receiving == nil {
		d.receiving = map[uint16]*partialRequest{}
		d.inProgress = map[uint16]bool{}
	}
	partial := &partialRequest{req: Request{ID: id, KeepConn: keepConn}}
	d.receiving[id] = partial
	d.countMemory(partial)
	return nil, nil
}

// handleAbort handles an ABORT_REQUEST. A request that is not complete is answered here, as the application
// has not received it. The abort of an unknown request is ignored.
func (d *Decoder) handleAbort(id uint16) Event {
	partial := d.receiving[id]
	if partial != nil {
		d.drop(partial)
		return Reply{Data: AppendAborted(nil, id), Close: !partial.req.KeepConn}
	}
	if d.inProgress[id] {
		return Abort{ID: id}
	}
	return nil
}

// reject drops a request that exceeds a limit or has parameters after the empty PARAMS record. Its further
// records are ignored.
func (d *Decoder) reject(partial *partialRequest) Rejected {
	d.drop(partial)
	return Rejected{ID: partial.req.ID, KeepConn: partial.req.KeepConn, Err: ErrTooLarge}
}

// drop removes a request that is not complete.
func (d *Decoder) drop(partial *partialRequest) {
	delete(d.receiving, partial.req.ID)
	d.memoryBytes -= partial.memoryBytes
}

// addParams handles a PARAMS record; an empty one ends the parameters. Parameters after the end are rejected
// like parameters over the limit.
func (d *Decoder) addParams(partial *partialRequest, content []byte) (Event, error) {
	if len(content) > 0 {
		if partial.paramsDone || len(partial.req.Params)+len(content) > maxParamBytes {
			return d.reject(partial), nil
		}
		partial.req.Params = append(partial.req.Params, content...)
		d.countMemory(partial)
		return nil, nil
	}
	if err := partial.req.Params.check(); err != nil {
		return nil, err
	}
	partial.req.Script = partial.req.Params.Get("SCRIPT_NAME")
	partial.paramsDone = true
	d.countMemory(partial)
	return nil, nil
}

// addBody handles a STDIN record; an empty one completes the request.
func (d *Decoder) addBody(partial *partialRequest, content []byte) (Event, error) {
	if len(content) > 0 {
		if len(partial.req.Body)+len(content) > maxBodyBytes {
			return d.reject(partial), nil
		}
		partial.req.Body = append(partial.req.Body, content...)
		d.countMemory(partial)
		return nil, nil
	}
	if !partial.paramsDone {
		return nil, fmt.Errorf("%w: STDIN ended before PARAMS", ErrRecord)
	}
	d.drop(partial)
	d.inProgress[partial.req.ID] = true
	return &partial.req, nil
}
