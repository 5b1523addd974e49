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

// readBufferBytes is the size of the buffer for the input. A line may be longer.
const readBufferBytes = 1 << 20

// Host runs the simulated router instances, all in one process.
type Host struct {
	routers       map[string]*policy.Router // by the name of the instance
	endpointLists map[int][]policy.Endpoint // by number, which a later list may reuse
	log           io.Writer
}

// NewHost returns a host without instances. It writes messages about ignored events to log.
func NewHost(log io.Writer) *Host {
	return &Host{
		routers:       map[string]*policy.Router{},
		endpointLists: map[int][]policy.Endpoint{},
		log:           log,
	}
}

// Serve answers the batches that it reads from in, until in ends. It flushes each reply. Empty lines are
// ignored. It stops with an error at an invalid batch, or if it cannot read or write.
func (h *Host) Serve(in io.Reader, out io.Writer) error {
	input := bufio.NewReaderSize(in, readBufferBytes)
	output := bufio.NewWriter(out)
	for {
		line, readErr := input.ReadBytes('\n')
		if len(bytes.TrimSpace(line)) > 0 {
			if err := h.serveLine(line, output); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

// serveLine answers a batch.
func (h *Host) serveLine(line []byte, output *bufio.Writer) error {
	encodedReply, err := h.HandleBatch(line)
	if err != nil {
		return err
	}
	if _, err := output.Write(append(encodedReply, '\n')); err != nil {
		return err
	}
	return output.Flush()
}

// HandleBatch handles the events of a batch in their order and returns the reply, without a line feed. An error
// means that the batch, one of its events or the settings in one are invalid; the events before the invalid
// one have been handled.
func (h *Host) HandleBatch(line []byte) ([]byte, error) {
	var b batch
	if err := json.Unmarshal(line, &b); err != nil {
		return nil, fmt.Errorf("invalid batch: %w", err)
	}
	if b.Now == nil {
		return nil, errors.New("invalid batch: no moment-us")
	}
	batchReply := reply{Actions: []action{}}
	for _, rawEvent := range b.Events {
		var e event
		if err := json.Unmarshal(rawEvent, &e); err != nil {
			return nil, fmt.Errorf("invalid event: %w", err)
		}
		actions, err := h.handleEvent(*b.Now, &e)
		if err != nil {
			return nil, err
		}
		batchReply.Actions = append(batchReply.Actions, actions...)
	}
	return json.Marshal(batchReply)
}

// handleEvent handles one event and returns the actions of its instance. A panic is reported to the simulator
// as an action, which ends the simulation but not the process.
func (h *Host) handleEvent(now microseconds, e *event) (actions []action, err error) {
	defer func() {
		if p := recover(); p != nil {
			actions = []action{{Name: actionFault, Instance: e.Instance, Message: fmt.Sprint(p)}}
		}
	}()
	switch e.Name {
	case eventEndpointList:
		h.endpointLists[e.ListNumber] = decodeEndpoints(e.Endpoints)
		return nil, nil
	case eventStart:
		return nil, h.start(e)
	case eventStop:
		delete(h.routers, e.Instance)
		return nil, nil
	}
	return h.handleInstanceEvent(now, e), nil
}

// start starts an instance. It replaces a running one of the same name.
func (h *Host) start(e *event) error {
	decodedSettings, err := settings.Decode(e.Settings)
	if err != nil {
		return fmt.Errorf("invalid settings: %w", err)
	}
	h.routers[e.Instance] = policy.New(decodedSettings.Policy, e.Seed)
	return nil
}

// handleInstanceEvent passes an event to the router of its instance. An event for an instance that is not running
// is logged and ignored.
func (h *Host) handleInstanceEvent(now microseconds, e *event) (actions []action) {
	router := h.routers[e.Instance]
	if router == nil {
		h.logf("%s for an instance that is not running: %q", e.Name, e.Instance)
		return nil
	}
	policyEvent := h.decodeEvent(e)
	if policyEvent == nil {
		return nil
	}
	for _, a := range router.Handle(now.duration(), policyEvent) {
		actions = append(actions, encodeAction(e.Instance, a))
	}
	return actions
}

// logf writes a message to the log.
func (h *Host) logf(format string, args ...any) {
	//nolint:errcheck // a lost message must not end the simulation
	fmt.Fprintf(h.log, "simadapter: "+format+"\n", args...)
}
