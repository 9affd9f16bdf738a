package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
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

// Stage is a small deployment: the store, engines and entry instances as processes of their own.
type Stage struct {
	Store   *Store
	Engines []*Engine
	Entries []*Entry
	folder  string
	record  *os.File
	started time.Time

	mu       sync.Mutex
	isClosed bool
}

// Entry is one entry instance.
type Entry struct {
	Name, Zone, Client, Ready, Peer string
	settings                        string
	logPath                         string
	command                         *exec.Cmd
	done                            chan struct{}
}

// current is the stage that cannotRun ends.
var current *Stage

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	if current != nil {
		current.Close()
	}
	os.Exit(2)
}

// NewStage starts an empty deployment. The record is written to the given file.
func NewStage(recordPath string) *Stage {
	folder, err := os.MkdirTemp("", "crew")
	if err != nil {
		cannotRun("%v", err)
	}
	record, err := os.Create(recordPath)
	if err != nil {
		cannotRun("%v", err)
	}
	s := &Stage{Store: NewStore(), folder: folder, record: record, started: time.Now()}
	current = s
	return s
}

// Record writes a line to the record.
func (s *Stage) Record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// Close ends all processes that the stage has started.
func (s *Stage) Close() {
	s.mu.Lock()
	s.isClosed = true
	s.mu.Unlock()
	for _, e := range s.Entries {
		e.Signal(syscall.SIGCONT)
		e.Kill()
	}
	s.record.Close()
	_ = os.RemoveAll(s.folder)
}

func freeAddress(ip string) string {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun("%v", err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// AddEntries starts entry instances with the settings that the template of the deploy file gives for
// the sheet of the site: one for each zone in the list.
func (s *Stage) AddEntries(memoryMB int, zones ...string) {
	var added []*Entry
	for i, zone := range zones {
		ip := fmt.Sprintf("127.0.%d.%d", 10+len(s.Entries)/200, 10+len(s.Entries)+i)
		added = append(added, &Entry{
			Name: fmt.Sprintf("front-%s-%d", zone, len(s.Entries)+i+1), Zone: zone,
			Client: freeAddress(ip), Ready: freeAddress(ip), Peer: freeAddress(ip),
		})
	}
	s.Entries = append(s.Entries, added...)
	var seeds []string
	seenZones := map[string]bool{}
	for _, e := range s.Entries { // the first machine of each zone
		if !seenZones[e.Zone] && len(seeds) < 3 {
			seenZones[e.Zone], seeds = true, append(seeds, e.Peer)
		}
	}
	for _, e := range added {
		settings := map[string]any{
			"name": e.Name, "zone": e.Zone, "client_address": e.Client, "health_address": e.Ready, "peer_address": e.Peer,
			"seeds": seeds, "store_address": s.Store.Address,
			"limits": map[string]any{"memory_mb": memoryMB, "descriptors": 4100, "processors": 1},
			"bounds": map[string]any{
				"endpoint_drain_ms": 2000, "stop_grace_ms": 8000, "revocation_ms": 5000, "strict_revocation": true,
				"retry_ratio": 0.9, "retry_slack": 58, "retry_window_ms": 10000, "exposure_share": 0.15, "exposure_slack": 30,
				"session_gap_ms": 5000,
			},
			"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "rollout"},
			"log_level": "info",
		}
		body, _ := json.Marshal(settings)
		e.settings = filepath.Join(s.folder, e.Name+".json")
		e.logPath = filepath.Join(s.folder, e.Name+".log")
		if err := os.WriteFile(e.settings, body, 0o600); err != nil {
			cannotRun("%v", err)
		}
		s.Start(e)
	}
}

// Start starts the process of an instance with the command of the deploy file, unless the stage is
// closed.
func (s *Stage) Start(e *Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		return
	}
	log, err := os.OpenFile(e.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	defer log.Close()
	e.command = exec.Command("target/wigeonusherd", "entry")
	e.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WIGEONUSHER_SETTINGS=" + e.settings}
	e.command.Stdout, e.command.Stderr = log, log
	if err := e.command.Start(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		e.command = nil
		return
	}
	e.done = make(chan struct{})
	command, done := e.command, e.done
	go func() {
		_ = command.Wait()
		close(done)
	}()
}

// Signal sends a signal to the instance.
func (e *Entry) Signal(signal syscall.Signal) {
	if e.command != nil {
		_ = e.command.Process.Signal(signal)
	}
}

// Kill ends the instance at once.
func (e *Entry) Kill() {
	if e.command == nil {
		return
	}
	_ = e.command.Process.Kill()
	<-e.done
}

// HasEnded reports whether the process has ended.
func (e *Entry) HasEnded() bool {
	if e.command == nil {
		return true
	}
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// IsReady asks the instance as the platform does.
func (e *Entry) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + e.Ready + "/api/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until all instances are ready.
func (s *Stage) AwaitReady() {
	deadline := time.Now().Add(20 * time.Second)
	for _, e := range s.Entries {
		for !e.IsReady() {
			if time.Now().After(deadline) {
				cannotRun("%s does not get ready", e.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// Answer is what a client saw of one attempt.
type Answer struct {
	Status   int
	Header   http.Header
	Body     string
	Complete bool
	Err      error
}

func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("status %d, not complete: %v", a.Status, a.Err)
	}
	return fmt.Sprintf("status %d, stamp %q, Retry-After %q, %d bytes", a.Status, a.Header.Get("Wigeonusher-Server-Stamp"), a.Header.Get("Retry-After"), len(a.Body))
}

// Request is one attempt of a client.
type Request struct {
	ID, Method, Path, Body string
	Timeout                time.Duration
	// From is the client's own address, empty for any.
	From string
}

const (
	host = "ficu95.example"
	key  = "n2ctnfzs989anu6wsjnb"
)

func (r Request) encode() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nWigeonusher-Attempt-Id: %s\r\nWigeonusher-Credential: %s\r\nWigeonusher-Deadline-Remaining-Ms: %d\r\n",
		r.Method, r.Path, host, r.ID, key, r.Timeout.Milliseconds())
	if r.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	return b.String() + "\r\n" + r.Body
}

// Dial opens a channel of a client.
func Dial(address, from string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second}
	if from != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(from)}
	}
	return dialer.Dial("tcp", address)
}

// Send sends one attempt on a channel of its own.
func Send(address string, r Request) Answer {
	conn, err := Dial(address, r.From)
	if err != nil {
		return Answer{Err: err}
	}
	defer conn.Close()
	return SendOn(conn, r)
}

// SendOn sends one attempt on an open channel and reads its answer.
func SendOn(conn net.Conn, r Request) Answer {
	_ = conn.SetDeadline(time.Now().Add(r.Timeout + 500*time.Millisecond))
	if _, err := io.WriteString(conn, r.encode()); err != nil {
		return Answer{Err: err}
	}
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, &http.Request{Method: r.Method})
	for err == nil && response.StatusCode < 200 {
		response, err = http.ReadResponse(reader, &http.Request{Method: r.Method})
	}
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Header: response.Header, Body: string(body), Complete: err == nil, Err: err}
}

// Route returns a route of the config.
func Route(name, prefix, kind, service string, timeoutMillis, aimMillis int) map[string]any {
	route := map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMillis, "target_latency_ms": aimMillis,
		"priority": 2, "service": service, "max_attempts": 3, "public": false, "session_affinity": false,
	}
	if kind == "stream" {
		route["target_gap_ms"], route["stream_resume"] = 1200, false
	}
	return route
}

// PutConfig writes a config with the given routes as the operator does.
func (s *Stage) PutConfig(version int, routes ...map[string]any) {
	services := []any{}
	seen := map[any]bool{}
	for _, route := range routes {
		if !seen[route["service"]] {
			seen[route["service"]] = true
			services = append(services, map[string]any{"name": route["service"], "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false})
		}
	}
	s.Store.Put("keyed.op", "config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{key}, "priority": 1}},
	})
}

// hasTrouble reports whether the case runs with its disruption.
func hasTrouble() bool { return os.Getenv("TROUBLE") != "0" }
