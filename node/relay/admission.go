package relay

import (
	"fmt"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonusher/wigeonusher/policy/admission"
	"github.com/wigeonusher/wigeonusher/policy/document"
	"github.com/wigeonusher/wigeonusher/policy/route"
)

// Admission decides whether the fleet has room for a request. It is asked once, before the first
// attempt: what has been admitted is not refused later for want of room.
type Admission interface {
	// Enabled reports whether the decision is wanted. Otherwise no other method is called.
	Enabled() bool
	Offer(request admission.FleetRequest) admission.Admission
	// Ended records how long an admitted request took at the endpoint that answered it.
	Ended(service route.ServiceName, class document.TaskClass, took time.Duration)
	// UsualFirstEvent returns the usual time to the first event, 0 if unknown.
	UsualFirstEvent(service route.ServiceName, model route.ModelName, tokens int) time.Duration
}

// AdmissionOutcome tells in the log how room was granted while it was scarce.
type AdmissionOutcome string

// Outcomes of admission. The zero value is that of requests that were admitted while there was
// enough room, or were not offered.
const (
	// AdmittedWhileScarce: the request was within the share of its account.
	AdmittedWhileScarce AdmissionOutcome = "within share"
	// AdmittedOnReturn: it was refused before, and has returned at the time that it was told.
	AdmittedOnReturn AdmissionOutcome = "returned on time"
	// RefusedWithPlace: it was refused, and will be admitted when it returns as told.
	RefusedWithPlace AdmissionOutcome = "place booked"
	// RefusedWithoutPlace: it was refused, and was told when to try again.
	RefusedWithoutPlace AdmissionOutcome = "no place"
)

// runAdmission is what a run keeps of its admission.
type runAdmission struct {
	// ranked reports that endpoints are told the rank of the request instead of its priority.
	ranked  bool
	offered bool
	service route.ServiceName
	class   document.TaskClass
	outcome AdmissionOutcome
}

// offer asks for admission. A request that a peer has forwarded was admitted there, and one that
// resumes a stream was admitted when the stream began.
func (r *run) offer() *Refusal {
	port := r.relay.Admission
	if port == nil || !port.Enabled() {
		return nil
	}
	r.admission.ranked = true
	rt := r.permission.Route
	service, ok := rt.Pick(r.draw)
	if !ok || r.request.Forwarded || r.request.ResumeAfter != "" {
		return nil
	}
	r.admission.offered, r.admission.service, r.admission.class = true, service, r.admissionClass()
	decision := port.Offer(admission.FleetRequest{
		Service: string(service), Account: string(r.permission.Account), Rank: r.permission.rank(),
		Class: r.admission.class, Key: r.admissionKey(), Timeout: rt.Timeout, Remaining: r.remainingAtMost(rt.Timeout),
		Objective: rt.TargetLatency, FirstEvent: port.UsualFirstEvent(service, r.smallestModel(), r.request.PromptTokens),
	})
	switch {
	case decision.Refusal == nil && decision.Kept:
		r.admission.outcome = AdmittedOnReturn
	case decision.Refusal == nil && decision.Scarce:
		r.admission.outcome = AdmittedWhileScarce
	case decision.Refusal == nil:
	case decision.Booked:
		r.admission.outcome = RefusedWithPlace
	default:
		r.admission.outcome = RefusedWithoutPlace
	}
	if decision.Refusal == nil {
		return nil
	}
	return &Refusal{
		Reason: ReasonOf(decision.Refusal.Reason), NotRun: true, RetryAfter: decision.Refusal.RetryAfter, Cause: decision.Refusal,
	}
}

// ReasonOf returns the reason of a refusal by admission.
func ReasonOf(reason admission.Reason) Reason {
	switch reason {
	case admission.OverShare:
		return OverShare
	case admission.NoRoom:
		return NoRoom
	default:
		return Overloaded
	}
}

// remainingAtMost returns how long the request may still take.
func (r *run) remainingAtMost(timeout time.Duration) time.Duration {
	if r.request.Timeout > 0 {
		timeout = min(timeout, r.request.Timeout)
	}
	return max(0, timeout-time.Since(r.request.Received))
}

// smallestModel returns the model that the request starts with at the latest, empty if the client
// names it.
func (r *run) smallestModel() route.ModelName {
	if models := r.permission.Route.Models; r.request.AnyModel && len(models) > 0 {
		return models[0]
	}
	return ""
}

// admissionKey identifies the request in all tries of its client, which have different IDs.
func (r *run) admissionKey() uint64 {
	return r.request.Fingerprint(r.permission.Account) ^ xxhash.Sum64String(r.request.Session)
}

// admissionClass groups the requests of a route by the powers of two of their prompt and answer: a
// long prompt takes an endpoint longer than a short one.
func (r *run) admissionClass() document.TaskClass {
	return document.TaskClass(fmt.Sprintf("%s/%d/%d", r.permission.Route.Name,
		bits.Len(uint(max(0, r.request.PromptTokens))), bits.Len(uint(max(0, r.request.MaxAnswerTokens)))))
}

// endAdmission records how long the endpoint took that answered the request.
func (r *run) endAdmission() {
	if r.admission.offered && r.complete && r.last != nil && !r.last.ViaPeer && r.service == r.admission.service {
		r.relay.Admission.Ended(r.admission.service, r.admission.class, r.last.Took)
	}
}

// routeRanks is the number of priorities of routes that are told apart within a priority of
// accounts.
const routeRanks = 3

// rank returns the urgency of the request, from 0 to [admission.Ranks]-1: the priority of the
// account, or of the route if the account has none, and then that of the route.
func (p *Permission) rank() int {
	rank := routeRanks*max(0, p.Priority) + min(routeRanks-1, max(0, p.Route.Priority))
	return min(admission.Ranks-1, rank)
}

// callPriority returns the priority that the endpoint is told.
func (r *run) callPriority() int {
	if r.admission.ranked {
		return r.permission.rank()
	}
	return r.permission.Priority
}
