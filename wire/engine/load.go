package engine

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/rotisserie/eris"
)

const maxReportBytes = 64 << 10

// LoadReport is an endpoint's report of its load and its loaded model versions.
type LoadReport struct {
	ID      string   `json:"id"`
	Running int      `json:"running"`
	Queued  int      `json:"queued"`
	Leaving bool     `json:"leaving"`
	Loaded  []string `json:"loaded"`
	// ReportedUnixMillis is the time of the report in milliseconds since the Unix
	// epoch.
	ReportedUnixMillis int64 `json:"at_unix_ms"`
}

// Load reads the load report of the endpoint at the address.
func (c *Client) Load(ctx context.Context, address string) (LoadReport, error) {
	var report LoadReport
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return report, eris.Wrap(err, "engine: build request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return report, eris.Wrap(err, "engine: request load report")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return report, &StatusError{Status: response.StatusCode}
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report)
	return report, eris.Wrap(err, "engine: decode load report")
}

// Reachable reports whether a TCP connection to the address can be established
// before the context ends. [Config.DialTimeout] does not apply.
func (c *Client) Reachable(ctx context.Context, address string) bool {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}
