package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/fleetlimit"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/node/memory"
	"github.com/wigeonusher/wigeonusher/node/pool"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// Observer receives an event for each attempt and each finished request.
type Observer interface {
	RecordAttempt(event *AttemptEvent)
	Done(event *DoneEvent)
}

// AttemptEvent describes one attempt at one endpoint.
type AttemptEvent struct {
	RequestID string
	Session   string
	Number    int
	Service   route.ServiceName
	// Endpoint is the ID of the endpoint, or of the peer to which the request was forwarded
	// if ViaPeer is set.
	Endpoint   string
	ViaPeer    bool
	Version    string
	Model      route.ModelName
	Revision   int64
	Verdict    string
	Status     int
	Confidence float64
	Events     int
	Took       time.Duration
	FirstEvent time.Duration
	// Head is the time from the attempt's start to the head of the answer, 0 if there was
	// none.
	Head time.Duration
	// SharedParts lists the IDs of the prompt's parts that may be shared with other
	// requests, see [Request.Prompt].
	SharedParts []string
	// Registration is what was known of the endpoint's registration at the attempt's
	// start.
	Registration pool.Registration
	// Zone is that of the endpoint, Leave why it is not the own one, and ZoneBytes an estimate of the
	// bytes that then pass between zones.
	Zone      platform.Zone
	Leave     pool.LeaveReason
	ZoneBytes int
	// SinceArrival is the time from the request's arrival to the attempt's start.
	SinceArrival time.Duration
	// PromptTokens is the declared size of the prompt, and UsualFirstEvent the usual time to
	// the first event for such a prompt, 0 if unknown.
	PromptTokens    int
	UsualFirstEvent time.Duration
	// Expected is what was expected of the attempt, the zero value if endpoints of its service report no
	// pace.
	Expected pool.Expectation
	// LongestGap is the longest pause between two events.
	LongestGap time.Duration
	// InvalidPace is that of the [Answer].
	InvalidPace string
	// Limit is what the answer said about the endpoint's limit on requests, nil if
	// nothing. InvalidLimit is a limit that could not be decoded.
	Limit        *fleetlimit.Statement
	InvalidLimit string
	// Brittle is what the answer said about the brittleness of the endpoint, nil if nothing.
	// InvalidBrittle is one that could not be decoded.
	Brittle        *pool.Brittleness
	InvalidBrittle string
	// Rest, Leaving, InvalidRest and InvalidLeaving are those of the [Answer].
	Rest                        time.Duration
	Leaving                     bool
	InvalidRest, InvalidLeaving string
	// Cold and InvalidCold are those of the [Answer].
	Cold        time.Duration
	InvalidCold string
	// Load is the number of running and waiting requests that the endpoint reported with
	// its answer; it is valid only if HasLoad is set.
	Load    int
	HasLoad bool
	// Framing is the framing of the answer, empty if there was no answer or its codec
	// verifies the end itself.
	Framing Framing
	// PartialEvent is the number of bytes that the endpoint sent after the last complete
	// event of a stream.
	PartialEvent int
	// EndedBy is who ended the attempt, empty if it was not sent or its answer was
	// complete.
	EndedBy EndedBy
	// WatchdogCause and Silence, the time for which the endpoint had sent nothing,
	// are set if the watchdog ended the attempt.
	WatchdogCause WatchdogCause
	Silence       time.Duration
	Err           error
}

// StopReason is the reason for which no further attempt was made: one of the values
// below or the [Reason] for which the gate or the picker refused another attempt.
type StopReason string

// Reasons for which a request's attempts end, other than those of a refusal.
const (
	// StopUnsent: the last attempt could not be sent, no untried endpoint was usable, and
	// the request could not wait for one (see [run.waitForEndpoint]); or [maxUnsent]
	// attempts could not be sent.
	StopUnsent StopReason = "no endpoint could be connected to"
	// StopTries: [maxTries] attempts were sent.
	StopTries StopReason = "calls used up"
	// StopRuns: the request may have run as often as its route allows.
	StopRuns StopReason = "attempts used up"
	// StopBudget: the retry budget is empty.
	StopBudget StopReason = "retry budget empty"
	// StopNotRepeatable: the route does not allow a second run.
	StopNotRepeatable StopReason = "not repeatable"
	// StopNotResumable: the answer has begun, and it cannot be resumed (see
	// [run.canResume]).
	StopNotResumable StopReason = "not resumable"
	// StopPeer: the peer that ran the request has given it up.
	StopPeer StopReason = "a peer has given up"
	// StopBrittle: [maxBrittleRejections] brittle endpoints had no room.
	StopBrittle StopReason = "brittle endpoints have no room"
	// StopClientGone: the client has disconnected.
	StopClientGone StopReason = "client gone"
)

// DoneEvent describes the outcome of a request.
type DoneEvent struct {
	RequestID string
	Route     string
	Account   route.AccountName
	Revision  int64
	ConfigAge time.Duration
	// Attempts counts the attempts that were sent, Unsent those that were not.
	Attempts int
	Unsent   int
	// Stopped is the reason why no attempt followed the last one. It is empty if the
	// answer is complete, the client ended the last attempt, or the gate refused the
	// first.
	Stopped StopReason
	// Last is the last attempt, Broken the last one that was sent and has no complete
	// answer; nil if there is none.
	Last, Broken *AttemptEvent
	Refusal      *Refusal
	Status       int
	ClientGone   bool
	// CutOff reports that the client did not read its answer in time, or that the answer had to give
	// way to others.
	CutOff  bool
	Aborted bool
	Took    time.Duration
	// Objective is the route's latency objective, and FirstEvent the time from the request's
	// arrival to the first event that was sent to the client; 0 if there is none.
	Objective, FirstEvent time.Duration
	// Admission is how the request was admitted while room was scarce, see [AdmissionOutcome].
	Admission AdmissionOutcome
}

// Config lists the ports that a relay uses.
type Config struct {
	Gate      Gate
	Planner   Planner
	Picker    EndpointPicker
	Endpoints Endpoints
	Budgets   Budgets
	// Prober probes silent endpoints; nil if the endpoints' codec detects
	// unresponsive endpoints itself.
	Prober   Prober
	Observer Observer
	// Admission refuses requests while the fleet has too little room; nil admits all.
	Admission Admission
	// DialTimeout returns the connect timeout for an endpoint; nil if the
	// endpoints' codec sets it.
	DialTimeout func() time.Duration
	// Stop decides what is still run while the instance stops; nil if all is.
	Stop Stop
	// PromisesNotRun reports whether clients take a status as the promise that the request has not run and
	// never will; nil if they take none so.
	PromisesNotRun func(status int) bool
	// Memory bounds what is held of answers; nil for no bound.
	Memory *memory.Guard
}

// Relay serves requests. Its methods are safe for concurrent use.
type Relay struct{ Config }

// New returns a relay that uses the given ports.
func New(config Config) *Relay { return &Relay{Config: config} }

// Serve handles a request until its final answer has been sent or the client has
// disconnected. The caller must cancel ctx when the client disconnects.
func (r *Relay) Serve(ctx context.Context, request *Request, client Client) {
	run := &run{relay: r, request: request, client: client, draw: rand.Float64()}
	run.openAnswer()
	defer run.held.Close()
	defer request.Body.Drop()
	run.serve(ctx)
	if run.refusal == nil {
		client.End(run.answerEnd())
	}
	run.report(ctx)
}
