package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wigeonusher/wigeonusher/standin/observation"
)

// Headers of the caller API.
const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerSession        = "Session-Id"
	headerSessionToken   = "Session-Token"
	headerClass          = "Task-Class"
	headerDeadline       = "Deadline-Ms"
	headerModel          = "Wigeonusher-Model"
	headerInstance       = "Wigeonusher-Instance"
)

const maxAnswerBytes = 8 << 20

// chatBody is the body of a chat request.
type chatBody struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream,omitempty"`
}

// bookingBody is the body of a booking, a call that must run at most once.
type bookingBody struct {
	Key string `json:"key"`
}

// problem is the body of a refusal.
type problem struct {
	Type             string `json:"type"`
	Detail           string `json:"detail"`
	Outcome          string `json:"outcome"`
	RetryAfterMillis int64  `json:"retry_after_ms"`
}

// reply is the outcome of one attempt to send an operation.
type reply struct {
	observation observation.Observation
	// retryAfter is how long to wait before a retry; negative if a retry does
	// not help.
	retryAfter time.Duration
	// text is the answer, token the session's token.
	text  string
	token string
}

// send sends an operation once, under the request ID given.
func (r *runner) send(ctx context.Context, op *operation, requestID string) reply {
	address := r.balancer.choose()
	result := reply{retryAfter: -1}
	result.observation = observation.Observation{
		RequestID: requestID,
		Key:       op.key,
		Address:   address,
		Account:   op.account.ID,
		Class:     op.class.Name,
		Kind:      op.kind,
		Marked:    op.marked,
	}
	if op.session != nil {
		result.observation.Session = op.session.id
	}
	request, err := newRequest(ctx, r.mix, op, address, requestID)
	if err != nil {
		result.observation.Result = observation.NotRun
		result.observation.Problem = err.Error()
		return result
	}
	result.observation.Sent = time.Now()
	response, err := r.http.Do(request)
	if err != nil {
		result.recordTransportError(err)
		if result.observation.Result == observation.NotRun {
			r.balancer.exclude(address)
		}
		return result
	}
	defer response.Body.Close()
	result.readResponse(op, response)
	result.observation.Took = time.Since(result.observation.Sent)
	return result
}

// recordTransportError records an error of the transport. The outcome is
// unknown unless the dial failed: only a failed dial proves that nothing was
// sent.
func (r *reply) recordTransportError(err error) {
	r.observation.Took = time.Since(r.observation.Sent)
	r.observation.Result = observation.Unknown
	r.observation.Problem = observation.ProblemConnectionLost
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		r.observation.Result = observation.NotRun
		r.observation.Problem = "connection-refused"
		r.retryAfter = 0
	}
}

// readResponse reads and verifies the response, and records the result.
func (r *reply) readResponse(op *operation, response *http.Response) {
	header := response.Header
	r.observation.Status = response.StatusCode
	r.observation.Instance = header.Get(headerInstance)
	r.observation.Ref = header.Get(headerModel)
	r.token = header.Get(headerSessionToken)
	if response.StatusCode != http.StatusOK {
		r.readProblem(response)
		return
	}
	if echoed := header.Get(headerRequestID); op.kind.IsChat() && echoed != r.observation.RequestID {
		r.recordDefect("reply of another request")
		return
	}
	switch op.kind {
	case observation.Stream:
		r.readStream(op, response.Body)
	case observation.NonStreaming:
		r.readNonStreaming(op, response.Body)
	default:
		r.readService(response.Body)
	}
}

func (r *reply) recordDefect(description string) {
	r.observation.Result = observation.Defective
	r.observation.Problem = description
}

func (r *reply) recordConnectionLost() {
	r.observation.Result = observation.Unknown
	r.observation.Problem = observation.ProblemConnectionLost
}

func (r *reply) readProblem(response *http.Response) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		r.recordConnectionLost()
		return
	}
	var refusal problem
	if json.Unmarshal(body, &refusal) != nil || refusal.Outcome == "" {
		r.recordDefect("refusal without an outcome, status " + strconv.Itoa(response.StatusCode))
		return
	}
	r.recordRefusal(refusal)
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && r.retryAfter < 0 {
		r.retryAfter = time.Duration(seconds) * time.Second
	}
}

// recordRefusal records the outcome that the refusal states and its retry
// delay. The outcome is unknown unless the refusal says that nothing ran.
func (r *reply) recordRefusal(refusal problem) {
	r.observation.Problem = refusal.Type
	r.observation.Result = observation.Unknown
	if refusal.Outcome == string(observation.NotRun) {
		r.observation.Result = observation.NotRun
	}
	if refusal.RetryAfterMillis > 0 {
		r.retryAfter = time.Duration(refusal.RetryAfterMillis) * time.Millisecond
	}
}

func newRequest(ctx context.Context, mix *Mix, op *operation, address, requestID string) (*http.Request, error) {
	var request *http.Request
	var err error
	switch op.kind {
	case observation.Read:
		target := "http://" + address + "/services/" + mix.Service.Name + "/slots?of=" + requestID
		request, err = http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	case observation.Booking:
		target := "http://" + address + "/services/" + mix.Service.Name + "/bookings"
		request, err = post(ctx, target, bookingBody{Key: op.key})
	default:
		request, err = post(ctx, "http://"+address+"/v1/chat/completions", chatBody{
			Model:     op.class.Model,
			Messages:  op.messages,
			MaxTokens: op.tokens,
			Stream:    op.kind == observation.Stream,
		})
	}
	if err != nil {
		return nil, err
	}
	setHeaders(request.Header, op, requestID)
	return request, nil
}

func post(ctx context.Context, target string, body any) (*http.Request, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	// With GetBody, the transport could resend the request by itself, unrecorded
	// and under the same request ID.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

func setHeaders(header http.Header, op *operation, requestID string) {
	header.Set("Authorization", "Bearer "+op.account.Key)
	header.Set(headerRequestID, requestID)
	if op.key != "" {
		header.Set(headerIdempotencyKey, op.key)
	}
	if !op.kind.IsChat() {
		return
	}
	header.Set(headerClass, op.class.Name)
	if op.class.DeadlineMillis > 0 {
		header.Set(headerDeadline, strconv.Itoa(op.class.DeadlineMillis))
	}
	if op.session != nil {
		header.Set(headerSession, op.session.id)
		if op.session.token != "" {
			header.Set(headerSessionToken, op.session.token)
		}
	}
}

// countWords returns the number of words in the messages. As in the engines,
// each role counts as one word.
func countWords(messages []message) int {
	total := 0
	for _, m := range messages {
		total += 1 + len(strings.Fields(m.Content))
	}
	return total
}
