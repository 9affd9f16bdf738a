package admission

import "time"

// Preview is what a [Fleet] would decide on a request, as far as that can be told without offering it.
type Preview struct {
	Scarce bool `json:"scarce"`
	// MayRefuse reports that room is so scarce that requests are refused.
	MayRefuse bool `json:"may_refuse"`
	// Admitted is the fraction of such requests that is admitted at once, and Reason why the others
	// are refused. Clients that return at a booked time are admitted in addition.
	Admitted float64 `json:"admitted_fraction"`
	Reason   Reason  `json:"reason,omitempty"`
	// Wait is the expected wait in the queues of the endpoints. It is no place in a queue here.
	Wait time.Duration `json:"-"`
}

// Preview returns what would be decided on a request now. Its Key is not used. It changes nothing.
func (f *Fleet) Preview(now time.Time, request FleetRequest) Preview {
	s := f.services[request.Service]
	if s == nil {
		return Preview{Admitted: 1}
	}
	preview := Preview{Scarce: s.scarce, MayRefuse: s.mayRefuse(now), Admitted: 1}
	if queued := s.busy - s.room.Slots; queued > 0 && s.room.Waiting > 0 {
		preview.Wait = scale(s.work.mean(), queued/max(1, s.room.Slots))
	}
	if !preview.MayRefuse {
		return preview
	}
	rank := min(Ranks-1, max(0, request.Rank))
	preview.Admitted = s.plan.fraction(UsageEntry{Account: AccountHash(request.Account), Rank: uint8(rank)})
	switch {
	case s.isHopeless(request):
		preview.Admitted, preview.Reason = 0, Hopeless
	case preview.Admitted < 1:
		preview.Reason = s.plan.reason
	}
	return preview
}
