package tool

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/cmd/internal/control"
	"github.com/wigeonusher/wigeonusher/wire/platformhttp"
)

// logArguments are the flags of the commands that read the platform's log.
type logArguments struct {
	Log     string        `help:"Base URL of the platform's log service." placeholder:"URL" env:"WIGEONUSHER_LOG" required:""`
	Timeout time.Duration `help:"How long to go on trying while the log is unavailable." default:"15s"`
}

// newReader returns a reader at the start of the control stream.
func (a logArguments) newReader(env *environment) *control.Reader {
	return control.NewReader(platformhttp.NewLog(a.Log, env.client))
}

// openReader returns a reader that has read the control stream to its current end.
func (a logArguments) openReader(env *environment) (*control.Reader, error) {
	ctx, cancel := context.WithTimeout(env.ctx, a.Timeout)
	defer cancel()
	reader := a.newReader(env)
	return reader, catchUp(ctx, reader)
}

// catchUp reads the control stream to its current end. It retries until the context
// ends, except after [control.ErrNoSnapshot].
func catchUp(ctx context.Context, reader *control.Reader) error {
	const retryDelay = 250 * time.Millisecond
	for {
		err := reader.CatchUp(ctx)
		if err == nil || eris.Is(err, control.ErrNoSnapshot) {
			return err
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			return eris.Wrap(err, "read the control stream")
		}
	}
}

const maxStatusBytes = 1 << 20

// instanceStatus is the status reported by an instance.
type instanceStatus struct {
	Address  string `json:"address"`
	Instance string `json:"instance,omitempty"`
	Zone     string `json:"zone,omitempty"`
	Ready    bool   `json:"ready"`
	Stopping bool   `json:"stopping"`
	Revision uint64 `json:"revision"`
	// Error is the reason why the status could not be read.
	Error string `json:"error,omitempty"`
	// Details is the complete response.
	Details json.RawMessage `json:"details,omitempty"`
}

// fetchStatus reads the status of the instance at an admin address. It returns a
// failure in the status's Error field.
func (e *environment) fetchStatus(ctx context.Context, address string) instanceStatus {
	status := instanceStatus{Address: address}
	body, err := e.get(ctx, "http://"+address+"/status")
	if err == nil {
		err = json.Unmarshal(body, &status)
	}
	if err != nil {
		return instanceStatus{Address: address, Error: eris.Cause(err).Error()}
	}
	status.Address = address
	status.Details = body
	return status
}

func (e *environment) get(ctx context.Context, url string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	response, err := e.client.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "call")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStatusBytes))
	return body, eris.Wrap(err, "read answer")
}

// readInputs returns the contents of a section's file, and a reader that has read
// the control stream to its current end. If the file is not JSON, it prints the
// findings and returns an error with the exit code [ExitFindings].
func (a logArguments) readInputs(env *environment, file string) ([]byte, *control.Reader, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, eris.Wrap(err, "read file")
	}
	if findings := checkJSON(file, body); len(findings) > 0 {
		return nil, nil, env.reportFindings(findings)
	}
	reader, err := a.openReader(env)
	return body, reader, err
}
