package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// MaxServiceAnswerBytes bounds the answer of a plain service.
const MaxServiceAnswerBytes = 4 << 20

// ServiceCall is one dispatch of a call to a plain service.
type ServiceCall struct {
	Address        string
	Method         string
	PathAndQuery   string
	ContentType    string
	Body           []byte
	RequestID      string
	AttemptID      string
	IdempotencyKey string
	// Fencing is sent if it is not 0.
	Fencing uint64
	Timeout time.Duration
	// Fresh asks for a connection of its own: a kept connection may have gone
	// silent, and the call can't be repeated to find out.
	Fresh bool
}

// ServiceAnswer is a whole answer of a plain service.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Service dispatches a call and returns its whole answer. departed is told
// before a byte may leave.
func (c *Client) Service(ctx context.Context, call ServiceCall, departed Departure) (*ServiceAnswer, error) {
	ctx, watch := newWatchdog(ctx, call.Timeout)
	defer watch.stop()
	request, err := http.NewRequestWithContext(departing(ctx, departed), call.Method, "http://"+call.Address+call.PathAndQuery, bytes.NewReader(call.Body))
	if err != nil {
		return nil, eris.Wrap(err, "engine: build request")
	}
	setServiceHeaders(request, call)
	client := c.http
	if call.Fresh {
		fresh := c.freshTransport()
		defer fresh.CloseIdleConnections()
		client = &http.Client{Transport: fresh, CheckRedirect: c.http.CheckRedirect}
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, watch.explain(err)
	}
	defer response.Body.Close()
	if response.Header.Get(HeaderNotRun) == "true" {
		return nil, statusError(response)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxServiceAnswerBytes+1))
	if err != nil {
		return nil, watch.explain(err)
	}
	if len(body) > MaxServiceAnswerBytes {
		return nil, ErrCut
	}
	return &ServiceAnswer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}

// freshTransport returns a transport without kept connections. It never
// repeats a request by itself, because it has no earlier connection that could
// have failed.
func (c *Client) freshTransport() *http.Transport {
	transport := c.http.Transport.(*http.Transport).Clone()
	transport.DisableKeepAlives = true
	return transport
}

func setServiceHeaders(request *http.Request, call ServiceCall) {
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	request.Header.Set(HeaderRequestID, call.RequestID)
	request.Header.Set(HeaderAttemptID, call.AttemptID)
	if call.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	if call.Fencing != 0 {
		request.Header.Set(HeaderFencing, strconv.FormatUint(call.Fencing, 10))
	}
}
