package check

import (
	"encoding/json"
	"time"

	"github.com/wigeonusher/wigeonusher/coord/config"
	"github.com/wigeonusher/wigeonusher/coord/fold"
	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/standin/endpoint"
	"github.com/wigeonusher/wigeonusher/standin/engine"
	"github.com/wigeonusher/wigeonusher/standin/observation"
	"github.com/wigeonusher/wigeonusher/standin/service"
)

// KindBill is the kind of the bills in the bills stream.
const KindBill platform.Kind = "bill"

// Bill is the body of an entry of [KindBill].
type Bill struct {
	RequestID    string  `json:"request_id"`
	Account      string  `json:"account"`
	Model        string  `json:"model"`
	Version      string  `json:"version"`
	PromptTokens int     `json:"prompt_tokens"`
	AnswerTokens int     `json:"answer_tokens"`
	CostMicro    float64 `json:"cost_micro"`
	Outcome      string  `json:"outcome"`
}

// Sample is the revision of the configuration that a ready instance had in
// force at a moment.
type Sample struct {
	Instance string    `json:"instance"`
	Time     time.Time `json:"time"`
	Revision uint64    `json:"revision"`
}

// History is the recorded data of a run.
type History struct {
	Observations []observation.Observation
	EngineRuns   []engine.Run
	ServiceRuns  []service.Run
	LateRequests []endpoint.LateRequest
	// Bills and Control are the records of the log's bills stream and control
	// stream, from their start.
	Bills   []platform.Record
	Control []platform.Record
	// StrongVersion is the version that is assumed to answer all chat requests in
	// [Figures.StrongCost].
	StrongVersion document.Ref
	// SettleGrace is the time after which every instance must have applied an
	// accepted configuration, and must send no more requests to a leaving
	// endpoint.
	SettleGrace time.Duration
	// ExposureLimit is the number of requests that may run on a bad version; it
	// is not checked if negative.
	ExposureLimit int
	// Samples are in order of time.
	Samples []Sample
	// StoppedAddresses are the caller addresses of instances that were stopped
	// as planned and never killed.
	StoppedAddresses []string
	// CrashedEndpoints counts the endpoints crashed by marked requests, and
	// MarkedRequests the distinct marked requests.
	CrashedEndpoints int
	MarkedRequests   int
}

// billsByRequest returns the bills in the bills stream by request ID. Of several
// entries with the same entry ID only the first counts.
func (h History) billsByRequest() map[string][]Bill {
	seen := map[string]bool{}
	bills := map[string][]Bill{}
	for _, record := range h.Bills {
		entries, err := platform.DecodeEntries(record.Payload)
		if err != nil {
			continue
		}
		for _, entry := range entries {
			if entry.Kind != KindBill || seen[entry.ID] {
				continue
			}
			seen[entry.ID] = true
			var bill Bill
			if json.Unmarshal(entry.Body, &bill) == nil {
				bills[bill.RequestID] = append(bills[bill.RequestID], bill)
			}
		}
	}
	return bills
}

// acceptedPolicy is a policy and the time when the log appended the record that
// made it current.
type acceptedPolicy struct {
	acceptedAt time.Time
	policy     *document.Policy
}

// acceptedPolicies folds the control stream and returns each valid policy that
// was accepted, oldest first.
func (h History) acceptedPolicies() []acceptedPolicy {
	configuration := config.NewFold(document.Validate, nil)
	stream := fold.NewStream(configuration)
	var accepted []acceptedPolicy
	last := config.Revision(0)
	for _, record := range h.Control {
		stream.Apply(record)
		doc := configuration.Document()
		if doc.Revision == last {
			continue
		}
		last = doc.Revision
		if policy, findings := document.Parse(doc); len(findings) == 0 {
			accepted = append(accepted, acceptedPolicy{acceptedAt: record.Time, policy: policy})
		}
	}
	return accepted
}
