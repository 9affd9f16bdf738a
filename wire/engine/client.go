// Package engine is the HTTP client of model engines and plain services. It
// dispatches chat requests and service calls, reads load reports and sends
// orders. A chat request whose answer makes no progress for too long is cancelled.
package engine

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/wire/httpanswer"
	"github.com/wigeonusher/wigeonusher/wire/openai"
)

// Headers of requests to endpoints and of their responses.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderAttemptID = "X-Attempt-Id"
	HeaderPriority  = "X-Priority"
	HeaderFencing   = "X-Fencing-Number"
	HeaderNotRun    = "X-Not-Run"
)

// maxHeadBytes bounds the head of an answer, with the interim answers before it.
const maxHeadBytes = 64 << 10

// Config holds the timeouts and limits of a [Client].
type Config struct {
	// DialTimeout bounds the time to establish a connection.
	DialTimeout time.Duration
	// ProgressTimeout is the time without a received line of the answer after which
	// the dispatch of a chat request is cancelled.
	ProgressTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// MaxIdlePerEndpoint bounds the idle connections to one endpoint.
	MaxIdlePerEndpoint int
}

// Client sends requests to engines and plain services. It is safe for concurrent
// use.
type Client struct {
	config Config
	http   *http.Client
}

// NewClient returns a client with the given configuration. The client does not
// follow redirects.
func NewClient(config Config) *Client {
	dialer := &net.Dialer{Timeout: config.DialTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return httpanswer.NewConn(conn), nil
		},
		MaxIdleConnsPerHost: config.MaxIdlePerEndpoint,
		IdleConnTimeout:     config.IdleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return &Client{config: config, http: &http.Client{
		Transport:     checkedTransport{transport},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// SendRecorder records that bytes of a request may have been sent. It is
// implemented by outcome.Attempt.
type SendRecorder interface {
	// MarkSent is called before the first write. It may be called several times.
	MarkSent()
}

// Call is one dispatch of a chat request.
type Call struct {
	Address   string
	RequestID string
	AttemptID string
	// Model is the model and its version in the engines' form: "model@version".
	Model    string
	Priority int
	Request  *openai.Request
	// ProgressTimeout replaces [Config.ProgressTimeout] if it is positive and
	// shorter.
	ProgressTimeout time.Duration
}

// Answer is an answer to a chat request. It is partial until [Stream.Next] has
// returned io.EOF.
type Answer struct {
	openai.Accumulator
	// FirstToken is the time from the dispatch to the first frame, and Duration the
	// time from the dispatch to the end of the answer.
	FirstToken time.Duration
	Duration   time.Duration
}

// Chat dispatches a chat request and returns the stream of its answer once the
// engine has sent the response header. It calls recorder.MarkSent before the
// first byte may be sent. The caller must close the stream.
func (c *Client) Chat(ctx context.Context, call Call, recorder SendRecorder) (*Stream, error) {
	body, err := call.Request.ForEngine(call.Model)
	if err != nil {
		return nil, err
	}
	timeout := c.config.ProgressTimeout
	if call.ProgressTimeout > 0 {
		timeout = min(timeout, call.ProgressTimeout)
	}
	ctx, watch := newWatchdog(ctx, timeout)
	request, err := http.NewRequestWithContext(withSendTrace(ctx, recorder), http.MethodPost, "http://"+call.Address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		watch.stop()
		return nil, eris.Wrap(err, "engine: build request")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderRequestID, call.RequestID)
	request.Header.Set(HeaderAttemptID, call.AttemptID)
	request.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	started := time.Now()
	response, err := c.http.Do(request)
	if err != nil {
		defer watch.stop()
		return nil, watch.classify(err)
	}
	if response.StatusCode != http.StatusOK {
		watch.stop()
		response.Body.Close()
		return nil, errorFromStatus(response)
	}
	return newStream(response.Body, call.AttemptID, started, watch), nil
}

// withSendTrace makes the HTTP client call MarkSent as soon as it has a
// connection, before it writes. MarkSent is not called if no connection can be
// established.
func withSendTrace(ctx context.Context, recorder SendRecorder) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { recorder.MarkSent() },
	})
}

// checkedTransport makes the connections check the head of each answer.
type checkedTransport struct{ *http.Transport }

// RoundTrip implements [http.RoundTripper].
func (t checkedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*httpanswer.Conn); ok {
				conn.ExpectAnswer()
			}
		},
	})
	return t.Transport.RoundTrip(request.WithContext(ctx))
}

// errorFromStatus returns [ErrRefused] for a status of 503 or 409 whose header
// says that the request did not run, and a [StatusError] otherwise.
func errorFromStatus(response *http.Response) error {
	refused := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusConflict
	if refused && response.Header.Get(HeaderNotRun) == "true" {
		return ErrRefused
	}
	return &StatusError{Status: response.StatusCode}
}

// watchdog cancels a context when no progress is recorded for the timeout.
type watchdog struct {
	timeout time.Duration
	timer   *time.Timer
	cancel  context.CancelCauseFunc
	ctx     context.Context
}

func newWatchdog(parent context.Context, timeout time.Duration) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(parent)
	w := &watchdog{timeout: timeout, cancel: cancel, ctx: ctx}
	w.timer = time.AfterFunc(timeout, func() { cancel(ErrNoProgress) })
	return ctx, w
}

func (w *watchdog) recordProgress() { w.timer.Reset(w.timeout) }

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(context.Canceled)
}

// classify maps a transport error to one of this package's errors, or to the
// cause of the context's cancellation.
func (w *watchdog) classify(err error) error {
	if cause := context.Cause(w.ctx); cause != nil {
		return cause
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return eris.Wrap(ErrUnreachable, err.Error())
	}
	return eris.Wrap(ErrIncomplete, err.Error())
}
