package check

import (
	"slices"
	"strings"
	"time"

	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/standin/observation"
)

// parseRef parses "model@version".
func parseRef(text string) document.Ref {
	model, version, _ := strings.Cut(text, "@")
	return document.Ref{Model: document.ModelName(model), Version: document.VersionName(version)}
}

func (e *evaluation) computeFigures() {
	f := &e.table.Figures
	f.Sent = len(e.history.Observations)
	for _, bills := range e.bills {
		f.Bills += len(bills)
	}
	f.Runs = map[string]int{}
	for _, run := range e.history.EngineRuns {
		f.Runs[run.Ref]++
	}
	var firstTokens []time.Duration
	chats := 0
	billed := 0
	for _, o := range e.history.Observations {
		f.count(o)
		if o.Result != observation.Answered || !o.Kind.IsChat() {
			continue
		}
		chats++
		billed += len(e.bills[o.RequestID])
		f.MeanCost += e.billedCost(o)
		f.StrongCost += e.strongCost(o)
		if o.Kind == observation.Stream {
			firstTokens = append(firstTokens, o.FirstToken)
		}
	}
	if chats > 0 {
		f.BillsPerChat = float64(billed) / float64(chats)
		f.MeanCost /= float64(chats)
		f.StrongCost /= float64(chats)
	}
	slices.Sort(firstTokens)
	f.FirstTokenP50 = quantile(firstTokens, 0.5)
	f.FirstTokenP95 = quantile(firstTokens, 0.95)
	f.FirstTokenP99 = quantile(firstTokens, 0.99)
}

func (f *Figures) count(o observation.Observation) {
	switch o.Result {
	case observation.Answered:
		f.Answered++
	case observation.NotRun:
		f.NotRun++
	case observation.Unknown:
		f.Unknown++
	default:
		f.Defective++
	}
}

// billedCost returns the sum of the bills of the request, in micro-units of money.
func (e *evaluation) billedCost(o observation.Observation) float64 {
	cost := 0.0
	for _, bill := range e.bills[o.RequestID] {
		cost += bill.CostMicro
	}
	return cost
}

// strongCost returns the cost of the request if the strong version had answered
// it, in micro-units of money at that version's newest accepted price. Without an
// accepted policy it returns 0.
func (e *evaluation) strongCost(o observation.Observation) float64 {
	if len(e.acceptedPolicies) == 0 {
		return 0
	}
	strong := e.history.StrongVersion
	price := e.acceptedPolicies[0].policy.Models[strong.Model].Versions[strong.Version]
	for _, p := range e.acceptedPolicies {
		if version, ok := p.policy.Models[strong.Model].Versions[strong.Version]; ok {
			price = version
		}
	}
	return price.PromptCost*float64(o.PromptTokens) + price.AnswerCost*float64(o.AnswerTokens)
}

// quantile returns the quantile q of sorted durations, in milliseconds.
func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	index := min(int(q*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[index].Microseconds()) / 1000
}
