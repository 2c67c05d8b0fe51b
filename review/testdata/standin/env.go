package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// env is what all cases share: the record, the addresses and the processes.
type env struct {
	trouble bool
	binary  string
	dir     string
	began   time.Time
	// net is the second number of the run's loopback addresses, and lock holds them.
	net  int
	lock net.Listener

	mu        sync.Mutex
	out       *os.File
	broken    string
	processes []*process
}

// logf writes a line with the seconds since the start to the record.
func (e *env) logf(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(e.out, "%8.3f %s\n", time.Since(e.began).Seconds(), fmt.Sprintf(format, args...))
}

// violate records that the rule is broken. The first time decides the result.
func (e *env) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	e.logf("RULE BROKEN: %s", text)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.broken == "" {
		e.broken = text
	}
}

func (e *env) violated() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.broken != ""
}

// firstNet is the second number of the loopback addresses that are tried first. They are the same
// in each run if they are free, since replicas are ranked by their addresses.
const firstNet = 77

// chooseNet chooses loopback addresses that no other run uses.
func (e *env) chooseNet() error {
	for e.net = firstNet; e.net < firstNet+50; e.net++ {
		l, err := net.Listen("tcp", e.ip(9, 0)+":8000")
		if err == nil {
			e.lock = l
			return nil
		}
	}
	return fmt.Errorf("%w: no free loopback addresses", errNotRun)
}

// ip returns the loopback address of a machine.
func (e *env) ip(subnet, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", e.net, subnet, n+1)
}

// listen serves HTTP at an address until the process ends.
func (e *env) listen(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, h) }()
	return nil
}

// process is one of the project's programs.
type process struct {
	env      *env
	name     string
	command  string
	settings string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	ending bool
}

func (p *process) path(suffix string) string { return filepath.Join(p.env.dir, p.name+suffix) }

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := os.WriteFile(p.path(".toml"), []byte(p.settings), 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(p.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.env.binary, p.command)
	cmd.Env = []string{"HAWTHORNFERRY_CONFIG=" + p.path(".toml"), "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.exited, p.ending = cmd, make(chan struct{}), false
	go func(exited chan struct{}) {
		err := cmd.Wait()
		p.mu.Lock()
		expected := p.ending
		p.mu.Unlock()
		p.env.logf("process %s ended: %v (told to: %t)", p.name, err, expected)
		close(exited)
	}(p.exited)
	p.env.logf("process %s started: %s %s", p.name, filepath.Base(p.env.binary), p.command)
	return nil
}

func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		p.ending = true
	}
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig)
	}
}

func (p *process) stop() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

func (e *env) addProcess(p *process) *process {
	p.env = e
	e.mu.Lock()
	defer e.mu.Unlock()
	e.processes = append(e.processes, p)
	return p
}

func (e *env) stopAll() {
	for _, p := range e.processes {
		p.stop()
	}
}

// The ports of each machine, and the bounds that the processes get in their settings.
const (
	portControl   = 8000
	portApp       = 8001
	portReadiness = 8002
	portFrontend  = 8005
	portStore     = 8007
	portReplica   = 8012
	firstPeerPort = 7700
	lastPeerPort  = 7715

	revokeMS  = 5000
	applyMS   = 2000
	contactMS = 3000
)

// machine describes the settings of a process.
type machine struct {
	name, class, ip, zone string
	seeds                 []string
	store                 string
	backend               string
}

// toml returns the settings file of a machine as the platform writes it.
func (m machine) toml() string {
	var b strings.Builder
	quoted := make([]string, len(m.seeds))
	for i, s := range m.seeds {
		quoted[i] = fmt.Sprintf("%q", s)
	}
	memory, link := 284, 1000.0
	if m.class == "side" {
		memory, link = 152, 9.4
	}
	fmt.Fprintf(&b, "node_name = %q\nrole = %q\nmachine_class = %q\nip = %q\nzone = %q\nregion = \"r1\"\n", m.name, m.class, m.class, m.ip, m.zone)
	fmt.Fprintf(&b, "port_range = [%d,%d]\nseeds = [%s]\nbootstrap = true\nloss_counts = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = %d\n",
		firstPeerPort, lastPeerPort, strings.Join(quoted, ","), heartbeat.Milliseconds())
	if m.class == "side" {
		fmt.Fprintf(&b, "app = \"%s:%d\"\nbackend = %q\n", m.ip, portApp, m.backend)
	}
	b.WriteString("[zones]\nz1 = \"r1\"\nz2 = \"r1\"\nz3 = \"r1\"\n[listen]\n")
	if m.class == "edge" {
		fmt.Fprintf(&b, "frontend = \"%s:%d\"\nreadiness = \"%s:%d\"\ncontrol_plane = \"%s:%d\"\n", m.ip, portFrontend, m.ip, portReadiness, m.ip, portControl)
	}
	fmt.Fprintf(&b, "[limits]\ncpu_share = 1.0\ncores = 1\nmemory_mb = %d\nmax_fds = 2048\nlink_mbps = %.1f\ndisk_mb = 0\n", memory, link)
	fmt.Fprintf(&b, "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = %d\nack_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = %d\n", contactMS, applyMS)
	fmt.Fprintf(&b, "rollback_slack_ms = 250\nouter_ms = 5000\nstrict_revocation = true\nrevoke_ms = %d\nretry_budget_ratio = 0.2\nretry_window_s = 10\nretry_slack = 100\n", revokeMS)
	b.WriteString("recovery_s = 12\nevent_delay_ms = 120\nretry_after_s = 0\nversion_ms = 8000\nversion_all_ms = 0\n")
	fmt.Fprintf(&b, "[platform]\naddress = %q\nform = \"read\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nmin_ttl_ms = 1000\n", m.store)
	return b.String()
}

// awaitReady waits until an entry says that it is ready.
func (e *env) awaitReady(ip string, within time.Duration) bool {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", ip, portReadiness))
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
