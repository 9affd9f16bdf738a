package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine runs one entry instance with the command of the deploy file, as the platform does. A
// process that ends, or that the platform kills, is started again.
type machine struct {
	name, zone            string
	front, ready, control string
	settings              string
	memoryMB              float64
	enforce               bool
	log                   *os.File

	mu       sync.Mutex
	process  *exec.Cmd
	peakMB   float64
	overruns []time.Time
	stopped  bool
	done     chan struct{}
}

// newMachines starts instances, one for each zone named.
func newMachines(folder string, memoryMB float64, stores []string, zones ...string) []*machine {
	var machines []*machine
	var seeds []string
	for i, zone := range zones {
		m := &machine{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, front: freeAddress(), ready: freeAddress(), control: freeAddress(), memoryMB: memoryMB, done: make(chan struct{})}
		machines = append(machines, m)
		seeds = append(seeds, m.control)
	}
	for i, m := range machines {
		later(m.stop)
		m.settings = filepath.Join(folder, m.name+".json")
		must(os.WriteFile(m.settings, render(m, seeds, stores[i%len(stores)]), 0o600))
		var err error
		m.log, err = os.Create(filepath.Join(folder, m.name+".log"))
		must(err)
		go m.run()
	}
	return machines
}

var usedAddresses = map[string]bool{}

func freeAddress() string {
	for {
		listener := listen()
		address := listener.Addr().String()
		listener.Close()
		if !usedAddresses[address] {
			usedAddresses[address] = true
			return address
		}
	}
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)\|json\}\}`)

// render fills in the template of the deploy file.
func render(m *machine, seeds []string, store string) []byte {
	values := map[string]any{
		"node": m.name, "zone": m.zone, "listen.front": m.front, "listen.ready": m.ready, "listen.control": m.control,
		"seeds": seeds, "platform.address": store, "limits.memory_mb": m.memoryMB, "limits.max_fds": 4100, "limits.cores": 1,
		"bounds.drain_ms": 2000, "bounds.grace_s": 8, "bounds.revoke_ms": 5000, "bounds.strict_revoke": true,
		"bounds.retry_budget_ratio": 0.9, "bounds.retry_budget_slack": 58, "bounds.budget_window_s": 10,
		"contracts": []string{}, "bounds.exposure_share": 0.15, "bounds.exposure_slack": 30, "bounds.session_s": 5,
	}
	template, err := os.ReadFile("deploy/settings.json.tmpl")
	must(err)
	return placeholder.ReplaceAllFunc(template, func(match []byte) []byte {
		value, ok := values[string(placeholder.FindSubmatch(match)[1])]
		if !ok {
			must(fmt.Errorf("the template asks for %s", match))
		}
		encoded, err := json.Marshal(value)
		must(err)
		return encoded
	})
}

func (m *machine) run() {
	defer close(m.done)
	// The kernel kills the process if the thread that has started it ends, as it does when the player
	// itself is killed. So this goroutine keeps its thread.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for {
		process := exec.Command("target/wigeonusherd", "entry")
		process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WIGEONUSHER_SETTINGS=" + m.settings}
		process.Stdout, process.Stderr = m.log, m.log
		process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		m.mu.Lock()
		if m.stopped {
			m.mu.Unlock()
			return
		}
		err := process.Start()
		m.process = process
		m.mu.Unlock()
		must(err)
		ended := make(chan struct{})
		go m.watchMemory(process.Process.Pid, ended)
		process.Wait()
		close(ended)
		time.Sleep(500 * time.Millisecond) // the short delay before a restart
	}
}

// watchMemory kills the process when it uses more memory than the machine has for it (DEPLOY.md:
// "A process that exceeds memory_mb is killed"). Only its anonymous memory is counted, not the
// pages of the program file.
func (m *machine) watchMemory(pid int, ended <-chan struct{}) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
		usedMB := anonymousMB(pid)
		m.mu.Lock()
		m.peakMB = max(m.peakMB, usedMB)
		over := m.enforce && usedMB > m.memoryMB
		if over {
			m.overruns = append(m.overruns, time.Now())
		}
		m.mu.Unlock()
		if over {
			note("platform: %s uses %.0f MB of %.0f MB and is killed", m.name, usedMB, m.memoryMB)
			syscall.Kill(pid, syscall.SIGKILL)
			return
		}
	}
}

func anonymousMB(pid int) float64 {
	status, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kilobytes / 1024
		}
	}
	return 0
}

func (m *machine) memory() (peakMB float64, overruns int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peakMB, len(m.overruns)
}

// stop ends the process for good.
func (m *machine) stop() {
	m.mu.Lock()
	m.stopped = true
	if m.log == nil { // it was never started
		m.mu.Unlock()
		return
	}
	if m.process != nil && m.process.Process != nil {
		m.process.Process.Kill()
	}
	m.mu.Unlock()
	select {
	case <-m.done:
	case <-time.After(2 * time.Second): // the caller may be the goroutine that would close it
	}
	m.log.Close()
}

// terminate sends SIGTERM to the process, as the platform does to stop it; it is then started again.
func (m *machine) terminate() {
	m.mu.Lock()
	defer m.mu.Unlock()
	must(m.process.Process.Signal(syscall.SIGTERM))
}

func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.ready + "/api/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all machines say that they are ready, and then for as long as traffic
// starts after the machines do.
func awaitReady(machines []*machine, lead time.Duration) {
	begun := time.Now()
	for _, m := range machines {
		for !m.isReady() {
			if time.Since(begun) > 20*time.Second {
				must(fmt.Errorf("%s is not ready", m.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(time.Until(begun.Add(lead)))
}
