package instancelist

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

const (
	renewInterval   = time.Second
	announceTimeout = 2 * time.Second
)

// Announcer renews the row of one endpoint in the instance list.
type Announcer struct {
	// List is the base URL of the instance list.
	List string
	// Row returns the current row of the endpoint.
	Row func() platform.ListedEndpoint
}

// Run announces the row immediately, every second and after each value received
// from the channel changed, until the context ends. It ignores errors: the next
// announcement retries.
func (a *Announcer) Run(ctx context.Context, changed <-chan struct{}) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		_ = a.announce(ctx)
		select {
		case <-ticker.C:
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (a *Announcer) announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	row := a.Row()
	body, err := json.Marshal(row)
	if err != nil {
		return eris.Wrap(err, "announcer: encode row")
	}
	target := a.List + "/v1/endpoints/" + url.PathEscape(string(row.ID))
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, target, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "announcer: build request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "announcer: send request")
	}
	return response.Body.Close()
}
