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
	renewInterval  = time.Second
	announceBudget = 2 * time.Second
)

// Announcer keeps the row of one endpoint in the list alive.
type Announcer struct {
	// List is the base URL of the instance list.
	List string
	// Row returns the endpoint's row as it is now.
	Row func() platform.ListedEndpoint
}

// Run announces at once, each second and whenever changed receives, until the
// context ends. Failed calls are tried again at the next second.
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
	ctx, cancel := context.WithTimeout(ctx, announceBudget)
	defer cancel()
	row := a.Row()
	body, err := json.Marshal(row)
	if err != nil {
		return eris.Wrap(err, "announcer: encode row")
	}
	target := a.List + "/v1/endpoints/" + url.PathEscape(string(row.ID))
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, target, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "announcer: request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "announcer: call")
	}
	return response.Body.Close()
}
