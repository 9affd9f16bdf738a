package main

import (
	"bytes"
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

// otherBuildEnv names the daemon of another build that runs beside this one; empty runs this build
// only.
const otherBuildEnv = "WIGEONUSHERD_OTHER_BUILD"

// replacedFleet is a fleet of processes of two builds.
type replacedFleet struct {
	t     *testing.T
	store *platformtest.Store
	peers []string

	mu      sync.Mutex
	clients []string
	number  atomic.Int64
}

// daemon is one process.
type daemon struct {
	command *exec.Cmd
	client  string
	output  *bytes.Buffer
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// start starts an instance and waits until it is ready. Clients call it from then on.
func (f *replacedFleet) start(binary string) *daemon {
	f.t.Helper()
	name := "entry-" + strconv.FormatInt(f.number.Add(1), 10)
	client, health, peer := freeAddress(f.t), freeAddress(f.t), freeAddress(f.t)
	settings := filepath.Join(f.t.TempDir(), name+".json")
	body, err := json.Marshal(map[string]any{
		"name": name, "zone": platformtest.Zone, "client_address": client, "health_address": health, "peer_address": peer,
		"seeds": f.peers, "store_address": f.store.Address(),
		"bounds": map[string]any{
			"balancer_lag_ms": 500, "exposure_share": 0.15, "retry_ratio": 0.9, "retry_slack": 58, "retry_window_ms": 500,
		},
	})
	assert.NilError(f.t, err)
	assert.NilError(f.t, os.WriteFile(settings, body, 0o600))
	f.peers = append(f.peers, peer)
	d := &daemon{client: client, output: &bytes.Buffer{}}
	d.command = exec.Command(binary, "entry")
	d.command.Env = append(os.Environ(), runDaemonEnv+"=1", "WIGEONUSHER_SETTINGS="+settings)
	d.command.Stdout = d.output
	assert.NilError(f.t, d.command.Start())
	f.t.Cleanup(func() { _ = d.command.Process.Kill() }) // it has ended unless the test failed
	for end := time.Now().Add(20 * time.Second); !platformtest.IsReady(health); time.Sleep(20 * time.Millisecond) {
		assert.Assert(f.t, time.Now().Before(end), "%s is not ready: %s", name, binary)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clients = append(f.clients, client)
	return d
}

// stop stops an instance as the platform does: clients leave it a little later.
func (f *replacedFleet) stop(d *daemon) {
	f.t.Helper()
	assert.NilError(f.t, d.command.Process.Signal(syscall.SIGTERM))
	time.Sleep(200 * time.Millisecond)
	f.mu.Lock()
	for n, client := range f.clients {
		if client == d.client {
			f.clients = append(f.clients[:n], f.clients[n+1:]...)
			break
		}
	}
	f.mu.Unlock()
	assert.NilError(f.t, d.command.Wait(), "%s", d.output)
}

// load sends requests until the context ends, and returns the counts of the outcomes.
func (f *replacedFleet) load(ctx context.Context, workers int) (counts map[string]int, group *sync.WaitGroup) {
	counts, group = make(map[string]int), &sync.WaitGroup{}
	client := platformtest.NewClient()
	for worker := range workers {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				f.mu.Lock()
				target := f.clients[(n+worker)%len(f.clients)]
				f.mu.Unlock()
				request := platformtest.Request{
					ID: fmt.Sprintf("%d-%d", worker, n), Key: platformtest.Key, Timeout: 5 * time.Second,
					Path:   []string{platformtest.PathStream, platformtest.PathAtMostOnce, platformtest.PathIdempotent}[n%3] + "x",
					Prompt: fmt.Sprintf("%x:60,%x:40", 0x100+n%40, 0x10000+n),
				}
				if n%3 == 0 {
					request.Session = fmt.Sprintf("s-%d-%d", worker, n/9)
				}
				answer := client.Send(context.Background(), target, request)
				outcome := strconv.Itoa(answer.Status)
				if !answer.Complete {
					outcome = "broken"
				}
				f.mu.Lock()
				counts[outcome]++
				f.mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	return counts, group
}

// TestInstancesAreReplacedOneByOneBesideAnotherBuild replaces the instances of another build by
// this one under load, during a roll-out, and goes back with one. The other build is a daemon that
// was built by hand from an earlier commit.
func TestInstancesAreReplacedOneByOneBesideAnotherBuild(t *testing.T) {
	this, other := os.Args[0], os.Getenv(otherBuildEnv)
	if other == "" {
		other = this
	}
	store := platformtest.NewStore()
	defer store.Close()
	store.PutConfig(1, platformtest.Key)
	var engines []*platformtest.Engine
	addEngine := func(id, service, version string) {
		engine := platformtest.NewEngineVersion(store, id, service, version)
		engine.SetBehaviour(func(_ platformtest.Arrival, number int) platformtest.Behaviour {
			b := platformtest.Behaviour{Confidence: 100 * (number % 2)}
			if service == platformtest.ModelService && number%97 == 7 {
				b = platformtest.Behaviour{Full: true, Rest: "1"}
			}
			return b
		})
		t.Cleanup(engine.Close)
		engines = append(engines, engine)
	}
	for n := range 4 {
		addEngine("model-"+strconv.Itoa(n), platformtest.ModelService, "v1")
	}
	for n := range 2 {
		addEngine("desk-"+strconv.Itoa(n), platformtest.PlainService, "v1")
	}
	f := &replacedFleet{t: t, store: store}
	var running []*daemon
	for range 3 {
		running = append(running, f.start(other))
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	counts, group := f.load(ctx, 6)
	time.Sleep(time.Second)
	for n := range 4 {
		addEngine("model-new-"+strconv.Itoa(n), platformtest.ModelService, "v2")
	}
	const duration = 8 * time.Second
	store.OrderRollout(platformtest.ModelService, "v2", duration)
	ordered := time.Now()
	for n, binary := range []string{this, this, this, other} {
		running = append(running, f.start(binary))
		f.stop(running[n])
	}
	for end := ordered.Add(4 * duration); time.Now().Before(end) && store.RolloutState(platformtest.ModelService) == "running"; {
		time.Sleep(100 * time.Millisecond)
	}
	cancel()
	group.Wait()
	for _, d := range running[4:] {
		f.stop(d)
	}
	t.Logf("outcomes %v, roll-out %s", counts, store.RolloutState(platformtest.ModelService))
	for _, d := range running {
		for line := range strings.Lines(d.output.String()) {
			if strings.Contains(line, `"msg":"request"`) && !strings.Contains(line, `"outcome":"answered"`) && !strings.Contains(line, `"not_run":true`) || strings.Contains(line, `"level":"error"`) || strings.Contains(line, `"level":"warning"`) {
				t.Log(line)
			}
		}
	}
	sent := 0
	for _, count := range counts {
		sent += count
	}
	assert.Check(t, sent > 300)
	assert.Check(t, counts["200"] >= sent-sent/50, "%v", counts)
	assert.Check(t, counts["broken"] == 0, "%v", counts)
	assert.Equal(t, store.RolloutState(platformtest.ModelService), "completed")
	runs := make(map[string]int)
	for _, engine := range engines {
		for _, arrival := range engine.Arrivals() {
			if arrival.Ran && arrival.Method == http.MethodPost && arrival.Target == platformtest.PathAtMostOnce+"x" {
				runs[arrival.RequestID()]++
			}
		}
	}
	for id, count := range runs {
		assert.Check(t, count <= 1, "%s ran %d times", id, count)
	}
}
