package main

import (
	"bufio"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wigeonusher/wigeonusher/platform/platformtest"
)

// runAsDaemon makes the test binary the daemon itself.
const runAsDaemon = "WIGEONUSHERD_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runAsDaemon) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// A hangup that comes while the instance drains does not end it before its
// time.
func TestHangupWhileStoppingDoesNotKill(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	store.PutConfig(1, platformtest.Key)
	settings := filepath.Join(t.TempDir(), "settings.json")
	body, err := json.Marshal(map[string]any{
		"name": "entry", "zone": "zone-a", "client_address": "127.0.0.1:0", "health_address": "127.0.0.1:0",
		"peer_address": "127.0.0.1:0", "store_address": store.Address(),
		"bounds": map[string]any{"balancer_lag_ms": 1500},
	})
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(settings, body, 0o600))

	daemon := exec.Command(os.Args[0], "entry")
	daemon.Env = append(os.Environ(), runAsDaemon+"=1", "WIGEONUSHER_SETTINGS="+settings)
	output, err := daemon.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, daemon.Start())
	lines := bufio.NewScanner(output)
	waitLine(t, lines, "configuration in force")
	assert.NilError(t, daemon.Process.Signal(syscall.SIGHUP))
	waitLine(t, lines, "settings read again")
	// Changed settings are noticed without a signal too.
	changed := strings.Replace(string(body), `"balancer_lag_ms":1500`, `"balancer_lag_ms":1400,"retry_slack":7`, 1)
	assert.NilError(t, os.WriteFile(settings, []byte(changed), 0o600))
	waitLine(t, lines, `"changed":["bounds/balancer_lag_ms","bounds/retry_slack"]`)
	assert.NilError(t, daemon.Process.Signal(syscall.SIGTERM))
	waitLine(t, lines, "instance drains")
	// The first may come before the stop has reached all parts.
	for range 5 {
		assert.NilError(t, daemon.Process.Signal(syscall.SIGHUP))
		waitLine(t, lines, "settings read again")
	}
	waitLine(t, lines, "instance stopped")
	for lines.Scan() { // the pipe is read to its end before Wait closes it
	}
	assert.NilError(t, daemon.Wait())
}

func waitLine(t *testing.T, lines *bufio.Scanner, part string) {
	t.Helper()
	for lines.Scan() {
		if strings.Contains(lines.Text(), part) {
			return
		}
	}
	t.Fatalf("the daemon ended before %q", part)
}
