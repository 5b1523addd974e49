package simwire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"cloverdoor/internal/settings"
	"cloverdoor/policy"
)

// Host runs the routers of one process: each batch's events go to the router they name, and its actions
// come back in the reply.
type Host struct {
	routers map[string]*policy.Router
	pages   map[int][]policy.Endpoint
	log     io.Writer
}

// NewHost returns a host without routers that writes its messages to log.
func NewHost(log io.Writer) *Host {
	return &Host{routers: map[string]*policy.Router{}, pages: map[int][]policy.Endpoint{}, log: log}
}

// Serve answers batches line by line until the input ends.
func (h *Host) Serve(in io.Reader, out io.Writer) error {
	lines := bufio.NewReaderSize(in, 1<<20)
	replies := bufio.NewWriter(out)
	for {
		line, err := lines.ReadBytes('\n')
		if len(bytes.TrimSpace(line)) > 0 {
			answer, bad := h.Batch(line)
			if bad != nil {
				return bad
			}
			replies.Write(append(answer, '\n')) //nolint:errcheck // Flush reports it
			if bad := replies.Flush(); bad != nil {
				return bad
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// Batch answers one line.
func (h *Host) Batch(line []byte) ([]byte, error) {
	var b batch
	if err := json.Unmarshal(line, &b); err != nil {
		return nil, fmt.Errorf("not a batch: %w", err)
	}
	if b.Moment == nil {
		return nil, errors.New("not a batch: no moment-us")
	}
	answer := reply{Cmds: []action{}}
	for _, raw := range b.Happened {
		var e event
		if err := json.Unmarshal(raw, &e); err != nil {
			return nil, fmt.Errorf("not an event: %w", err)
		}
		acts, err := h.event(*b.Moment, &e)
		if err != nil {
			return nil, err
		}
		answer.Cmds = append(answer.Cmds, acts...)
	}
	return json.Marshal(answer)
}

func (h *Host) event(moment int64, e *event) (acts []action, err error) {
	defer func() {
		if p := recover(); p != nil {
			acts = []action{{Op: "Fault", Proxy: e.Proxy, Message: fmt.Sprint(p)}}
		}
	}()
	switch e.Op {
	case "Page":
		h.pages[e.Ref] = members(e.Hosts)
		return nil, nil
	case "Born":
		s, err := settings.Decode(e.Conf)
		if err != nil {
			return nil, fmt.Errorf("bad settings: %w", err)
		}
		h.routers[e.Proxy] = policy.New(s.Policy, e.Seed)
		return nil, nil
	case "PowerOff":
		delete(h.routers, e.Proxy)
		return nil, nil
	}
	router := h.routers[e.Proxy]
	if router == nil {
		fmt.Fprintf(h.log, "simadapter: %s for an instance that is not running: %q\n", e.Op, e.Proxy)
		return nil, nil
	}
	told := decode(e)
	if e.Op == "Membership" && e.Mode >= 0 && e.Mode <= 2 {
		told = policy.EndpointUpdate{Full: e.Mode != 0, Endpoints: h.pages[e.Ref]}
	}
	if told == nil {
		return nil, nil
	}
	for _, a := range router.Handle(us(moment), told) {
		acts = append(acts, encode(e.Proxy, a))
	}
	return acts, nil
}
