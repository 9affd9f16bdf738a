// Package clienttest contains the tests of clients that nobody controls: they start
// `wigeonusherd entry` with lowered limits and load it from outside. Each test checks only what
// does not depend on the machine's speed. The tests run one after the other.
package clienttest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/platform/platformtest"
)

// The limits in the settings of the tests, and the bounds that follow from them.
const (
	memoryMB    = 96
	descriptors = 600
	// reservedDescriptors is the number of descriptors that are kept for files.
	reservedDescriptors = 200
	// maxMemoryKB bounds the resident memory with what the kernel holds for the sockets.
	maxMemoryKB        = memoryMB * 1024 * 8 / 10
	maxOpenDescriptors = descriptors - reservedDescriptors
	// maxBodyBytes is the limit on a body in the operator's configuration.
	maxBodyBytes = 4 << 20
	// longAnswerBytes is the size of the answer to a request whose ID begins with longPrefix.
	longAnswerBytes = 6 << 20
	// The IDs of requests that ask for a long answer, and of requests that the client never
	// completes.
	longPrefix  = "long-"
	shortPrefix = "short-"
)

var daemonPath string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "clienttest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	daemonPath = filepath.Join(dir, "wigeonusherd")
	if output, err := exec.Command("go", "build", "-o", daemonPath, "..").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// daemon is a running instance with its stand-ins.
type daemon struct {
	t               *testing.T
	client, health  string
	process         *os.Process
	store           *platformtest.Store
	engines         []*platformtest.Engine
	ended           chan struct{}
	maxDescriptors  atomic.Int64
	residentAtStart int64
	// maxMemory is the largest sum seen of the resident memory and what the kernel holds for the sockets.
	maxMemory    atomic.Int64
	stopSampling chan struct{}
	sampling     sync.WaitGroup
}

func startDaemon(t *testing.T) *daemon {
	t.Helper()
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	store.PutConfigLimits(1, map[string]int{"max_body_bytes": maxBodyBytes}, platformtest.Key)
	d := &daemon{t: t, store: store, ended: make(chan struct{}), stopSampling: make(chan struct{})}
	for i, service := range []string{platformtest.PlainService, platformtest.PlainService, platformtest.ModelService} {
		engine := platformtest.NewEngine(store, "engine-"+strconv.Itoa(i), service)
		t.Cleanup(engine.Close)
		longAnswer := strings.Repeat("x", longAnswerBytes)
		engine.SetBehaviour(func(arrival platformtest.Arrival, _ int) platformtest.Behaviour {
			behaviour := platformtest.Behaviour{Confidence: 100}
			if strings.HasPrefix(arrival.RequestID(), longPrefix) {
				behaviour.Body = longAnswer
			}
			return behaviour
		})
		d.engines = append(d.engines, engine)
	}
	settings := filepath.Join(t.TempDir(), "settings.json")
	body, err := json.Marshal(map[string]any{
		"name": "entry", "zone": platformtest.Zone, "client_address": "127.0.0.1:0", "health_address": "127.0.0.1:0",
		"peer_address": "127.0.0.1:0", "store_address": store.Address(), "log_level": "info",
		"limits": map[string]any{"memory_mb": memoryMB, "descriptors": descriptors, "processors": 1},
	})
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(settings, body, 0o600))
	command := exec.Command(daemonPath, "entry")
	command.Env = append(os.Environ(), "WIGEONUSHER_SETTINGS="+settings)
	command.Stderr = os.Stderr
	output, err := command.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, command.Start())
	d.process = command.Process
	started := make(chan struct{})
	go d.readLog(bufio.NewScanner(output), started, command)
	<-started
	t.Cleanup(func() {
		close(d.stopSampling)
		d.sampling.Wait()
		_ = d.process.Signal(syscall.SIGKILL) // fails only if the process has ended
		<-d.ended
	})
	d.awaitReady()
	d.residentAtStart = d.memoryField("VmHWM:")
	d.sampling.Add(1)
	go d.sample()
	return d
}

// readLog reads the log to its end, and takes the addresses from it.
func (d *daemon) readLog(lines *bufio.Scanner, started chan struct{}, command *exec.Cmd) {
	lines.Buffer(nil, 1<<20)
	isStarted := false
	for lines.Scan() {
		if !isStarted && strings.Contains(lines.Text(), `"instance starts"`) {
			var line struct{ Clients, Health string }
			if json.Unmarshal(lines.Bytes(), &line) == nil {
				d.client, d.health = line.Clients, line.Health
			}
			isStarted = true
			close(started)
		}
		if os.Getenv("CLIENTTEST_LOG") != "" {
			fmt.Fprintln(os.Stderr, lines.Text())
		}
	}
	if !isStarted {
		close(started)
	}
	_ = command.Wait() // each test checks that the process still runs
	close(d.ended)
}

func (d *daemon) awaitReady() {
	d.t.Helper()
	for range 2000 {
		if d.health != "" && platformtest.IsReady(d.health) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	d.t.Fatal("the instance does not get ready")
}

// memoryField returns a field of the process's status in KB: VmRSS is the resident memory and VmHWM
// its peak.
func (d *daemon) memoryField(name string) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			value, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return value
		}
	}
	return 0
}

// heldBySockets returns the bytes in KB that the kernel holds for the sockets with the given
// inodes: received and not yet read, or written and not yet received by the other side.
func heldBySockets(inodes map[string]bool) int64 {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	held := int64(0)
	for line := range strings.Lines(string(table)) {
		// The fields are described in proc_net_tcp of the kernel's documentation; 0A is a listener.
		fields := strings.Fields(line)
		if len(fields) < 10 || fields[3] == "0A" || !inodes[fields[9]] {
			continue
		}
		for queue := range strings.SplitSeq(fields[4], ":") {
			size, _ := strconv.ParseInt(queue, 16, 64)
			held += size
		}
	}
	return held >> 10
}

// descriptors returns the number of open descriptors, and the inodes of the sockets among them.
func (d *daemon) descriptors() (number int, sockets map[string]bool) {
	dir := fmt.Sprintf("/proc/%d/fd", d.process.Pid)
	entries, _ := os.ReadDir(dir) // empty once the process has ended
	sockets = make(map[string]bool)
	for _, entry := range entries {
		target, _ := os.Readlink(filepath.Join(dir, entry.Name())) // fails for one that was just closed
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return len(entries), sockets
}

func (d *daemon) sample() {
	defer d.sampling.Done()
	for {
		number, sockets := d.descriptors()
		d.maxDescriptors.Store(max(d.maxDescriptors.Load(), int64(number)))
		d.maxMemory.Store(max(d.maxMemory.Load(), d.memoryField("VmRSS:")+heldBySockets(sockets)))
		select {
		case <-d.stopSampling:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// crowd runs clients at the same time until each has done its part or was turned away. Their
// connections stay open until the test ends, unless the client closes them.
func (d *daemon) crowd(number int, client func(conn net.Conn, index int)) {
	d.t.Helper()
	var clients sync.WaitGroup
	for i := range number {
		clients.Add(1)
		go func() {
			defer clients.Done()
			conn, err := net.DialTimeout("tcp", d.client, 5*time.Second)
			if err != nil {
				return // turned away
			}
			d.t.Cleanup(func() { conn.Close() })
			// A client that is neither served nor turned away stops here.
			_ = conn.SetDeadline(time.Now().Add(crowdTime))
			client(conn, i)
		}()
	}
	clients.Wait()
}

// crowdTime is the longest time for which a client of a crowd sends or reads.
const crowdTime = 15 * time.Second

// check checks what must hold after a crowd.
func (d *daemon) check() {
	d.t.Helper()
	answered := d.isOrdinaryRequestAnswered()
	select {
	case <-d.ended:
		d.t.Error("the process has ended")
	default:
	}
	resident, memory, open := d.memoryField("VmHWM:"), d.maxMemory.Load(), d.maxDescriptors.Load()
	d.t.Logf("resident memory: %d KB at the start, %d KB at most, with its sockets %d KB (bound %d); descriptors: %d at most (bound %d)",
		d.residentAtStart, resident, memory, maxMemoryKB, open, maxOpenDescriptors)
	if resident > maxMemoryKB || memory > maxMemoryKB {
		d.t.Errorf("resident memory was %d KB, with its sockets %d KB, bound %d", resident, memory, maxMemoryKB)
	}
	if open > maxOpenDescriptors {
		d.t.Errorf("%d descriptors were open, bound %d", open, maxOpenDescriptors)
	}
	if !answered {
		d.t.Error("an ordinary request was not answered after the crowd")
	}
	for _, engine := range d.engines {
		for _, arrival := range engine.Arrivals() {
			if strings.HasPrefix(arrival.RequestID(), shortPrefix) {
				d.t.Errorf("request %s reached an engine, though its client never completed it", arrival.RequestID())
			}
		}
	}
}

// isOrdinaryRequestAnswered sends a small request from an address of its own, as a client that
// repeats what was refused.
func (d *daemon) isOrdinaryRequestAnswered() bool {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	client := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}, Timeout: 10 * time.Second}
	for i := range 40 {
		spec := platformtest.Request{ID: "ordinary-" + strconv.Itoa(i), Path: platformtest.PathAtMostOnce, Key: platformtest.Key, Timeout: 8 * time.Second}
		request, err := spec.HTTPRequest(context.Background(), d.client)
		assert.NilError(d.t, err)
		response, err := client.Do(request)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	return false
}

// head returns the head of a request, with the given framing fields.
func head(id, path string, framing ...string) []byte {
	spec := platformtest.Request{ID: id, Path: path, Key: platformtest.Key, Timeout: 8 * time.Second}
	request, err := spec.HTTPRequest(context.Background(), "127.0.0.1:1")
	if err != nil {
		panic(err)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: %s\r\n", path, platformtest.Host)
	_ = request.Header.Write(&text) // writes to a builder never fail
	for _, field := range framing {
		text.WriteString(field + "\r\n")
	}
	text.WriteString("\r\n")
	return []byte(text.String())
}
