package proxy

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"cloverdoor/internal/fastcgi"
	"cloverdoor/internal/net"
)

const (
	healthPath = "/alive"
	opsPath    = "/ops/"
	// stuckAfter is how long a client may take nothing of what it is owed before its connection is closed.
	stuckAfter = 10 * time.Second
	// idleAfter is when a connection that brings nothing and is owed nothing is closed. Clients close theirs
	// after 4 s, so one that stays would keep its descriptor for good.
	idleAfter = 5 * time.Second
	// wholeAfter is how long a client may pause over its first request, or over the rest of one, and wholeMost how
	// long it may take in all: some write slowly.
	wholeAfter = 2 * time.Second
	wholeMost  = 10 * time.Second
	// evictPartialAfter is when one that paused in the middle of a request may have to make room for another: it would lose
	// its request.
	evictPartialAfter = 250 * time.Millisecond
	// goneAfter is how long after a client has left what it asked for is given up. Nothing may begin for it after
	// 0.1 s; at once would take the answers from one that has only ended its own side.
	goneAfter = 80 * time.Millisecond
	// backpressureAt is how many bytes of answers a client may leave unread before its further requests wait.
	backpressureAt = 1 << 20
	// evictIdleAfter is the same for one that is owed nothing: a request that crosses the close within 50 ms is sent
	// again. The danger of a longer time: clients that ask once and stay, a few hundred a second, hold all places for
	// as long, and others wait to be accepted.
	evictIdleAfter = 100 * time.Millisecond
	// evictSilentAfter is the same for one that has said nothing yet: a client that means well asks as soon as it is
	// connected.
	evictSilentAfter = 50 * time.Millisecond
)

var errFull = errors.New("memory for clients is used up")

// Front speaks FastCGI with the clients. A front for a second protocol would stand beside it and hand the same
// Requests to Submit.
type Front struct {
	p        *Proxy
	listener *net.Listener
	shared   bool // another process may accept from the same socket
	conns    map[*clientConn]bool
	parking  map[*clientConn]bool // those with parked requests
	most     int
}

// Listen opens the front for clients on addr.
func (p *Proxy) Listen(addr netip.AddrPort, most int) error {
	f := p.newFront(most)
	ln, err := p.loop.Listen(addr, f.room, f.accept)
	return f.open(ln, err)
}

// ListenOn opens the front for clients on a listening socket that the platform holds. Another process may take over
// from this one on it, and both accept for a while.
func (p *Proxy) ListenOn(fd, most int) error {
	f := p.newFront(most)
	f.shared = true
	ln, err := p.loop.ListenOn(fd, f.room, f.accept)
	return f.open(ln, err)
}

func (p *Proxy) newFront(most int) *Front {
	return &Front{p: p, conns: map[*clientConn]bool{}, parking: map[*clientConn]bool{}, most: most}
}

func (f *Front) open(ln *net.Listener, err error) error {
	if err != nil {
		return err
	}
	f.listener = ln
	f.p.fronts = append(f.p.fronts, f)
	f.watch()
	return nil
}

// room says whether one more client may connect. When they hold all descriptors that they may, the one that is
// missed least has to go: one that has said nothing yet for a while, else the one longest idle, as a request
// that crosses the close is sent again. The danger: clients that connect and say nothing, or ask once and
// stay, keep out all others.
func (f *Front) room() bool {
	if len(f.conns) < f.most {
		return true
	}
	var spare *clientConn
	unread := map[*clientConn]bool{}
	for {
		for c := range f.conns {
			if !unread[c] && c.evictable() && (spare == nil || c.evictBefore(spare)) {
				spare = c
			}
		}
		if spare == nil {
			return false
		}
		if !spare.conn.Unread() {
			break
		}
		unread[spare], spare = true, nil
	}
	spare.conn.Close()
	spare.Closed(nil)
	return true
}

func (f *Front) accept(c *net.Conn) net.Handler {
	cc := &clientConn{front: f, conn: c, open: map[uint16]int64{}, owes: f.p.loop.Now()}
	f.conns[cc] = true
	return cc
}

// watch looks after connections now and then: those whose peer takes nothing, asks nothing or has vanished are
// closed.
func (f *Front) watch() {
	// A shared socket is left at once: what still comes to it waits for the process that takes over.
	if f.p.Phase() == Stopping && f.p.Leaving() {
		if !f.shared { // on its own one, what waits to be accepted would be reset
			f.listener.Accept()
		}
		f.listener.Close()
	}
	for c := range f.conns {
		c.refuseParked(f.p.loop.Now())
		bytes, since := c.conn.Backlog()
		switch {
		case bytes > 0 && f.p.loop.Now()-since > stuckAfter:
			c.conn.Close()
			c.Closed(net.ErrBacklog)
		case len(c.open) == 0 && !c.conn.Ended() && !c.conn.Unread() &&
			(c.owes != 0 && (c.idle() > wholeAfter || f.p.loop.Now()-c.owes > wholeMost) || c.idle() > idleAfter):
			c.conn.CloseFlushed()
		}
	}
	f.p.loop.At(f.p.loop.Now()+longestNap, f.watch)
}

// closeDrained closes, while clients are to leave, the connections that are empty now. It comes at the end of a turn, when
// all that has come was taken and all answers have been written and have arrived: what a client sends while its
// connection is closed but still brings output would be lost.
func (f *Front) closeDrained() {
	for c := range f.conns {
		if bytes, _ := c.conn.Backlog(); bytes == 0 && !c.conn.Ended() && c.empty() && !c.asking() && c.conn.Pending() == 0 &&
			c.conn.Unacked() == 0 && !c.conn.Unread() {
			c.conn.CloseFlushed()
		}
	}
}

// Idle says whether no client is connected any more.
func (f *Front) Idle() bool { return len(f.conns) == 0 }

// clientConn is one connection of a client.
type clientConn struct {
	front   *Front
	conn    *net.Conn
	decoder fastcgi.Decoder
	open    map[uint16]int64 // the proxy's number of each open request
	partial int              // bytes of requests that have not come whole
	last    bool             // the client asked for no further request on it
	parked  []parked         // requests that wait until the client has read more
	goneBy  net.Clock        // from when on nothing begins for a client that has left; 0: it has not

	asked    int       // requests that came whole
	owes     net.Clock // since when the client owes its first request, or the rest of one; 0: it does not
	answered net.Clock // when it last got an answer
}

// idle is how long nothing has come or gone.
func (c *clientConn) idle() time.Duration {
	return c.front.p.loop.Now() - max(c.conn.Heard(), c.answered)
}

// midRequest says whether a request has come in part.
func (c *clientConn) midRequest() bool { return c.conn.Pending() > 0 || c.decoder.Receiving() }

// evictable says whether a connection may be closed to make room for another.
func (c *clientConn) evictable() bool {
	bytes, _ := c.conn.Backlog()
	if len(c.open) > 0 || bytes > 0 || c.conn.Ended() {
		return false
	}
	return c.idle() > [...]time.Duration{evictSilentAfter, evictIdleAfter, evictPartialAfter}[c.evictionRank()]
}

// evictBefore compares evictable connections: those that have said nothing go first, those in the middle of a request last.
func (c *clientConn) evictBefore(other *clientConn) bool {
	if a, b := c.evictionRank(), other.evictionRank(); a != b {
		return a < b
	}
	return c.idle() > other.idle()
}

func (c *clientConn) evictionRank() int {
	switch {
	case c.midRequest():
		return 2
	case c.asked > 0:
		return 1
	}
	return 0
}

// Receive takes whole records off what has come in.
func (c *clientConn) Receive(data []byte) (used int, err error) {
	asked := c.asked
	used, err = c.records(data)
	c.recount()
	switch unfinished := used < len(data) || c.decoder.Receiving(); {
	case !unfinished && c.asked > 0:
		c.owes = 0
	case c.owes == 0 || c.asked > asked:
		c.owes = c.front.p.loop.Now()
	}
	if err == nil && c.front.p.held() > 2*c.front.p.mostHeld {
		err = errFull // unfinished requests can't be refused one by one
	}
	return used, err
}

// count keeps the proxy's sum of unfinished requests. A connection may be closed while what it brought is being
// taken: counted afterwards, it would stay in the sum for good, and the front would refuse more and more.
func (c *clientConn) count(held int) {
	if c.open == nil {
		held = 0
	}
	c.front.p.partial += held - c.partial
	c.partial = held
}

func (c *clientConn) recount() {
	held := c.decoder.Held()
	for _, r := range c.parked {
		held += len(r.request.Body)
	}
	c.count(held)
}

func (c *clientConn) records(data []byte) (used int, err error) {
	for !c.conn.Ended() {
		n, ev, err := c.decoder.Decode(data[used:])
		if n == 0 || err != nil {
			return used, err
		}
		used += n
		switch ev := ev.(type) {
		case *fastcgi.Request:
			c.request(ev)
		case fastcgi.Abort:
			c.abort(ev.ID)
		case fastcgi.Reply:
			c.conn.Write(ev.Data)
			c.last = c.last || ev.Close
			c.closeIfLast()
		}
	}
	return len(data), nil
}

// Closed gives up what was open on the connection.
func (c *clientConn) Closed(error) {
	delete(c.front.conns, c)
	for _, number := range c.open {
		c.front.p.Abandon(number)
	}
	c.open, c.parked = nil, nil
	delete(c.front.parking, c)
	c.count(0)
}

// PeerClosing notes that the client sends no more. It has closed, most likely, and nothing must begin for it long after. It
// may also wait for its answers all the same: it gets what can be had at once.
func (c *clientConn) PeerClosing(after net.Clock) {
	c.goneBy = max(1, after+goneAfter)
	c.front.p.loop.At(c.goneBy, c.giveUp)
}

func (c *clientConn) gone() bool { return c.goneBy != 0 && c.front.p.loop.Now() >= c.goneBy }

// giveUp ends what is open for a client that has left.
func (c *clientConn) giveUp() {
	c.refuseParked(math.MaxInt64)
	for _, number := range c.open {
		c.front.p.GiveUp(number)
	}
}

// PeerClosed says whether the client is still owed something; it is closed when it is not any more.
func (c *clientConn) PeerClosed() (owed bool) {
	c.last = true
	if bytes, _ := c.conn.Backlog(); len(c.open) == 0 && bytes == 0 {
		return false
	}
	if len(c.open) == 0 {
		c.conn.CloseFlushed()
	}
	return true
}

// parked is a request of a client that leaves its answers unread. It is not served yet, but known: its client may take
// it back, or leave.
type parked struct {
	request *fastcgi.Request
	in      Request
	at      net.Clock
}

func (c *clientConn) park(r *fastcgi.Request, in Request) {
	c.open[r.ID] = 0
	c.parked = append(c.parked, parked{r, in, c.front.p.loop.Now()})
	c.front.parking[c] = true
}

// refuseParked refuses the parked requests that have waited for half of their time: later, a refusal costs more.
func (c *clientConn) refuseParked(now net.Clock) {
	for len(c.parked) > 0 && now-c.parked[0].at >= c.parked[0].in.Wait/2 {
		r := c.unpark()
		c.front.p.turnAway(r.in, &responder{conn: c, id: r.request.ID}, Answer{Status: Refused, ComeBack: goneIn})
	}
}

func (c *clientConn) unpark() parked {
	r := c.parked[0]
	if c.parked = c.parked[1:]; len(c.parked) == 0 {
		delete(c.front.parking, c)
	}
	c.recount()
	return r
}

// unpark takes on what was parked, as far as clients have read meanwhile.
func (f *Front) unpark() {
	for c := range f.parking {
		for len(c.parked) > 0 && !c.full() {
			r := c.unpark()
			to := &responder{conn: c, id: r.request.ID}
			in, err := f.parse(r.request) // once more: classes may have changed
			if err != nil || f.p.late() {
				f.p.turnAway(r.in, to, Answer{Status: Refused, ComeBack: goneIn})
				continue
			}
			in.Wait -= f.p.loop.Now() - r.at
			c.serve(in, to)
		}
	}
}

func (c *clientConn) full() bool {
	bytes, _ := c.conn.Backlog()
	return bytes >= backpressureAt
}

func (c *clientConn) request(r *fastcgi.Request) {
	c.asked++
	c.last = c.last || !r.KeepConn
	to := &responder{conn: c, id: r.ID}
	if r.Script == healthPath {
		status := 503
		if c.front.p.Phase() == Serving {
			status = 200
		}
		to.write(fastcgi.Response{Status: status})
		return
	}
	in, err := c.front.parse(r)
	switch {
	case err != nil:
		to.write(fastcgi.Response{Status: 400, Body: []byte(err.Error() + "\n")})
	case c.gone(), c.front.p.late():
		c.front.p.turnAway(in, to, Answer{Status: Refused, ComeBack: goneIn})
	case c.full(), len(c.parked) > 0:
		c.park(r, in)
	default:
		in.Wait -= c.front.p.loop.Stalled(longestNap) // its client has been waiting for it
		c.serve(in, to)
	}
}

// serve takes on a request. One whose time is over already is refused: no answer would come in time.
func (c *clientConn) serve(in Request, to *responder) {
	if in.Wait <= 0 {
		c.front.p.turnAway(in, to, Answer{Status: Refused, ComeBack: goneIn})
		return
	}
	c.open[to.id] = 0 // Submit may answer at once, which takes it out again
	if number := c.front.p.Submit(in, to); number != 0 {
		c.open[to.id] = number
	}
}

// abort ends a request that its client gave up. FastCGI wants END_REQUEST for it, as the number is in use
// until then; there is no other answer.
func (c *clientConn) abort(id uint16) {
	if c.parked = slices.DeleteFunc(c.parked, func(r parked) bool { return r.request.ID == id }); len(c.parked) == 0 {
		delete(c.front.parking, c)
	}
	c.front.p.Abandon(c.open[id])
	c.done(id, fastcgi.AppendEnd(nil, id, 1, fastcgi.Complete))
}

// done writes the last bytes of a request and frees its number.
func (c *clientConn) done(id uint16, data []byte) {
	delete(c.open, id)
	c.answered = c.front.p.loop.Now()
	c.decoder.Done(id)
	c.conn.Write(data)
	c.closeIfLast()
}

// closeIfLast closes a connection that its client wants to be closed, once it is empty.
func (c *clientConn) closeIfLast() {
	if c.last && c.empty() {
		c.conn.CloseFlushed()
	}
}

// empty says that no request is open.
func (c *clientConn) empty() bool { return len(c.open) == 0 && !c.decoder.Busy() }

// asking says that the client has just connected, or has begun a record: what it asks would be lost by a close.
func (c *clientConn) asking() bool {
	return c.owes != 0 && c.front.p.loop.Now()-c.owes <= evictPartialAfter
}

// parse decodes the fields of a request.
func (f *Front) parse(r *fastcgi.Request) (Request, error) {
	name, ok := strings.CutPrefix(r.Script, opsPath)
	class, known := f.p.class[name]
	if !ok || !known {
		return Request{}, fmt.Errorf("no such operation: %q", r.Script)
	}
	in := Request{
		ID: r.Params["HTTP_REQ_ID"], Class: class, Name: name, Object: r.Params["HTTP_REQ_KEY"], Body: r.Body,
	}
	if !isHex(in.ID) || !isHex(in.Object) {
		return Request{}, errors.New("Req-Id and Req-Key must be 16 hex digits")
	}
	wait, err1 := number(r.Params["HTTP_REQ_WAIT_MS"], 1, 600_000)
	part, err2 := number(r.Params["HTTP_X_PIECE"], 0, 1<<31)
	group, err3 := number(r.Params["HTTP_X_LOT"], 0, 255)
	if err := errors.Join(err1, err2, err3); err != nil {
		return Request{}, fmt.Errorf("Req-Wait-Ms, X-Piece or X-Lot: %w", err)
	}
	if in.Token = r.Params["HTTP_REQ_TOKEN"]; !isToken(in.Token) {
		return Request{}, errors.New("Req-Token must be up to 64 letters, digits and -._~")
	}
	in.Wait, in.Part, in.Group = time.Duration(wait)*time.Millisecond, part, group
	if tag := r.Params["HTTP_X_VER"]; isHex(tag) {
		in.Version = tag // any other could not be passed on; the whole object is always right
	}
	return in, nil
}

// isHex reports 16 hex digits: what may pass on into the fields of a call.
func isHex(s string) bool {
	return len(s) == 16 && strings.Trim(s, "0123456789abcdefABCDEF") == ""
}

// isToken reports what may pass on as an idempotency key, or none.
func isToken(s string) bool {
	return len(s) <= 64 && strings.Trim(s, "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-._~") == ""
}

// number reads a canonical decimal, so that passing it on as a number leaves it unchanged.
func number(s string, least, most int) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil {
		return 0, err
	}
	if n < least || n > most || strconv.Itoa(n) != s {
		return 0, fmt.Errorf("%q is out of range", s)
	}
	return n, nil
}

// responder takes one answer to its client.
type responder struct {
	conn *clientConn
	id   uint16
}

// Respond encodes the answer.
func (r *responder) Respond(a Answer) {
	switch a.Status {
	case Served:
		r.write(fastcgi.Response{Status: 200, Headers: tagHeader(a.Tag), Body: a.Body})
	case Unchanged:
		r.write(fastcgi.Response{Status: 200, Headers: append(tagHeader(a.Tag), [2]string{"X-Unchanged", "1"})})
	case Refused:
		var headers [][2]string
		if ms := a.ComeBack.Milliseconds(); ms > 0 {
			headers = [][2]string{{"Srv-Wait-Ms", strconv.FormatInt(ms, 10)}}
		}
		r.write(fastcgi.Response{Status: 503, Headers: headers})
	case Overloaded:
		r.conn.done(r.id, fastcgi.AppendEnd(nil, r.id, 0, fastcgi.Overloaded))
	default:
		r.write(fastcgi.Response{Status: 502})
	}
}

func (r *responder) write(resp fastcgi.Response) {
	if r.conn.conn.Ended() {
		return
	}
	// Clients that leave their answers unread must not use up the memory: the one with a backlog loses its
	// connection, which tells it that the answer is not whole.
	if n, _ := r.conn.conn.Backlog(); n > 0 && r.conn.front.p.held() > 2*r.conn.front.p.mostHeld {
		r.conn.conn.Close()
		r.conn.Closed(errFull)
		return
	}
	r.conn.done(r.id, fastcgi.AppendResponse(make([]byte, 0, len(resp.Body)+256), r.id, resp))
}

func tagHeader(tag string) [][2]string {
	if !isHex(tag) {
		return nil
	}
	return [][2]string{{"X-Ver", tag}}
}
