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

// KindBill is the kind of a bill in the bills stream.
const KindBill platform.Kind = "bill"

// Bill is the body of a bill.
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

// History is all that is known of a run.
type History struct {
	Observations []observation.Observation
	EngineRuns   []engine.Run
	ServiceRuns  []service.Run
	Late         []endpoint.Late
	// Bills and Control are the records of those streams, from their start.
	Bills   []platform.Record
	Control []platform.Record
	// Strong is the version that "always strong" would have used.
	Strong document.Ref
	// SettleGrace is how long a configuration, or an endpoint's leaving, may
	// take to be in force everywhere.
	SettleGrace time.Duration
	// ExposureLimit bounds the requests that may meet a bad version; it is
	// not checked if negative.
	ExposureLimit int
	// Samples are revisions seen on instances, in order of time.
	Samples []Sample
	// StoppedAddresses are the callers' addresses of instances that were
	// stopped in the planned way and never killed.
	StoppedAddresses []string
	// CrashedEndpoints counts endpoints lost to marked requests, and
	// MarkedRequests the different marked requests.
	CrashedEndpoints int
	MarkedRequests   int
}

// billsByRequest folds the bills stream: the first entry of an ID counts.
func (h History) billsByRequest() map[string][]Bill {
	met := map[string]bool{}
	bills := map[string][]Bill{}
	for _, record := range h.Bills {
		entries, err := platform.DecodeEntries(record.Payload)
		if err != nil {
			continue
		}
		for _, entry := range entries {
			if entry.Kind != KindBill || met[entry.ID] {
				continue
			}
			met[entry.ID] = true
			var bill Bill
			if json.Unmarshal(entry.Body, &bill) == nil {
				bills[bill.RequestID] = append(bills[bill.RequestID], bill)
			}
		}
	}
	return bills
}

// period is a policy and the time since which it was accepted.
type period struct {
	since  time.Time
	policy *document.Policy
}

// periods folds the control stream into the policies that were in force.
func (h History) periods() []period {
	configuration := config.NewFold(document.Validate, nil)
	stream := fold.NewStream(configuration)
	var periods []period
	last := config.Revision(0)
	for _, record := range h.Control {
		stream.Apply(record)
		doc := configuration.Document()
		if doc.Revision == last {
			continue
		}
		last = doc.Revision
		if policy, findings := document.Parse(doc); len(findings) == 0 {
			periods = append(periods, period{since: record.Time, policy: policy})
		}
	}
	return periods
}
