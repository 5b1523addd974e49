package fastcgi

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
)

type partial struct {
	req        Request
	params     []byte
	paramsDone bool
}

// Decoder reads one connection's records. The zero value is ready.
type Decoder struct {
	open     map[uint16]*partial // being received
	answered map[uint16]bool     // received whole, still to be answered
	held     int
}

// Done tells the decoder that the request has been answered or abandoned, so its number may be used again.
func (d *Decoder) Done(id uint16) { delete(d.answered, id) }

// BufferedBytes is how many bytes of requests that have not come whole the decoder keeps.
func (d *Decoder) BufferedBytes() int { return d.held }

// DropPartial forgets the requests that have come in part, and returns their numbers.
func (d *Decoder) DropPartial() []uint16 {
	numbers := slices.Sorted(maps.Keys(d.open))
	clear(d.open)
	d.held = 0
	return numbers
}

// Receiving says whether a request has come in part.
func (d *Decoder) Receiving() bool { return len(d.open) > 0 }

// Busy says whether a request is being received or waits for its answer.
func (d *Decoder) Busy() bool { return len(d.open)+len(d.answered) > 0 }

// Decode takes one record off data. It returns how many bytes it used, 0 when the record is not whole yet,
// and an event when the record completed one, else nil. An error is final for the connection.
func (d *Decoder) Decode(data []byte) (used int, ev Event, err error) {
	if len(data) < headerLen {
		return 0, nil, nil
	}
	if data[0] != version {
		return 0, nil, ErrVersion
	}
	content, padding := int(binary.BigEndian.Uint16(data[4:])), int(data[6])
	used = headerLen + content + padding
	if len(data) < used {
		return 0, nil, nil
	}
	ev, err = d.record(data[1], binary.BigEndian.Uint16(data[2:]), data[headerLen:headerLen+content])
	return used, ev, err
}

// MissingBytes is how many bytes the record that data begins with still lacks; 0: it is whole, or its header is not.
func MissingBytes(data []byte) int {
	if len(data) < headerLen {
		return 0
	}
	size := headerLen + int(binary.BigEndian.Uint16(data[4:])) + int(data[6])
	return max(0, size-len(data))
}

func (d *Decoder) record(kind byte, id uint16, content []byte) (Event, error) {
	if id == 0 {
		return management(kind, content)
	}
	switch kind {
	case typeBegin:
		return d.begin(id, content)
	case typeAbort:
		return d.abort(id)
	}
	p := d.open[id]
	if p == nil {
		return nil, nil // FastCGI: records of a request that is not open are ignored
	}
	switch kind {
	case typeParams:
		return d.addParams(p, content)
	case typeStdin:
		return d.addBody(p, content)
	case typeData:
		return nil, nil // the Responder role has no use for it
	}
	return Reply{Data: unknownType(kind)}, nil
}

func (d *Decoder) begin(id uint16, content []byte) (Event, error) {
	if len(content) != 8 {
		return nil, fmt.Errorf("%w: BEGIN_REQUEST of %d bytes", ErrRecord, len(content))
	}
	if d.open[id] != nil || d.answered[id] {
		return nil, fmt.Errorf("%w: request %d begun twice", ErrRecord, id)
	}
	keep := content[2]&flagKeepConn != 0
	if len(d.open)+len(d.answered) >= maxOpen {
		return Reply{Data: AppendEnd(nil, id, 0, Overloaded), Close: !keep}, nil
	}
	if role := binary.BigEndian.Uint16(content); role != roleResponder {
		return Reply{Data: AppendEnd(nil, id, 0, UnknownRole), Close: !keep}, nil
	}
	if d.open == nil {
		d.open, d.answered = map[uint16]*partial{}, map[uint16]bool{}
	}
	d.open[id] = &partial{req: Request{ID: id, KeepConn: keep}}
	return nil, nil
}

// abort ends a request in either state. One that had not come whole is answered here: the application never
// heard of it.
func (d *Decoder) abort(id uint16) (Event, error) {
	if p := d.open[id]; p != nil {
		delete(d.open, id)
		d.held -= len(p.params) + len(p.req.Body)
		return Reply{Data: AppendEnd(nil, id, 1, Complete), Close: !p.req.KeepConn}, nil
	}
	if d.answered[id] {
		return Abort{ID: id}, nil
	}
	return nil, nil
}

// reject drops a request that is over a limit. What still comes of it belongs to no open request.
func (d *Decoder) reject(p *partial) Rejected {
	delete(d.open, p.req.ID)
	d.held -= len(p.params) + len(p.req.Body)
	return Rejected{ID: p.req.ID, KeepConn: p.req.KeepConn, Err: ErrTooLarge}
}

func (d *Decoder) addParams(p *partial, content []byte) (Event, error) {
	if len(content) > 0 {
		if p.paramsDone || len(p.params)+len(content) > maxParams {
			return d.reject(p), nil
		}
		p.params = append(p.params, content...)
		d.held += len(content)
		return nil, nil
	}
	params, err := decodePairs(p.params)
	if err != nil {
		return nil, err
	}
	p.req.Params, p.req.Script = params, params["SCRIPT_NAME"]
	d.held -= len(p.params)
	p.params, p.paramsDone = nil, true
	return nil, nil
}

func (d *Decoder) addBody(p *partial, content []byte) (Event, error) {
	if len(content) > 0 {
		if len(p.req.Body)+len(content) > maxBody {
			return d.reject(p), nil
		}
		p.req.Body = append(p.req.Body, content...)
		d.held += len(content)
		return nil, nil
	}
	if !p.paramsDone {
		return nil, fmt.Errorf("%w: STDIN ended before PARAMS", ErrRecord)
	}
	delete(d.open, p.req.ID)
	d.answered[p.req.ID] = true
	d.held -= len(p.req.Body)
	return &p.req, nil
}

// management answers the records that belong to no request.
func management(kind byte, content []byte) (Event, error) {
	if kind != typeGetValues {
		return Reply{Data: unknownType(kind)}, nil
	}
	asked, err := decodePairs(content)
	if err != nil {
		return nil, err
	}
	var body []byte
	for _, known := range [][2]string{{"FCGI_MAX_CONNS", "256"}, {"FCGI_MAX_REQS", "2048"}, {"FCGI_MPXS_CONNS", "1"}} {
		if _, ok := asked[known[0]]; ok {
			body = appendPair(body, known[0], known[1])
		}
	}
	return Reply{Data: append(appendHeader(nil, typeGetResult, 0, len(body)), body...)}, nil
}

func unknownType(kind byte) []byte {
	return append(appendHeader(nil, typeUnknown, 0, 8), kind, 0, 0, 0, 0, 0, 0, 0)
}
