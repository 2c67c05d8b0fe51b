// Command two runs the scripts of the second review: it starts the project's own programs as
// separate processes on loopback addresses, and stands in for the platform's store, for
// replicas, for the platform's ingress and for clients. It follows the users' pages; where they
// are silent, it behaves like a sound platform, replica or client.
package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

var began = time.Now()

func since() float64 { return time.Since(began).Seconds() }

// recorder writes record.txt.
type recorder struct {
	mu sync.Mutex
	f  *os.File
}

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", since(), fmt.Sprintf(format, args...))
}

// store is the platform's store: list and watch.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]storeItem
	history []storeItem
	changed chan struct{}
}

type storeItem struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func newStore() *store {
	return &store{rev: 100, items: map[string]storeItem{}, changed: make(chan struct{})}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key string, v any) uint64 {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	it := storeItem{Key: key, Value: base64.StdEncoding.EncodeToString(b), Revision: s.rev, Created: s.rev}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
	s.wake()
	return s.rev
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.history = append(s.history, storeItem{Key: key, Revision: s.rev, Deleted: true})
	s.wake()
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("prefix")
	switch r.URL.Path {
	case "/kv-range":
		s.mu.Lock()
		entries := []storeItem{}
		for _, it := range s.items {
			if strings.HasPrefix(it.Key, prefix) && it.Key > q.Get("after") {
				entries = append(entries, it)
			}
		}
		at := s.rev
		s.mu.Unlock()
		sortItems(entries)
		writeJSON(w, map[string]any{"entries": entries, "has_more": false, "at": at})
	case "/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		over := time.After(time.Duration(wait) * time.Millisecond)
		for {
			s.mu.Lock()
			events := []storeItem{}
			for _, it := range s.history {
				if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
					events = append(events, it)
				}
			}
			at, changed := s.rev, s.changed
			s.mu.Unlock()
			if len(events) > 0 {
				writeJSON(w, map[string]any{"events": events, "at": at})
				return
			}
			select {
			case <-changed:
			case <-over:
				writeJSON(w, map[string]any{"events": events, "at": at})
				return
			case <-r.Context().Done():
				return
			}
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func sortItems(items []storeItem) {
	for i := 1; i < len(items); i++ {
		for j := i; j > 0 && items[j].Key < items[j-1].Key; j-- {
			items[j], items[j-1] = items[j-1], items[j]
		}
	}
}

// zoneRegions are the zones of the deployment with their regions.
var zoneRegions = [][2]string{{"zone-a", "region-a"}, {"zone-b", "region-b"}, {"zone-c", "region-c"}}

// ports of each machine, as on all machines of a day.
const (
	portControl   = 8000
	portReady     = 8002
	portFrontend  = 8005
	portFirstPeer = 7700
	portLastPeer  = 7715
	portStore     = 8007
	portReplica   = 8010
)

// network draws loopback addresses on which the ports are free.
type network struct{ second int }

func newNetwork() (*network, error) {
	for try := range 50 {
		n := &network{second: 20 + (os.Getpid()+try*7)%200}
		free := true
		for sub := 1; sub <= 6 && free; sub++ {
			for _, p := range []int{portControl, portReady, portFrontend, portFirstPeer, portFirstPeer + 1, portStore, portReplica} {
				l, err := net.Listen("tcp", n.addr(sub, 1, p).String())
				if err != nil {
					free = false
					break
				}
				l.Close()
			}
		}
		if free {
			return n, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

func (n *network) ip(sub, host int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(n.second), byte(sub), byte(host)})
}

func (n *network) addr(sub, host, port int) netip.AddrPort {
	return netip.AddrPortFrom(n.ip(sub, host), uint16(port))
}

// serveHTTP serves h at an address.
func serveHTTP(a netip.AddrPort, h http.Handler) error {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return nil
}

// program is one of the project's programs on a machine of its own. The platform restarts it a
// short delay after it has ended.
type program struct {
	name, binary, command, dir string
	maxFDs                     int
	rec                        *recorder

	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	asked    bool
	stopped  bool
	selfEnds int
}

const restartDelay = 500 * time.Millisecond

func (p *program) settingsPath() string { return filepath.Join(p.dir, p.name+".toml") }

func (p *program) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	args := []string{p.binary, p.command}
	if p.maxFDs > 0 {
		// The platform limits the descriptors of each process (max_fds).
		args = []string{"/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s %s", p.maxFDs, p.binary, p.command)}
	}
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HAWTHORNFERRY_CONFIG=" + p.settingsPath()}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done, p.asked = cmd, done, false
	p.rec.logf("%s starts, process %d", p.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		if !p.asked {
			p.selfEnds++
			p.rec.logf("%s ENDED BY ITSELF: %v; its last line: %s", p.name, err, lastLine(out.Name()))
		} else {
			p.rec.logf("%s has ended: %v", p.name, err)
		}
		again := !p.stopped
		p.mu.Unlock()
		close(done)
		if again {
			time.Sleep(restartDelay)
			if err := p.start(); err != nil {
				p.rec.logf("%s can't be started: %v", p.name, err)
			}
		}
	}()
	return nil
}

func lastLine(path string) string {
	b, _ := os.ReadFile(path)
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	return lines[len(lines)-1]
}

// signal sends a signal to the process. ends says that the process is asked to end.
func (p *program) signal(s syscall.Signal, ends bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked = p.asked || ends
	_ = p.cmd.Process.Signal(s)
}

// term sends SIGTERM, and SIGKILL after grace_s.
func (p *program) term(grace time.Duration) {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	p.rec.logf("%s gets SIGTERM", p.name)
	p.signal(syscall.SIGTERM, true)
	go func() {
		select {
		case <-done:
		case <-time.After(grace):
			p.signal(syscall.SIGKILL, true)
		}
	}()
}

// end ends the process for good.
func (p *program) end() {
	p.mu.Lock()
	p.stopped, p.asked = true, true
	done, cmd := p.done, p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
}

func (p *program) ownEnds() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.selfEnds
}

func (p *program) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// settings writes the settings file of a program. The bounds are those of the permit desk.
func (p *program) writeSettings(ip netip.Addr, zone int, class string, seeds []netip.AddrPort, storeAddr netip.AddrPort, extra string) error {
	var b strings.Builder
	w := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	w("node_name = %q\nrole = %q\nmachine_class = %q\nip = %q", p.name, class, class, ip)
	w("zone = %q\nregion = %q\nport_range = [%d,%d]", zoneRegions[zone][0], zoneRegions[zone][1], portFirstPeer, portLastPeer)
	var s []string
	for _, a := range seeds {
		s = append(s, strconv.Quote(a.String()))
	}
	w("seeds = [%s]\nbootstrap = true\nloss_counts = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1200", strings.Join(s, ","))
	w("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"chunks\"]")
	if extra != "" {
		w("%s", extra)
	}
	w("[zones]")
	for _, z := range zoneRegions {
		w("%s = %q", z[0], z[1])
	}
	if class == "edge" {
		w("[listen]\nfrontend = \"%s:%d\"\nreadiness = \"%s:%d\"\ncontrol_plane = \"%s:%d\"", ip, portFrontend, ip, portReady, ip, portControl)
		w("[limits]\ncpu_share = 0.304\ncores = 1\nmemory_mb = 284\nmax_fds = 4200\nlink_mbps = 1000.0\ndisk_mb = 0")
	} else {
		w("[listen]\n[limits]\ncpu_share = 0.48\ncores = 1\nmemory_mb = 152\nmax_fds = 2048\nlink_mbps = 9.4\ndisk_mb = 0")
	}
	w("[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0")
	w(`[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
strict_revocation = true
revoke_ms = 5000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_slack = 100
recovery_s = 12
event_delay_ms = 120
retry_after_s = 0
version_ms = 8000
version_all_ms = 0`)
	w("[platform]\naddress = \"%s\"\nform = \"read\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nmin_ttl_ms = 1000", storeAddr)
	return os.WriteFile(p.settingsPath(), []byte(b.String()), 0o644)
}
