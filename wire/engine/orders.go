package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"
)

// Actions of an [Order].
const (
	ActionLoad   = "load"
	ActionUnload = "unload"
)

// ErrStaleFencing reports that the engine rejected an order because it has seen
// a higher fencing number.
var ErrStaleFencing = eris.New("engine: order rejected, its fencing number is stale")

// Order asks an engine to load or unload a model version.
type Order struct {
	// Fencing is the fencing number of the claim under which the order is sent.
	Fencing uint64 `json:"fencing"`
	Action  string `json:"action"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Order sends an order to the engine at the address and waits until the engine
// has completed it. After an error other than [ErrStaleFencing] the order may
// have taken effect; it is safe to retry.
func (c *Client) Order(ctx context.Context, address string, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return eris.Wrap(err, "engine: encode order")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/orders", bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "engine: build request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrap(err, "engine: send order")
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode == http.StatusConflict:
		return ErrStaleFencing
	case response.StatusCode/100 != 2:
		return &StatusError{Status: response.StatusCode}
	}
	return nil
}
