package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rig holds what a case has started, and its record.
type rig struct {
	trouble bool
	began   time.Time
	dir     string // temporary; removed at the end

	mu     sync.Mutex
	record *os.File
	out    *bufio.Writer
	stops  []func()

	coordinator *coordinator
}

func newRig(recordPath string, trouble bool) (*rig, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	r := &rig{trouble: trouble, began: time.Now(), dir: dir, record: record, out: bufio.NewWriter(record)}
	r.coordinator = newCoordinator(r)
	r.logf("disruption: %v", trouble)
	return r, nil
}

// logf writes a line of the record.
func (r *rig) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...)) //nolint:errcheck // closeRecord reports it
}

func (r *rig) closeRecord() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return errors.Join(r.out.Flush(), r.record.Close())
}

// onStop registers what ends something that the rig has started.
func (r *rig) onStop(stop func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stops = append(r.stops, stop)
}

// stopAll ends all that was started, the latest first.
func (r *rig) stopAll() {
	r.mu.Lock()
	stops := r.stops
	r.stops = nil
	r.mu.Unlock()
	for i := len(stops) - 1; i >= 0; i-- {
		stops[i]()
	}
	os.RemoveAll(r.dir) //nolint:errcheck // a temporary folder
}

// listen opens a listening socket on a free loopback port.
func (r *rig) listen() (net.Listener, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err == nil {
		r.onStop(func() { ln.Close() }) //nolint:errcheck // at the end
	}
	return ln, err
}

// freeAddr returns a loopback address that nobody listens on.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// proxyProcess is one process of the edge proxy.
type proxyProcess struct {
	r          *rig
	name       string
	addr       string // for clients
	admin      string
	configPath string
	cmd        *exec.Cmd
	exited     chan struct{}
}

// proxyConfig is what a case chooses for a proxy.
type proxyConfig struct {
	memoryMB, sockets int
	settings          map[string]any
}

// startProxy starts a proxy by the deploy file's command and waits until it answers /alive with 200.
func (r *rig) startProxy(name string, cfg proxyConfig) (*proxyProcess, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	admin, err := freeAddr()
	if err != nil {
		return nil, err
	}
	index, updates := r.coordinator.known()
	text, err := json.Marshal(map[string]any{
		"name": name, "listen": addr, "admin_addr": admin, "seed": "8c1f30d27a5be964",
		"limits":      map[string]any{"cores": 1.0, "memory_mb": cfg.memoryMB, "sockets": cfg.sockets},
		"coordinator": r.coordinator.addr, "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000,
		"known":    map[string]any{"index": index, "updates": updates},
		"settings": cfg.settings,
	})
	if err != nil {
		return nil, err
	}
	p := &proxyProcess{r: r, name: name, addr: addr, admin: admin, exited: make(chan struct{})}
	p.configPath = filepath.Join(r.dir, name+".json")
	if err := os.WriteFile(p.configPath, text, 0o600); err != nil {
		return nil, err
	}
	run, err := deployCommand("run")
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(r.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p.cmd = exec.Command("/bin/sh", "-c", run)
	p.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+p.configPath, "TMPDIR="+r.dir)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with this process
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.cmd.Wait() //nolint:errcheck // the state says how it ended
		log.Close()  //nolint:errcheck // it is only read
		close(p.exited)
	}()
	r.onStop(func() {
		p.cmd.Process.Kill() //nolint:errcheck // it may have ended
		<-p.exited
		if path := os.Getenv("KEEP_LOG"); path != "" {
			if text, err := os.ReadFile(log.Name()); err == nil {
				os.WriteFile(path, text, 0o600) //nolint:errcheck // an aid
			}
		}
	})
	r.logf("proxy %s started by %q: memory_mb %d, sockets %d", name, run, cfg.memoryMB, cfg.sockets)
	return p, p.awaitReady()
}

var deployLine = regexp.MustCompile(`(?m)^(\w+) = "(.*?)"`)

// deployCommand returns a command of the deploy file.
func deployCommand(key string) (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for _, match := range deployLine.FindAllStringSubmatch(string(text), -1) {
		if match[1] == key {
			return match[2], nil
		}
	}
	return "", errors.New("the deploy file has no " + key)
}

// awaitReady waits until the proxy answers GET /ops/readiness with 200.
func (p *proxyProcess) awaitReady() error {
	for range 200 {
		if status, _, err := p.call("GET", "/ops/readiness"); err == nil && status == http.StatusOK {
			p.r.logf("proxy %s is ready", p.name)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("proxy %s is not ready after 10 s", p.name)
}

// call makes an operator's call.
func (p *proxyProcess) call(method, path string) (status int, body string, err error) {
	request, err := http.NewRequest(method, "http://"+p.admin+path, nil)
	if err != nil {
		return 0, "", err
	}
	request.Close = true
	client := http.Client{Timeout: 5 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close() //nolint:errcheck // it was read
	var b strings.Builder
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		b.WriteString(scanner.Text() + "\n")
	}
	return response.StatusCode, b.String(), scanner.Err()
}

// signal sends a signal to the process, which `run` has started by exec.
func (p *proxyProcess) signal(s syscall.Signal) {
	p.r.logf("signal to proxy %s: %v", p.name, s)
	p.cmd.Process.Signal(s) //nolint:errcheck // it may have ended
}

// ended reports whether the process has ended.
func (p *proxyProcess) ended() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// memoryMB returns the resident memory of the process in MiB; 0 if it has ended.
func (p *proxyProcess) memoryMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	match := regexp.MustCompile(`VmRSS:\s+(\d+) kB`).FindSubmatch(text)
	if match == nil {
		return 0
	}
	kb, _ := strconv.Atoi(string(match[1]))
	return kb >> 10
}

// settings returns settings like those of a small deployment: one office with caches, a hub with parents, the origin.
func settings() map[string]any {
	class := func(name, semantics string, deadline, promise int, gain float64) map[string]any {
		return map[string]any{"name": name, "semantics": semantics, "key-scope": "all", "window-us": 5000000,
			"deadline-us": deadline, "promise-us": promise, "aim-stretch": 2.0, "gain": gain, "late-worth": 0.1, "stream": false}
	}
	return map[string]any{
		"areas": []string{"costa", "edge-1"}, "host-types": []string{"estandar", "parent", "origin"}, "zone": 1,
		"index": 0, "group-size": 3, "weight-source": "rough",
		"classes": []any{class("artes", "read_like", 6000000, 500000, 2), class("fichas", "read_like", 3000000, 300000, 1),
			class("registro", "non_idempotent", 3000000, 800000, 3)},
		"costs": map[string]any{"handshake": 0.0},
		"domain": map[string]any{
			"attached-to": []int{0, 0}, "can-join": true, "class-fresh-us": []int{0, 12000000, 0}, "grace-for-us": []int{0, 0, 0},
			"pass-on": []bool{false, false, true}, "count-by-zone": []int{0, 3}, "direct": true, "one-flow-kb-per-s": 6400.0,
			"pipe-kb-per-s": []float64{0, 53913.0}, "peers-fill": "location", "root-kind": 2, "upper-kind": 1,
			"parent-floor": 0.069, "parent-limit-factor": 2.0, "upper-cold-us": 18000000,
			"purge-slack-us": 300000, "cleared-within-us": 6000000,
		},
		"limits": map[string]any{
			"conn-idle-us": 15000000, "connect-timeout-us": 400000, "max-attempts": 8, "max-open": 20000,
			"max-retry-after-us": 500000, "may-cancel": true, "retry-after": true, "second-copies": true, "streams-per-conn": 32,
		},
		"rules": map[string]any{
			"answer-slack-us": 8000, "drain-grace-us": 500000, "fall-multiple": 2.0, "fall-us": 1000000, "start-capacity": 0.17,
			"warm-within-us": 18000000,
		},
	}
}
