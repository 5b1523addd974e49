package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"syscall"
	"time"
)

// Proxy is one edge proxy, started as a process with the command of the deploy file.
type Proxy struct {
	Addr, Admin string // where clients and operators connect
	ConfigPath  string

	record *Record
	cmd    *exec.Cmd
	exited chan struct{}
	log    *os.File
}

// FreeAddr returns a loopback address with a port that is free now.
func FreeAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// runCommand returns the value of 'run' in the deploy file.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(text)
	if match == nil {
		return "", errors.New("the deploy file has no run")
	}
	return string(match[1]), nil
}

// WriteConfig writes a configuration in one step.
func WriteConfig(path string, config map[string]any) error {
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// StartProxy starts a proxy with a configuration, which gets its addresses here, and waits until operators are told
// that it serves.
func StartProxy(root, dir string, config map[string]any, record *Record) (*Proxy, error) {
	run, err := runCommand(root)
	if err != nil {
		return nil, err
	}
	p := &Proxy{record: record, exited: make(chan struct{}), ConfigPath: filepath.Join(dir, "config.json")}
	for _, addr := range []*string{&p.Addr, &p.Admin} {
		if *addr, err = FreeAddr(); err != nil {
			return nil, err
		}
	}
	config["listen"] = p.Addr
	config["admin_addr"] = p.Admin
	if err := WriteConfig(p.ConfigPath, config); err != nil {
		return nil, err
	}
	if p.log, err = os.Create(filepath.Join(dir, "proxy.log")); err != nil {
		return nil, err
	}
	p.cmd = exec.Command("/bin/sh", "-c", run)
	p.cmd.Dir = root
	p.cmd.Stdout = p.log
	p.cmd.Stderr = p.log
	p.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+p.ConfigPath, "BALANCER_LISTEN="+p.Addr,
		"BALANCER_ADMIN_ADDR="+p.Admin, "BALANCER_NAME="+fmt.Sprint(config["name"]), "TMPDIR="+dir)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	record.Logf("proxy", "started, clients at %s", p.Addr)
	return p, p.waitReady()
}

// waitReady waits until the proxy serves, for the 30 s that the pages allow.
func (p *Proxy) waitReady() error {
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if status, _, err := p.Call(http.MethodGet, "/ops/readiness"); err == nil && status == http.StatusOK {
			p.record.Logf("proxy", "ready")
			return nil
		}
	}
	return errors.New("the proxy was not ready within 30 s")
}

// Call makes one call of the operators' interface.
func (p *Proxy) Call(method, path string) (status int, body string, err error) {
	request, err := http.NewRequest(method, "http://"+p.Admin+path, nil)
	if err != nil {
		return 0, "", err
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// Signal sends a signal to the proxy's process.
func (p *Proxy) Signal(s syscall.Signal) error {
	p.record.Logf("platform", "sends %v to the proxy", s)
	return p.cmd.Process.Signal(s)
}

// AnonymousMemory returns how many bytes of its own, without files, the process holds in memory; 0: unknown.
func (p *Proxy) AnonymousMemory() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	match := regexp.MustCompile(`(?m)^RssAnon:\s+(\d+) kB`).FindSubmatch(text)
	if match == nil {
		return 0
	}
	kilobytes, _ := strconv.Atoi(string(match[1]))
	return kilobytes << 10
}

// Exited reports whether the process has ended.
func (p *Proxy) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Kill ends the process, copies its log to the record and waits for its end.
func (p *Proxy) Kill() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.exited
	_ = p.log.Close()
	text, err := os.ReadFile(p.log.Name())
	if err == nil && len(text) > 0 {
		const most = 8 << 10
		p.record.Logf("proxy", "log, the last %d bytes at the most:\n%s", most, text[max(0, len(text)-most):])
	}
}
