package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Names of the stand-in installation. The limits are those of the example in `fleetbench wire`.
const (
	host    = "desk.example"
	zone    = "zone-a"
	service = "booking-desk"
	key     = "n2ctnfzs989anu6wsjnb"
)

var (
	began   = time.Now()
	logMu   sync.Mutex
	logFile *os.File
	trouble = os.Getenv("TROUBLE") != "0"
)

// note writes a line to record.txt.
func note(format string, args ...any) {
	logMu.Lock()
	defer logMu.Unlock()
	fmt.Fprintf(logFile, "%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

func say(format string, args ...any) {
	note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// cannotRun ends the case because it could not run.
func cannotRun(err error) {
	if logFile != nil {
		note("could not run: %v", err)
	}
	fmt.Fprintln(os.Stderr, "could not run:", err)
	stopAll()
	os.Exit(2)
}

// finish ends the case with its verdict.
func finish(broken bool) {
	stopAll()
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}

// engine is a stand-in of a server of the service. It is sound: it runs what it gets, once.
type engine struct {
	id, address string
	runs        atomic.Int64
	// work is how long a request takes, by its path.
	work   func(r *http.Request) time.Duration
	onRun  func(id string)
	server *http.Server
}

func newEngine(id string) *engine {
	e := &engine{id: id, work: func(*http.Request) time.Duration { return 20 * time.Millisecond }}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	e.address = listener.Addr().String()
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go e.server.Serve(listener)
	return e
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("Wigeonusher-Instance-Id", e.id)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("Wigeonusher-Attempt-Id")
	header.Set("Wigeonusher-Attempt-Id", id)
	if expected := r.Header.Get("Wigeonusher-Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run := e.runs.Add(1)
	note("%s: engine %s runs it", id, e.id)
	if e.onRun != nil {
		e.onRun(id)
	}
	select {
	case <-time.After(e.work(r)):
	case <-r.Context().Done():
		return
	}
	header.Set("Wigeonusher-Server-Stamp", e.id+"."+strconv.FormatInt(run, 10))
	header.Set("Wigeonusher-Server-Load", "1,0,64")
	header.Set("Content-Type", "application/octet-stream")
	w.Write(bytes.Repeat([]byte("b"), 800))
}

// register writes the engine into the store, and again at each liveness report.
func (e *engine) register(s *store, born int64) {
	go func() {
		for sequence := 1; ; sequence++ {
			s.put("keyed.servers", e.id, map[string]any{
				"service": service, "address": e.address, "zone": zone, "version": "v1", "slots": 64, "state": "ready",
				"cold_remaining_ms": 0, "sequence": sequence, "born": born,
			})
			time.Sleep(1200 * time.Millisecond)
		}
	}()
}

// config is the operator's config: one idempotent and one non_idempotent route.
func config() map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 20000, "target_latency_ms": 2000,
			"priority": 0, "service": service, "max_attempts": attempts, "public": false,
		}
	}
	return map[string]any{
		"version":  7,
		"routes":   []any{route("hold", "/hold/", "non_idempotent", 1), route("check", "/check/", "idempotent", 2)},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_connections": 310, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  tenants(),
	}
}

// tenants are the ten of the installation. The first one has the key of all clients.
func tenants() []any {
	const count, keys = 10, 55
	var all []any
	for n := range count {
		list := []string{}
		for i := range keys {
			list = append(list, fmt.Sprintf("anfqasnmgkcuyj%02d%04d", n, i))
		}
		if n == 0 {
			list[0] = key
		}
		all = append(all, map[string]any{"name": fmt.Sprintf("hule%03d", 930+n), "api_keys": list, "priority": 1})
	}
	return all
}

// machine is one process of the system.
type machine struct {
	name, front, ready, control string
	memoryMB                    int
	command                     *exec.Cmd
	ended                       chan struct{}
	endedAt                     time.Time
	// peakKB is the largest resident memory seen; overLimit is closed when it is over the machine's.
	peakKB    atomic.Int64
	overLimit atomic.Bool
}

var (
	machinesMu sync.Mutex
	machines   []*machine
	tempDir    string
	root       string
)

func stopAll() {
	machinesMu.Lock()
	defer machinesMu.Unlock()
	for _, m := range machines {
		if m.command != nil && m.command.Process != nil {
			m.command.Process.Kill()
			<-m.ended
		}
	}
	if tempDir != "" {
		os.RemoveAll(tempDir)
	}
}

func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// fields are the settings that the platform fills into the template: those of the small deployment of
// the Guild in the example of `fleetbench wire`.
func fields(m *machine, storeAddress string) map[string]any {
	return map[string]any{
		"node": m.name, "zone": zone, "region": "region", "seeds": []string{machines[0].control},
		"listen":    map[string]any{"front": m.front, "ready": m.ready, "control": m.control},
		"limits":    map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": m.memoryMB, "max_fds": 4100},
		"platform":  map[string]any{"address": storeAddress},
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "rollout"},
		"bounds": map[string]any{
			"drain_ms": 2000, "grace_s": 8, "revoke_ms": 5000, "strict_revoke": true, "retry_budget_ratio": 0.9,
			"retry_budget_slack": 58, "budget_window_s": 10, "exposure_share": 0.15, "exposure_slack": 30, "session_s": 5,
		},
	}
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)\|json\}\}`)

func render(template string, values map[string]any) string {
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		var value any = values
		for _, name := range strings.Split(placeholder.FindStringSubmatch(text)[1], ".") {
			value = value.(map[string]any)[name]
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			cannotRun(err)
		}
		return string(encoded)
	})
}

// start starts a machine with the command of the deploy file.
func start(name string, memoryMB int, s *store) *machine {
	m := &machine{name: name, memoryMB: memoryMB, ended: make(chan struct{}), front: freeAddress(), ready: freeAddress(), control: freeAddress()}
	machinesMu.Lock()
	machines = append(machines, m)
	machinesMu.Unlock()
	template, err := os.ReadFile(filepath.Join(root, "deploy/settings.json.tmpl"))
	if err != nil {
		cannotRun(err)
	}
	settings := filepath.Join(tempDir, name+".json")
	if err := os.WriteFile(settings, []byte(render(string(template), fields(m, s.address))), 0o600); err != nil {
		cannotRun(err)
	}
	m.command = exec.Command("target/wigeonusherd", "entry")
	m.command.Dir = root
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + tempDir, "WIGEONUSHER_SETTINGS=" + settings}
	if path := os.Getenv("CAST_LOG"); path != "" {
		if m.command.Stdout, err = os.Create(path); err != nil {
			cannotRun(err)
		}
	}
	m.command.Stderr = os.Stderr
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		cannotRun(err)
	}
	go func() {
		m.command.Wait()
		m.endedAt = time.Now()
		note("machine %s has ended: %v", m.name, m.command.ProcessState)
		close(m.ended)
	}()
	for range 400 {
		if m.isReady() {
			note("machine %s is ready, process %d, %d MB", m.name, m.command.Process.Pid, m.memoryMB)
			return m
		}
		time.Sleep(25 * time.Millisecond)
	}
	cannotRun(fmt.Errorf("machine %s does not get ready", name))
	return nil
}

var readyClient = &http.Client{Timeout: time.Second}

// isReady asks as the platform does.
func (m *machine) isReady() bool {
	response, err := readyClient.Get("http://" + m.ready + "/api/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (m *machine) hasEnded() bool {
	select {
	case <-m.ended:
		return true
	default:
		return false
	}
}

// residentKB returns the resident anonymous memory, without the pages of the program's file.
func (m *machine) residentKB() int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			n, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return n
		}
	}
	return 0
}

// enforceMemory does what the platform does: a process that exceeds memory_mb is killed.
func (m *machine) enforceMemory() {
	go func() {
		for !m.hasEnded() {
			kb := m.residentKB()
			m.peakKB.Store(max(m.peakKB.Load(), kb))
			if kb > int64(m.memoryMB)*1024 {
				note("machine %s holds %d KB, over its %d MB: the platform kills it", m.name, kb, m.memoryMB)
				m.overLimit.Store(true)
				m.command.Process.Kill()
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
}

// The children end with the thread that has started them, which must not end before.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "cast CASE FOLDER")
		os.Exit(2)
	}
	var err error
	if logFile, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		cannotRun(err)
	}
	if root, err = os.Getwd(); err != nil {
		cannotRun(err)
	}
	if tempDir, err = os.MkdirTemp("", "cast"); err != nil {
		cannotRun(err)
	}
	note("case %s, trouble %v", os.Args[1], trouble)
	run, ok := map[string]func(){"storms": storms, "heads": heads}[os.Args[1]]
	if !ok {
		cannotRun(fmt.Errorf("no case %q", os.Args[1]))
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-time.After(115 * time.Second):
			cannotRun(fmt.Errorf("not over in time"))
		case <-signals:
			cannotRun(fmt.Errorf("stopped by a signal"))
		}
	}()
	run()
}
