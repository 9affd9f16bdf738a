package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/crashcause"
	"github.com/wigeonusher/wigeonusher/coord/fleetlimit"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/boottime"
	"github.com/wigeonusher/wigeonusher/node/memory"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// Request is a client's request. Method, target, header and body are forwarded
// to the endpoint unchanged.
type Request struct {
	// ID identifies this request. A retry by the client has another ID.
	ID     string
	Method string
	Host   string
	// Target is the path with the query, as the client sent it.
	Target string
	// Path is the target without the query.
	Path   string
	Header http.Header
	// Body may be dropped once no retry is possible, or if its memory is needed elsewhere.
	Body *memory.Body
	// Key is the API key, empty if none was sent.
	Key      string
	Received time.Time
	// ReceivedBoot is the moment of Received on the clock that includes system
	// suspends.
	ReceivedBoot boottime.Instant
	// Timeout is how long the client waits for the answer, 0 if unknown.
	Timeout time.Duration
	// Session identifies the conversation of the request; empty if there is none.
	Session string
	// ResumeAfter is the ID of the last event of the stream that the client has;
	// empty to start with the first.
	ResumeAfter string
	// Prompt lists the parts of the prompt in order. All but the last may be
	// shared with other requests.
	Prompt []PromptPart
	// PromptTokens and MaxAnswerTokens are the sizes declared by the client.
	PromptTokens    int
	MaxAnswerTokens int
	// Forwarded reports that a peer has forwarded the request. It is not forwarded again, and
	// the peer has counted it in its retry budget. RunsBefore counts the peer's attempts that
	// may have run it.
	Forwarded  bool
	RunsBefore int
	// AnyModel lets the relay choose a model from the route's list.
	AnyModel bool

	fingerprint uint64
	features    []crashcause.Use
}

// Fingerprint returns a hash of the account and of the parts of the request that
// determine how an endpoint runs it: method, target and body.
func (r *Request) Fingerprint(account route.AccountName) uint64 {
	if r.fingerprint == 0 {
		r.fingerprint = r.computeFingerprint(account)
	}
	return r.fingerprint
}

func (r *Request) computeFingerprint(account route.AccountName) uint64 {
	hash := xxhash.New()
	for _, part := range []string{r.Method, r.Target, string(account)} {
		_, _ = hash.WriteString(part) // writes to a hash never fail
		_, _ = hash.Write([]byte{0})
	}
	_, _ = r.Body.WriteTo(hash)
	return hash.Sum64()
}

// Features returns what the request may have in common with others that crash endpoints:
// all of it, and the parts of its prompt that may be shared.
func (r *Request) Features(account route.AccountName) []crashcause.Use {
	if r.features == nil {
		r.features = crashcause.PartUses(r.Fingerprint(account), r.sharedParts())
	}
	return r.features
}

// remaining returns how long the client still waits, 0 or less if unknown or
// over.
func (r *Request) remaining() time.Duration { return r.Timeout - time.Since(r.Received) }

// RetryAfter returns the delay after which a client that is refused now should
// retry.
func (r *Request) RetryAfter() time.Duration {
	return spreadRetryAfter(defaultRetryAfter, r.remaining(), rand.Float64())
}

// retryAfterOutage returns the delay after which a client that is refused during an outage should
// retry. How long the outage goes on is not known; as long as it has lasted already is the estimate
// that is right half of the time for outages of any usual length.
func (r *Request) retryAfterOutage(lasted time.Duration) time.Duration {
	return spreadRetryAfter(max(defaultRetryAfter, lasted), r.remaining(), rand.Float64())
}

const (
	// bytesPerAnswerToken is the mean size of a token of an answer with the framing of its event, and
	// usualAnswerBytes that of an answer whose length the client does not limit.
	bytesPerAnswerToken = 12
	usualAnswerBytes    = 1000
)

// expectedBytes estimates the bytes that the request and its answer move.
func (r *Request) expectedBytes() int { return r.Body.Len() + r.answerBytes() }

func (r *Request) answerBytes() int {
	if r.MaxAnswerTokens <= 0 {
		return usualAnswerBytes
	}
	return bytesPerAnswerToken * min(r.MaxAnswerTokens, 1<<20)
}

// PromptPart is a part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int
}

// affinity returns the ID of the longest prompt prefix that may be shared with
// other requests: the last part but one. It is empty if there is none.
func (r *Request) affinity() string {
	if len(r.Prompt) < 2 {
		return ""
	}
	return r.Prompt[len(r.Prompt)-2].ID
}

// sharedTokens returns the size of the parts that may be shared with other requests.
func (r *Request) sharedTokens() int {
	tokens := 0
	for _, part := range r.Prompt[:max(0, len(r.Prompt)-1)] {
		tokens = min(r.PromptTokens, tokens+part.Tokens)
	}
	return tokens
}

// sharedParts returns the IDs of the parts that may be shared with other requests: all
// but the last.
func (r *Request) sharedParts() []string {
	if len(r.Prompt) < 2 {
		return nil
	}
	ids := make([]string, 0, len(r.Prompt)-1)
	for _, part := range r.Prompt[:len(r.Prompt)-1] {
		ids = append(ids, part.ID)
	}
	return ids
}

// Call is one attempt at one endpoint.
type Call struct {
	Request  *Request
	Endpoint platform.EndpointID
	Address  string
	Account  route.AccountName
	// Model is the model to use, empty if the request itself names it.
	Model route.ModelName
	// Remaining is the time that the endpoint has for the request.
	Remaining time.Duration
	// ResumeAfter is the ID of the event after which the endpoint must resume the
	// stream; empty to start with the first event.
	ResumeAfter string
	// Priority ranks the request at the endpoint; 0 is the most urgent.
	Priority int
	// Runs counts the earlier attempts that may have run the request.
	Runs int
	// DialTimeout is the connect timeout; 0 if the endpoints' codec sets it.
	DialTimeout time.Duration
	// MaySend is asked when the request is about to be written. If it reports false, the call
	// ends with a [SendError] of [ErrWithdrawn]. Nil always allows the request.
	MaySend func() bool
}

// ErrWithdrawn is the cause of a call that was not sent because [Call.MaySend] did not allow it.
var ErrWithdrawn = eris.New("endpoint wants no request any more")

// ErrBodyDropped is the cause of a call that was not sent because the body of its request was dropped.
var ErrBodyDropped = eris.New("body was dropped")

// Framing is how the sender of an answer marks the end of its body.
type Framing string

// Values of [Framing]. The zero value means that the endpoints' codec verifies the end
// of the body itself.
const (
	// FramedByLength: the head states the length of the body.
	FramedByLength Framing = "length"
	// FramedByChunks: a last chunk ends the body.
	FramedByChunks Framing = "chunks"
	// FramedByConnection: the body ends when the endpoint closes the connection.
	FramedByConnection Framing = "connection"
)

// Answer is an endpoint's answer: the fields of its head and a reader of its body.
type Answer struct {
	Status  int
	Framing Framing
	// Header holds the header fields that are forwarded to the client.
	Header http.Header
	// Authentic reports that the answer carries the endpoint's proof and belongs to
	// this call.
	Authentic bool
	// NotExecuted is the endpoint's statement that it did not run the request.
	NotExecuted bool
	// Misdirected reports that the address belongs to another endpoint now.
	Misdirected bool
	// Confidence is the model's own estimate that its answer is good, in
	// [0, 1]. It is valid only if HasConfidence is set.
	Confidence    float64
	HasConfidence bool
	// Running and Waiting are the numbers of requests at the endpoint. They are
	// valid only if HasLoad is set.
	Running, Waiting int
	HasLoad          bool
	// Pace is how long work takes at the endpoint now, in hundredths of the usual; 0 if it reports
	// none. InvalidPace is one that could not be decoded.
	Pace        int
	InvalidPace string
	// Limit is what the answer says about the endpoint's limit on requests; nil if it
	// says nothing that counts. InvalidLimit is a limit that could not be decoded.
	Limit        *fleetlimit.Statement
	InvalidLimit string
	// Brittle is what the answer says about the brittleness of its endpoint; nil if it says
	// nothing that counts. InvalidBrittle is one that could not be decoded.
	Brittle        *pool.Brittleness
	InvalidBrittle string
	// Rest is the time for which the endpoint wants no request of this instance, 0 if it asks
	// for none, and Leaving reports that it leaves. InvalidRest and InvalidLeaving are values
	// that could not be decoded.
	Rest                        time.Duration
	Leaving                     bool
	InvalidRest, InvalidLeaving string
	// Cold is how much longer the endpoint is cold, 0 if it does not say so. InvalidCold is a value
	// that could not be decoded.
	Cold        time.Duration
	InvalidCold string
	// Runs returns the number of the attempts that may have run the request, if a peer has
	// made them; nil for the answer of an endpoint.
	Runs func() int
	// Complete reports that the whole body is buffered, so that it can be sent
	// later if no other answer arrives.
	Complete bool
	Body     Body
}

// Body is the body of an answer. Read returns io.EOF only if the body is
// complete.
type Body interface {
	Read(p []byte) (int, error)
	// SetReadDeadline sets the deadline of later reads.
	SetReadDeadline(t time.Time) error
	Close() error
}

// Endpoints sends calls. Canceling the context closes the connection. A returned
// error is a [SendError].
type Endpoints interface {
	Send(ctx context.Context, call *Call, deadline time.Time) (*Answer, error)
}

// SendError reports that a call returned no answer.
type SendError struct {
	// MayBeSent reports that a byte of the request may have been sent.
	MayBeSent bool
	Err       error
}

func (e *SendError) Error() string { return "relay: no answer: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// PeerRefusal reports that a peer to which a request was forwarded has refused it.
type PeerRefusal struct {
	Refusal *Refusal
	// Unable reports that the peer could not run the request, though another instance may.
	Unable bool
	// Runs counts the attempts of the peer that may have run it.
	Runs int
}

func (e *PeerRefusal) Error() string { return "relay: peer refused: " + string(e.Refusal.Reason) }

// Head is the head of an answer as it is sent to the client.
type Head struct {
	Status int
	Header http.Header
	// Fallback reports that the answer was of low confidence and is sent only
	// because no larger model answered.
	Fallback bool
}

// AnswerEnd says how the answer to a client ended.
type AnswerEnd int

// Values of [AnswerEnd]. The zero value is that of an answer whose end is not known.
const (
	// AnswerComplete: the whole answer has been passed to [Client].
	AnswerComplete AnswerEnd = iota + 1
	// AnswerInterrupted: the answer has begun, and no endpoint could complete it.
	AnswerInterrupted
	// AnswerCanceled: the client has disconnected or canceled the request.
	AnswerCanceled
)

// Client receives the answer. A codec must send an answer so that the client can tell
// that it is incomplete, unless End has said that it is complete: a client that cancels
// its request may still read.
type Client interface {
	// Begin sends the head of an endpoint's answer.
	Begin(head Head)
	// Write sends a part of the body. A part of a stream must be sent immediately; an
	// answer that is not a stream may be buffered.
	Write(p []byte) error
	// Refuse sends a refusal. It is not called after Begin.
	Refuse(refusal *Refusal)
	// End is the last call for a request that was not refused.
	End(end AnswerEnd)
}

// RunRecorder is implemented by a [Client] that is told how many attempts of this instance
// may have run the request, before each other call.
type RunRecorder interface {
	RecordRuns(runs int)
}

// Reason is the reason for which a request was refused.
type Reason string

// Reasons.
const (
	NoConfig         Reason = "no configuration known"
	ConfigTooOld     Reason = "configuration not known to be current"
	UnknownRoute     Reason = "no such route"
	UnknownKey       Reason = "unknown key"
	CrashSuspect     Reason = "request has crashed the endpoints that ran it"
	SuspectPending   Reason = "a request like this is being tried"
	NoEndpoint       Reason = "no endpoint"
	EndpointsLimited Reason = "endpoints take no more requests"
	ZonesEvacuated   Reason = "all zones with endpoints are evacuated"
	EndpointsFailed  Reason = "endpoints failed"
	// Stopping: the instance stops before the answer would be complete.
	Stopping Reason = "instance stops"
	// FalsePromise: the endpoint's status promises that the request has not run, and it may have run.
	FalsePromise     Reason = "endpoint failed and may have run the request"
	NotAllowed       Reason = "not allowed any more"
	Overloaded       Reason = "no room before the deadline"
	OverShare        Reason = "account over its share of scarce room"
	NoRoom           Reason = "no room for the demand of any account"
	DeadlineExceeded Reason = "deadline passed"
	BodyTooLarge     Reason = "body too large"
	HeaderTooLarge   Reason = "header too large"
	// BodyStopped: the client has stopped sending the body.
	BodyStopped Reason = "body not complete in time"
	// NoMemory: the memory for the request is needed elsewhere.
	NoMemory   Reason = "no memory for the request"
	BadRequest Reason = "malformed request"
)

// Refusal is a final answer that does not come from an endpoint.
type Refusal struct {
	Reason Reason
	// NotRun guarantees that the request has not run and never will.
	NotRun bool
	// RetryAfter is the delay after which to retry, 0 if a retry does not help.
	RetryAfter time.Duration
	// Cause is the error with which the implementation of a port describes its
	// refusal; nil if there is none.
	Cause error
}

// mayPass reports whether an endpoint may be found soon, so that waiting for one makes
// sense.
func (r *Refusal) mayPass() bool { return r.Reason == NoEndpoint || r.Reason == EndpointsLimited }
