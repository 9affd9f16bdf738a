package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func mustListen(address string) net.Listener {
	l, err := net.Listen("tcp", address)
	if err != nil {
		panic(couldNotRun{err})
	}
	return l
}

type couldNotRun struct{ err error }

// Names in the config of the stage.
const (
	host         = "ficu95.example"
	key          = "n2ctnfzs989anu6wsjnb"
	pathDossier  = "/lohu930/"
	pathNote     = "/lohu931/"
	pathTag      = "/lohu932/"
	pathLookup   = "/puxa403/"
	pathBooking  = "/pufi791/"
	modelService = "huvo11a"
	plainService = "wuno96b"
)

// config is a config like that of the small installations, with their limits.
func config(version int) map[string]any {
	rt := func(name, prefix, kind, service string, timeout, target int, extra map[string]any) map[string]any {
		r := map[string]any{"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout,
			"target_latency_ms": target, "priority": 1, "service": service, "max_attempts": 3, "public": false}
		for k, v := range extra {
			r[k] = v
		}
		return r
	}
	stream := map[string]any{"sizes": []string{"m0", "m1"}, "session_affinity": true, "stream_resume": true, "target_gap_ms": 1200}
	return map[string]any{
		"version": version,
		"routes": []any{
			rt("r-dossier", pathDossier, "stream", modelService, 20000, 2000, stream),
			rt("r-note", pathNote, "stream", modelService, 15000, 3000, stream),
			rt("r-tag", pathTag, "stream", modelService, 5000, 4000, stream),
			rt("r-lookup", pathLookup, "idempotent", plainService, 1500, 300, nil),
			rt("r-booking", pathBooking, "non_idempotent", plainService, 1500, 300, nil),
		},
		"services": []any{
			map[string]any{"name": modelService, "health_path": "/health", "max_connections": 310, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 48, "kv_capacity_tokens": 543974, "models": []any{map[string]any{"name": "m0", "cost": 0.016}, map[string]any{"name": "m1", "cost": 0.24}}}},
			map[string]any{"name": plainService, "health_path": "/health", "max_connections": 1100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{key}, "priority": 1}},
	}
}

// Stage is one run of a case.
type Stage struct {
	store     *Store
	engines   []*Engine
	instances []*Instance
	dir       string
	memoryMB  int

	mu     sync.Mutex
	record *os.File
	start  time.Time
}

// Instance is a process of the system.
type Instance struct {
	Name, Zone, Front, Ready, Control string
	cmd                               *exec.Cmd
	log                               string
	mu                                sync.Mutex
	peakMB                            float64
	// memoryEnds counts how often the process was killed for its memory.
	memoryEnds     int
	stopping, lost bool
	done           chan struct{}
}

func (s *Stage) Log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f "+format+"\n", append([]any{time.Since(s.start).Seconds()}, args...)...)
}

func freePort() string {
	l := mustListen("127.0.0.1:0")
	defer l.Close()
	return l.Addr().String()
}

// StartInstance starts an instance with settings like those of deploy/settings.json.tmpl.
func (s *Stage) StartInstance(name, zone string) *Instance {
	i := &Instance{Name: name, Zone: zone, Front: freePort(), Ready: freePort(), Control: freePort(), done: make(chan struct{})}
	var seeds []string
	for _, other := range s.instances {
		seeds = append(seeds, other.Control)
	}
	seeds = append(seeds, i.Control)
	settings := map[string]any{
		"name": name, "zone": zone, "client_address": i.Front, "health_address": i.Ready, "peer_address": i.Control,
		"seeds": seeds, "store_address": s.store.Address(),
		"limits": map[string]any{"memory_mb": s.memoryMB, "descriptors": 4100, "processors": 1},
		"bounds": map[string]any{"endpoint_drain_ms": 2000, "stop_grace_ms": 8000, "revocation_ms": 5000, "strict_revocation": true,
			"retry_ratio": 0.9, "retry_slack": 58, "retry_window_ms": 10000, "exposure_share": 0.15, "exposure_slack": 30, "session_gap_ms": 5000},
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "rollout"},
		"log_level": "info",
	}
	encoded, _ := json.MarshalIndent(settings, "", "  ")
	file := filepath.Join(s.dir, name+".json")
	if err := os.WriteFile(file, encoded, 0o600); err != nil {
		panic(couldNotRun{err})
	}
	i.log = filepath.Join(s.dir, name+".log")
	out, err := os.Create(i.log)
	if err != nil {
		panic(couldNotRun{err})
	}
	s.instances = append(s.instances, i)
	go s.keepRunning(i, file, out)
	return i
}

// keepRunning is the platform: it starts the process, and again half a second after each end.
func (s *Stage) keepRunning(i *Instance, settings string, out *os.File) {
	defer close(i.done)
	for {
		i.mu.Lock()
		if i.stopping {
			i.mu.Unlock()
			return
		}
		i.cmd = exec.Command("target/wigeonusherd", "entry")
		i.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WIGEONUSHER_SETTINGS=" + settings}
		i.cmd.Stdout, i.cmd.Stderr = out, out
		err := i.cmd.Start()
		i.mu.Unlock()
		if err != nil {
			s.Log("process %s did not start: %v", i.Name, err)
			return
		}
		ended := make(chan struct{})
		go s.watchMemory(i, i.cmd.Process, ended)
		_ = i.cmd.Wait()
		close(ended)
		i.mu.Lock()
		stopping := i.stopping
		if !stopping {
			s.Log("process %s ended: %v; processor time %v", i.Name, i.cmd.ProcessState, i.cmd.ProcessState.UserTime()+i.cmd.ProcessState.SystemTime())
		}
		i.mu.Unlock()
		if stopping {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// watchMemory is the platform: a process that exceeds memory_mb is killed. Only the resident
// memory is counted, not what the kernel holds of sockets, which the pages count too.
func (s *Stage) watchMemory(i *Instance, process *os.Process, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		resident := residentMB(process.Pid)
		i.mu.Lock()
		i.peakMB = max(i.peakMB, resident)
		i.mu.Unlock()
		if resident > float64(s.memoryMB) {
			i.mu.Lock()
			i.memoryEnds++
			s.Log("process %s exceeds its memory: %.0f MB of %d MB; the platform kills it, for the %d. time", i.Name, resident, s.memoryMB, i.memoryEnds)
			i.mu.Unlock()
			_ = process.Kill()
			return
		}
	}
}

func residentMB(pid int) float64 {
	body, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(body)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.ParseFloat(fields[1], 64)
			return kb / 1024
		}
	}
	return 0
}

func (i *Instance) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.Ready + "/api/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until all instances are ready.
func (s *Stage) AwaitReady() {
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, i := range s.instances {
			ready = ready && i.IsReady()
		}
		if ready {
			return
		}
		if time.Now().After(deadline) {
			panic(couldNotRun{errors.New("instances are not ready")})
		}
	}
}

// lose ends the machine for good.
func (i *Instance) lose() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopping, i.lost = true, true
	_ = i.cmd.Process.Kill()
}

func (i *Instance) isLost() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.lost
}

// Ends returns how often the process was killed for its memory, and the most memory that it has had.
func (i *Instance) Ends() (ends int, peakMB float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.memoryEnds, i.peakMB
}

// kept is a client that keeps its channel.
type kept struct {
	address string
	client  *http.Client
}

func newKept(address, source string) *kept {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	return &kept{address: address, client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}}}
}

// lookup sends an idempotent request of a session and reports whether it was served.
func (k *kept) lookup(id, session string) bool {
	request, _ := http.NewRequest("GET", "http://"+k.address+pathLookup+"x", nil)
	request.Host = host
	request.Header.Set("Wigeonusher-Attempt-Id", id)
	request.Header.Set("Wigeonusher-Credential", key)
	request.Header.Set("Wigeonusher-Deadline-Remaining-Ms", "4000")
	request.Header.Set("Session", session)
	response, err := k.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK && response.Header.Get("Wigeonusher-Server-Stamp") != ""
}

func (s *Stage) Close() {
	for _, i := range s.instances {
		i.mu.Lock()
		i.stopping = true
		if i.cmd != nil && i.cmd.Process != nil {
			_ = i.cmd.Process.Signal(syscall.SIGKILL)
		}
		i.mu.Unlock()
	}
	for _, i := range s.instances {
		<-i.done
	}
}

// Result is what a client saw of one attempt.
type Result struct {
	ID     string
	Sent   time.Time
	Took   time.Duration
	Status int
	Stamp  string
	Body   string
	Header http.Header
	Err    error
}

// Good reports whether the client got a whole success with its engine's stamp.
func (r Result) Good() bool { return r.Err == nil && r.Status == 200 && r.Stamp != "" }

// Do sends a request on a new channel from the given source address (nil for any).
func Do(address, source, method, path, id string, timeout time.Duration, header map[string]string, body []byte) Result {
	r := Result{ID: id, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	dialer := net.Dialer{Timeout: min(timeout, time.Second)}
	if source != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		r.Err = err
		return r
	}
	request.Host = host
	request.Header.Set("Wigeonusher-Attempt-Id", id)
	request.Header.Set("Wigeonusher-Credential", key)
	request.Header.Set("Wigeonusher-Deadline-Remaining-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err == nil {
		defer response.Body.Close()
		var answer []byte
		answer, err = io.ReadAll(response.Body)
		r.Status, r.Stamp, r.Body, r.Header = response.StatusCode, response.Header.Get("Wigeonusher-Server-Stamp"), string(answer), response.Header
	}
	r.Err, r.Took = err, time.Since(r.Sent)
	return r
}

func main() {
	cases := map[string]func(*Stage, bool) bool{"lockout": lockout, "sessions": sessions, "crowd": crowd}
	run, ok := cases[os.Args[1]]
	if !ok || len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: stage CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(run, os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play returns 1 if the rule was broken, 0 if it held, 2 if the case could not run.
func play(run func(*Stage, bool) bool, record string, trouble bool) (code int) {
	dir, err := os.MkdirTemp("", "stage")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	s := &Stage{dir: dir, record: file, start: time.Now(), memoryMB: 134, store: NewStore()}
	defer s.Close()
	defer func() {
		if p := recover(); p != nil {
			c, ok := p.(couldNotRun)
			if !ok {
				panic(p)
			}
			fmt.Fprintln(os.Stderr, "case could not run:", c.err)
			s.Log("case could not run: %v", c.err)
			code = 2
		}
	}()
	time.AfterFunc(116*time.Second, func() {
		s.Log("time is up; the case could not run")
		s.Close()
		os.RemoveAll(dir)
		os.Exit(2)
	})
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupts
		s.Close()
		os.RemoveAll(dir)
		os.Exit(2)
	}()
	broken := run(s, trouble)
	for _, e := range s.engines {
		arrivals, ran := e.Arrivals(), 0
		for _, a := range arrivals {
			if a.Ran {
				ran++
			}
		}
		s.Log("engine %s: %d requests arrived, %d ran", e.ID, len(arrivals), ran)
	}
	if broken {
		s.Log("rule BROKEN")
		fmt.Println("rule broken")
		return 1
	}
	s.Log("rule held")
	fmt.Println("rule held")
	return 0
}

// Setup starts the store's content, engines and instances of a small installation of three zones.
func (s *Stage) Setup(instances int) {
	s.store.Put("keyed.op", "config", config(7))
	zones := []string{"munnar", "vagamon", "ponmudi"}
	for n, zone := range zones {
		s.engines = append(s.engines, NewEngine(s.store, fmt.Sprintf("i-plain%d", n), plainService, zone))
		for k := range 6 { // 18 model engines, as the site has
			s.engines = append(s.engines, NewEngine(s.store, fmt.Sprintf("i-model%d%d", n, k), modelService, zone))
		}
	}
	for n := range instances {
		s.StartInstance(fmt.Sprintf("front-%s-%d", zones[n%3], n/3+1), zones[n%3])
	}
	s.AwaitReady()
	time.Sleep(2500 * time.Millisecond) // instances get to know each other
	s.Log("%d instances are ready", instances)
}
