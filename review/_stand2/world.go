package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Settings of a small deployment.
const (
	machines      = 6
	memoryMB      = 284
	configApply   = 3 * time.Second
	contact       = 5 * time.Second
	restartDelay  = 500 * time.Millisecond
	memoryCheck   = 50 * time.Millisecond
	clientTimeout = 3 * time.Second
	clientPause   = 200 * time.Millisecond
)

var zones = []string{"za", "zb", "zc"}

// world is everything that runs.
type world struct {
	trouble bool
	start   time.Time
	net     string
	dir     string
	store   *store
	nodes   []*node
	backs   []*backend

	mu      sync.Mutex
	record  *bufio.Writer
	file    *os.File
	ids     int
	closing bool
}

func newWorld(record string, trouble bool) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, start: time.Now(), record: bufio.NewWriter(f), file: f}
	if w.dir, err = os.MkdirTemp("", "stand2-"); err != nil {
		return nil, err
	}
	// A range of loopback addresses on which nothing else listens.
	for range 50 {
		w.net = fmt.Sprintf("127.%d.%d.", 64+rand.IntN(100), rand.IntN(250))
		if w.store, err = newStore(w.net + "200:0"); err == nil && w.free() {
			return w, nil
		}
	}
	return nil, fmt.Errorf("no free addresses: %v", err)
}

// free reports whether the fixed ports of all machines are free.
func (w *world) free() bool {
	for i := range machines {
		for _, port := range []string{"8001", "8002", "8003", "8004", "9464"} {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s%d:%s", w.net, i+1, port))
			if err != nil {
				return false
			}
			ln.Close()
		}
	}
	return true
}

// note writes a line to the record, with the time since the start in seconds.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.start).Seconds()}, args...)...)
}

func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ids++
	return fmt.Sprintf("r%06d", w.ids)
}

func (w *world) isClosing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closing
}

// close ends all processes and writes the record out.
func (w *world) close() {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	for _, n := range w.nodes {
		n.kill()
	}
	w.store.ln.Close()
	for _, b := range w.backs {
		b.ln.Close()
	}
	os.RemoveAll(w.dir)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Flush()
	w.file.Close()
}

// node is one machine with its daemon.
type node struct {
	w          *world
	name, host string
	zone       string
	settings   string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ends  int
	peak  int
	ended chan struct{}
}

// startNodes starts a daemon on each machine and waits until all are ready.
func (w *world) startNodes() {
	for i := range machines {
		n := &node{w: w, name: fmt.Sprintf("front-%d", i+1), host: fmt.Sprintf("%s%d", w.net, i+1), zone: zones[i%len(zones)]}
		n.settings = filepath.Join(w.dir, n.name+".toml")
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		n.lay(true)
		n.start()
	}
	for _, n := range w.nodes {
		if !n.awaitReady(15 * time.Second) {
			panic(n.name + " does not become ready")
		}
		n.lay(false)
	}
	w.note("all %d machines are ready", machines)
}

// lay writes the settings file.
func (n *node) lay(bootstrap bool) {
	w := n.w
	text := strings.NewReplacer("NAME", n.name, "HOST", n.host, "NET", w.net, "ZONE", n.zone, "REGION", "r"+n.zone[1:],
		"BOOT", strconv.FormatBool(bootstrap), "STORE", w.store.ln.Addr().String(), "MEMORY", strconv.Itoa(memoryMB)).Replace(settingsText)
	if err := os.WriteFile(n.settings+".new", []byte(text), 0o600); err != nil {
		panic(err)
	}
	if err := os.Rename(n.settings+".new", n.settings); err != nil {
		panic(err)
	}
}

const settingsText = `node_name = "NAME"
role = "edge"
machine_class = "front"
serves = ["front","control","directory"]
ip = "HOST"
zone = "ZONE"
region = "REGION"
internal_ports = [7740,7755]
seeds = ["NET1:8004","NET2:8004","NET3:8004"]
bootstrap = BOOT
in_tolerance = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[zones]
za = "ra"
zb = "rb"
zc = "rc"
[listen]
front = "HOST:8001"
ready = "HOST:8002"
control = "HOST:8004"
directory = "HOST:8003"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = MEMORY
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 5000
ack_ms = 6000
catch_up_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
max_skew_ms = 15000
retry_ratio = 0.2
retry_window_s = 10
retry_allowance = 52
recovery_s = 12
ttl_max_s = 5
[platform]
addr = "STORE"
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
`

// start starts the daemon by the command of the deploy file, in the folder of the repository, and
// starts it again whenever it ends.
func (n *node) start() {
	cmd := exec.Command("target/sycamorekeel-edge", "edge")
	cmd.Env = []string{"SYCAMOREKEEL_SETTINGS=" + n.settings, "HOME=" + n.w.dir, "PATH=" + os.Getenv("PATH")}
	log, err := os.OpenFile(filepath.Join(n.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.ended = cmd, ended
	n.mu.Unlock()
	go n.watchMemory(cmd.Process.Pid, ended)
	go func() {
		_ = cmd.Wait() // how it ended does not matter
		log.Close()
		close(ended)
		if n.w.isClosing() {
			return
		}
		n.mu.Lock()
		n.ends++
		ends := n.ends
		n.mu.Unlock()
		n.w.note("process of %s has ended (time %d): %v", n.name, ends, cmd.ProcessState)
		time.Sleep(restartDelay)
		if !n.w.isClosing() {
			n.start()
		}
	}()
}

// watchMemory kills a process that exceeds its memory, as the platform does.
func (n *node) watchMemory(pid int, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(memoryCheck):
		}
		mb := heldMB(pid)
		n.mu.Lock()
		n.peak = max(n.peak, mb)
		n.mu.Unlock()
		if mb > memoryMB {
			n.w.note("%s holds %d MB, its memory is %d MB: killed by the platform", n.name, mb, memoryMB)
			_ = syscall.Kill(pid, syscall.SIGKILL) // it may have ended
			return
		}
	}
}

// heldMB returns the anonymous resident memory of a process, without the pages of its program, 0 if
// it has ended.
func heldMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kb int
		if _, err := fmt.Sscanf(line, "RssAnon: %d kB", &kb); err == nil {
			return kb >> 10
		}
	}
	return 0
}

func (n *node) kill() {
	n.mu.Lock()
	cmd, ended := n.cmd, n.ended
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // it may have ended
	<-ended
}

func (n *node) awaitReady(limit time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if resp, err := client.Get("http://" + n.host + ":8002/api/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// counts returns how often the process has ended by itself and its peak memory in MB.
func (n *node) counts() (ends, peak int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ends, n.peak
}

// result is what a client got.
type result struct {
	id, node, path string
	sent           time.Time
	status         int
	// ranBy is the service that signed the answer, "" if none did.
	ranBy string
	err   error
}

// client sends a request each clientPause to one machine, on a kept connection, until done is closed.
func (w *world) client(n *node, paths []string, done <-chan struct{}, out chan<- result) {
	var conn net.Conn
	var br *bufio.Reader
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(clientPause):
		}
		r := result{id: w.newID(), node: n.name, path: paths[i%len(paths)], sent: time.Now()}
		if conn == nil {
			c, err := net.DialTimeout("tcp", n.host+":8001", time.Second)
			if err != nil {
				w.note("client %s: no connection to %s", r.id, n.name)
				continue
			}
			conn, br = c, bufio.NewReader(c)
			r.sent = time.Now()
		}
		closes := w.exchange(conn, br, &r)
		if r.err != nil {
			w.note("client %s sent GET %s to %s: %v", r.id, r.path, n.name, r.err)
		} else {
			w.note("client %s sent GET %s to %s: %d, run by %q", r.id, r.path, n.name, r.status, r.ranBy)
		}
		if closes {
			conn.Close()
			conn = nil
		}
		out <- r
	}
}

// exchange sends one request and reads the answer. It returns whether the connection must be closed.
func (w *world) exchange(conn net.Conn, br *bufio.Reader, r *result) (closes bool) {
	if r.err = conn.SetDeadline(time.Now().Add(clientTimeout)); r.err != nil {
		return true
	}
	_, r.err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: desk.example\r\nX-Sycamorekeel-Request-Id: %s\r\nX-Sycamorekeel-Deadline-Ms: 2000\r\n\r\n", r.path, r.id)
	if r.err != nil {
		return true
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		r.err = err
		return true
	}
	if _, r.err = io.Copy(io.Discard, resp.Body); r.err != nil {
		return true
	}
	r.status = resp.StatusCode
	r.ranBy, _, _ = strings.Cut(resp.Header.Get("X-Sycamorekeel-Server-Stamp"), "/")
	return resp.Close
}

// backend is a sound backend.
type backend struct {
	w           *world
	id, service string
	ln          net.Listener
}

// startBackends starts and registers backends of a service.
func (w *world) startBackends(service string, count int) {
	for i := range count {
		ln, err := net.Listen("tcp", w.net+"100:0")
		if err != nil {
			panic(err)
		}
		b := &backend{w: w, id: fmt.Sprintf("i-%s-%d", service, i), service: service, ln: ln}
		w.backs = append(w.backs, b)
		go http.Serve(ln, b) // ends with the listener
		w.store.putJSON("servers/"+b.id, map[string]any{
			"service": service, "addr": ln.Addr().String(), "zone": zones[i%len(zones)], "version": "v1",
			"slots": 5, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": w.start.UnixMilli(),
		})
	}
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Sycamorekeel-Instance-Id", b.id)
		return
	}
	id := r.Header.Get("X-Sycamorekeel-Request-Id")
	w.Header().Set("X-Sycamorekeel-Request-Id", id)
	if e := r.Header.Get("X-Sycamorekeel-Expect-Instance"); e != "" && e != b.id {
		w.Header().Set("X-Sycamorekeel-Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.w.note("backend %s of %s runs %s", b.id, b.service, id)
	time.Sleep(9 * time.Millisecond)
	w.Header().Set("X-Sycamorekeel-Server-Stamp", b.service+"/"+b.id+"/"+id)
	fmt.Fprintf(w, "record of %s", id)
}

// route is a route of the configuration to one service.
func route(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": "desk.example", "prefix": prefix, "type": "safe", "service": service,
		"timeout_ms": 2000, "slo_ms": 120, "priority": 1, "attempts": 2,
	}
}

// configure writes a version of the configuration. Its return is the acknowledgement.
func (w *world) configure(version int, routes ...map[string]any) {
	services := []any{}
	for _, name := range []string{"desk-old", "desk-new"} {
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_conns": 41, "protocol": "h1", "tls": false})
	}
	w.store.putJSON("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 20000},
	})
	w.note("operator: version %d is acknowledged", version)
}

// unreadable writes entries that cannot be read, as another writer may, one each gap.
func (w *world) unreadable(count, bytes int, gap time.Duration) {
	values := make([][]byte, count)
	for i := range values {
		values[i] = randomBytes(uint64(i), bytes)
	}
	w.note("another writer: %d entries of %d unreadable bytes, one each %v", count, bytes, gap)
	next := time.Now()
	for i, v := range values {
		w.store.put(fmt.Sprintf("servers/w-%03d", i), v)
		next = next.Add(gap)
		time.Sleep(time.Until(next))
	}
	w.note("another writer: all entries are written")
}

func randomBytes(seed uint64, n int) []byte {
	r := rand.New(rand.NewPCG(seed, 1))
	out := make([]byte, 0, n+8)
	for len(out) < n {
		x := r.Uint64()
		for i := range 8 {
			out = append(out, byte(x>>(8*i)))
		}
	}
	return out[:n]
}
