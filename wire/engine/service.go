package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/wire/httpanswer"
)

// MaxServiceAnswerBytes bounds the body of a plain service's answer.
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
	// Fencing is the fencing number; 0 sends none.
	Fencing uint64
	// Timeout bounds the whole call.
	Timeout time.Duration
	// NewConnection makes the call use a new connection. A pooled connection may be
	// dead, and a call that must not run twice can't be retried on another one.
	NewConnection bool
}

// ServiceAnswer is a complete answer of a plain service.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Service dispatches a call and returns its complete answer. It calls
// recorder.MarkSent before the first byte may be sent.
func (c *Client) Service(ctx context.Context, call ServiceCall, recorder SendRecorder) (*ServiceAnswer, error) {
	ctx, watch := newWatchdog(ctx, call.Timeout)
	defer watch.stop()
	request, err := http.NewRequestWithContext(withSendTrace(ctx, recorder), call.Method, "http://"+call.Address+call.PathAndQuery, bytes.NewReader(call.Body))
	if err != nil {
		return nil, eris.Wrap(err, "engine: build request")
	}
	setServiceHeaders(request, call)
	client := c.http
	if call.NewConnection {
		transport := c.newUnpooledTransport()
		defer transport.CloseIdleConnections()
		client = &http.Client{Transport: transport, CheckRedirect: c.http.CheckRedirect}
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, watch.classify(err)
	}
	defer response.Body.Close()
	if response.Header.Get(HeaderNotRun) == "true" {
		return nil, errorFromStatus(response)
	}
	body, err := io.ReadAll(io.LimitReader(httpanswer.Body(response), MaxServiceAnswerBytes+1))
	if err != nil {
		return nil, watch.classify(err)
	}
	if len(body) > MaxServiceAnswerBytes {
		return nil, ErrIncomplete
	}
	return &ServiceAnswer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}

// newUnpooledTransport returns a transport that opens a new connection for each
// request. It never retries a request by itself, because net/http does so only
// if a reused connection fails.
func (c *Client) newUnpooledTransport() checkedTransport {
	transport := c.http.Transport.(checkedTransport).Clone()
	transport.DisableKeepAlives = true
	return checkedTransport{transport}
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
