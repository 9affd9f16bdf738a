package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/boottime"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// Request is a client's request. Method, target, header and body are opaque:
// they reach the endpoint as they came.
type Request struct {
	// ID identifies this attempt of the client. A client's retry has another.
	ID     string
	Method string
	Host   string
	// Target is the path with the query, as the client sent it.
	Target string
	// Path is the target without the query.
	Path   string
	Header http.Header
	Body   []byte
	// Key is the API key, empty if none was sent.
	Key      string
	Received time.Time
	// ReceivedBoot is the same moment on the clock that counts suspensions.
	ReceivedBoot boottime.Instant
	// Patience is how long the client waits for the answer, 0 if it did not say.
	Patience time.Duration
	// Session joins the requests of one conversation; empty if there is none.
	Session string
	// ResumeAfter is the ID of the last event that the client has of the
	// stream; empty to begin with the first.
	ResumeAfter string
	// Prompt lists the parts of the prompt in order. All but the last may be
	// shared with other requests.
	Prompt []PromptPart
	// PromptTokens and MaxAnswerTokens are the sizes that the client declared.
	PromptTokens    int
	MaxAnswerTokens int
	// AnyModel leaves the choice of the model to the route's list.
	AnyModel bool

	fingerprint uint64
}

// Fingerprint names the request, as an account sends it, by what decides how an
// endpoint runs it.
func (r *Request) Fingerprint(account route.AccountName) uint64 {
	if r.fingerprint == 0 {
		r.fingerprint = r.digest(account)
	}
	return r.fingerprint
}

func (r *Request) digest(account route.AccountName) uint64 {
	digest := xxhash.New()
	for _, part := range []string{r.Method, r.Target, string(account)} {
		_, _ = digest.WriteString(part) // a digest's writes never fail
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(r.Body)
	return digest.Sum64()
}

// left is the time that the client still waits, 0 or less if unknown or over.
func (r *Request) left() time.Duration { return r.Patience - time.Since(r.Received) }

// comeBack returns when a client that is refused now may come back.
func (r *Request) comeBack() time.Duration {
	return comeBack(defaultRetryAfter, r.left(), rand.Float64())
}

// PromptPart is a part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int
}

// affinity names the longest part of the prompt that other requests share.
func (r *Request) affinity() string {
	if len(r.Prompt) < 2 {
		return ""
	}
	return r.Prompt[len(r.Prompt)-2].ID
}

// Call is one attempt at one endpoint.
type Call struct {
	Request  *Request
	Endpoint platform.EndpointID
	Address  string
	Account  route.AccountName
	// Model is the model that has to answer, empty if the request names it.
	Model route.ModelName
	// Left is how long the endpoint may work on it.
	Left time.Duration
	// ResumeAfter is the ID of the last event that need not be sent again.
	ResumeAfter string
	// Priority ranks the request at the endpoint; 0 is the most urgent.
	Priority int
	// Dial bounds the time to connect.
	Dial time.Duration
}

// Answer is the head of an endpoint's answer. The body follows.
type Answer struct {
	Status int
	// Header is what the client may see.
	Header http.Header
	// Genuine tells that the answer bears the endpoint's proof and belongs to
	// this call.
	Genuine bool
	// NotExecuted is the endpoint's statement that it did not run the request.
	NotExecuted bool
	// Misdirected tells that another endpoint has the address.
	Misdirected bool
	// Confidence is the model's own estimate that its answer is good, in
	// [0, 1]. It counts only if HasConfidence.
	Confidence    float64
	HasConfidence bool
	// Running and Waiting are the endpoint's requests, if HasLoad.
	Running, Waiting int
	HasLoad          bool
	// Complete tells that the body is at hand as a whole: it can be passed on
	// later if nothing better comes.
	Complete bool
	Body     Body
}

// Body is the body of an answer. Its end is only reported as io.EOF if the
// body is whole.
type Body interface {
	Read(p []byte) (int, error)
	// SetReadDeadline bounds the reads that follow.
	SetReadDeadline(t time.Time) error
	Close() error
}

// Endpoints sends calls. The context's end closes the connection. An error is
// a [SendError].
type Endpoints interface {
	Send(ctx context.Context, call *Call, deadline time.Time) (*Answer, error)
}

// SendError reports that a call brought no answer.
type SendError struct {
	// Departed tells that a byte of the request may have left.
	Departed bool
	Err      error
}

func (e *SendError) Error() string { return "relay: no answer: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Head is the head of an answer as the client gets it.
type Head struct {
	Status int
	Header http.Header
	// Fallback tells that the answer would have been dropped for a larger
	// model's, which was not to be had.
	Fallback bool
}

// Client takes the answer. After Begin, the answer is whole when
// [Relay.Serve] returns, unless Abort was called.
type Client interface {
	// Begin sends the head of an endpoint's answer.
	Begin(head Head)
	// Write sends a piece of the body at once.
	Write(p []byte) error
	// Refuse answers without an endpoint. Nothing was begun before.
	Refuse(refusal *Refusal)
	// Abort breaks the answer off such that it does not look complete.
	Abort()
}

// Reason says why a request was refused.
type Reason string

// Reasons.
const (
	NoConfig        Reason = "no configuration known"
	ConfigTooOld    Reason = "configuration not known to be current"
	UnknownRoute    Reason = "no such route"
	UnknownKey      Reason = "unknown key"
	CrashSuspect    Reason = "request has crashed the endpoints that ran it"
	NoEndpoint      Reason = "no endpoint"
	EndpointsFailed Reason = "endpoints failed"
	NotAllowed      Reason = "not allowed any more"
	Overloaded      Reason = "no room before the deadline"
	TimeIsUp        Reason = "deadline passed"
	BodyTooLarge    Reason = "body too large"
	BadRequest      Reason = "malformed request"
)

// Refusal is a final answer without an endpoint's answer.
type Refusal struct {
	Reason Reason
	// NotRun promises that the request has not run and never will.
	NotRun bool
	// RetryAfter is when to come back, 0 if that does not help.
	RetryAfter time.Duration
	// Cause is the codec's own description, if a port that belongs to it
	// refused; nil otherwise.
	Cause error
}
