package load

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"

	"github.com/wigeonusher/wigeonusher/coord/finding"
	"github.com/wigeonusher/wigeonusher/standin/server"
)

// Upper bounds of the fields of a [Mix].
const (
	MaxVirtualUsers = 5000
	MaxRate         = 10_000
	MaxRequests     = 5_000_000
	MaxSeconds      = 3600
	maxWords        = 100_000
)

// Mix describes the traffic of one run.
type Mix struct {
	Seed uint64 `json:"seed"`
	// Run is part of all request IDs, session IDs and idempotency keys.
	// Runs against the same fleet need different values, or they reuse each
	// other's IDs and keys.
	Run string `json:"run,omitempty"`
	// CallerAddresses lists the addresses of the instances' caller API.
	CallerAddresses []string  `json:"callers"`
	Accounts        []Account `json:"accounts"`
	Classes         []Class   `json:"classes"`
	// SessionShare is the share, in [0, 1], of chat requests outside a session
	// that begin one; SessionTurns is the number of requests in a session.
	SessionShare float64 `json:"session_share"`
	SessionTurns int     `json:"session_turns"`
	// Service describes the calls to a plain service; nil for no calls.
	Service *Service `json:"service,omitempty"`
	// VirtualUsers is the number of callers that each wait for an answer
	// before they send the next request (closed loop). Exactly one of
	// VirtualUsers and Rate must be above 0.
	VirtualUsers int `json:"virtual_users,omitempty"`
	// ThinkMillis is the upper bound, exclusive, of the random pause of a virtual
	// user before each operation, in milliseconds.
	ThinkMillis int `json:"think_ms,omitempty"`
	// Rate is the mean number of requests started per second, independent of
	// the answers (open loop).
	Rate float64 `json:"rate,omitempty"`
	// MaxRequests and MaxSeconds end the run, whichever comes first.
	MaxRequests int `json:"max_requests"`
	MaxSeconds  int `json:"max_seconds"`
	// MaxAttempts is the maximum number of attempts per request; 3 if 0. Marked
	// requests get 3 more.
	MaxAttempts int `json:"tries,omitempty"`
	// Marked adds a marker text to the prompts of some requests.
	Marked *Marked `json:"marked,omitempty"`
}

// Account is a client account that sends requests.
type Account struct {
	ID  string `json:"id"`
	Key string `json:"key"`
	// Weight is the account's share of the traffic, relative to the other
	// accounts.
	Weight float64 `json:"weight"`
}

// Class describes the chat requests of one task class.
type Class struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
	// Model is the requested model: "auto", a model or "model@version".
	Model        string `json:"model"`
	PromptWords  Range  `json:"prompt_words"`
	AnswerTokens Range  `json:"answer_tokens"`
	// StreamShare is the share of streamed requests, in [0, 1].
	StreamShare float64 `json:"stream_share"`
	// DeadlineMillis is sent with each request if it is not 0.
	DeadlineMillis int `json:"deadline_ms,omitempty"`
}

// Range is a range of integers, both ends included.
type Range struct {
	Min int `json:"min"`
	Max int `json:"max"`
}

// Service describes the calls to a plain service.
type Service struct {
	Name string `json:"name"`
	// Share is the share of service calls, in [0, 1], among unmarked requests
	// outside a session.
	Share float64 `json:"share"`
	// ReadShare is the share of idempotent reads among these calls, in [0, 1].
	// The rest are bookings.
	ReadShare float64 `json:"read_share"`
}

// Marked describes the requests with a marker text in their prompt, for example
// one that crashes endpoints.
type Marked struct {
	Text string `json:"text"`
	// Every is the interval between marked requests, in requests.
	Every int `json:"every"`
	// Count is the maximum number of marked requests.
	Count int `json:"count"`
}

// DecodeMix decodes a mix without checking it. The error is a [finding.List].
func DecodeMix(body []byte) (Mix, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	var mix Mix
	var findings finding.List
	if err := decoder.Decode(&mix); err != nil {
		findings.Add("/", err.Error(), "see docs/operators/tool.md")
		return Mix{}, findings
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		findings.Add("/", "more than one JSON value", "")
		return Mix{}, findings
	}
	return mix, nil
}

// Check returns one finding for each invalid field of the mix.
func (m Mix) Check() finding.List {
	var findings finding.List
	if len(m.CallerAddresses) == 0 {
		findings.Add("/callers", "must not be empty", "list the addresses of the instances' caller API")
	}
	for i, address := range m.CallerAddresses {
		if err := server.CheckLoopback(address); err != nil {
			findings.Add("/callers/"+strconv.Itoa(i), "must be a loopback IP address with a port", "the load generator sends requests to this machine only")
		}
	}
	m.checkAccounts(&findings)
	m.checkClasses(&findings)
	checkShare(&findings, "/session_share", m.SessionShare)
	if m.SessionShare > 0 && m.SessionTurns < 1 {
		findings.Add("/session_turns", "must be at least 1", "")
	}
	if m.Service != nil {
		checkShare(&findings, "/service/share", m.Service.Share)
		checkShare(&findings, "/service/read_share", m.Service.ReadShare)
	}
	m.checkPace(&findings)
	return findings
}

func (m Mix) checkAccounts(findings *finding.List) {
	if len(m.Accounts) == 0 {
		findings.Add("/accounts", "must not be empty", "")
	}
	for i, account := range m.Accounts {
		path := "/accounts/" + strconv.Itoa(i)
		if account.Key == "" {
			findings.Add(path+"/key", "must not be empty", "")
		}
		if account.Weight <= 0 {
			findings.Add(path+"/weight", "must be above 0", "")
		}
	}
}

func (m Mix) checkClasses(findings *finding.List) {
	if len(m.Classes) == 0 {
		findings.Add("/classes", "must not be empty", "")
	}
	for i, class := range m.Classes {
		path := "/classes/" + strconv.Itoa(i)
		if class.Weight <= 0 {
			findings.Add(path+"/weight", "must be above 0", "")
		}
		if class.Model == "" {
			findings.Add(path+"/model", "must not be empty", "use auto to leave the choice to the router")
		}
		checkShare(findings, path+"/stream_share", class.StreamShare)
		checkRange(findings, path+"/prompt_words", class.PromptWords)
		checkRange(findings, path+"/answer_tokens", class.AnswerTokens)
	}
}

func (m Mix) checkPace(findings *finding.List) {
	if (m.VirtualUsers > 0) == (m.Rate > 0) {
		findings.Add("/virtual_users", "exactly one of virtual_users and rate must be above 0", "")
	}
	checkBound(findings, "/virtual_users", float64(m.VirtualUsers), 0, MaxVirtualUsers)
	checkBound(findings, "/rate", m.Rate, 0, MaxRate)
	checkBound(findings, "/max_requests", float64(m.MaxRequests), 1, MaxRequests)
	checkBound(findings, "/max_seconds", float64(m.MaxSeconds), 1, MaxSeconds)
	if m.Marked != nil && m.Marked.Every < 1 {
		findings.Add("/marked/every", "must be at least 1", "")
	}
}

func checkShare(findings *finding.List, path string, share float64) {
	checkBound(findings, path, share, 0, 1)
}

func checkRange(findings *finding.List, path string, r Range) {
	if r.Min < 1 || r.Max < r.Min || r.Max > maxWords {
		findings.Add(path, "must be a range from at least 1 to at most "+strconv.Itoa(maxWords), "")
	}
}

func checkBound(findings *finding.List, path string, value, low, high float64) {
	if value < low || value > high {
		limits := strconv.FormatFloat(low, 'g', -1, 64) + ", " + strconv.FormatFloat(high, 'g', -1, 64)
		findings.Add(path, "must be in ["+limits+"]", "")
	}
}
