package sizes

// Pressure lowers the confidence that is asked of small models while requests
// come late: then the larger models take time from all. It answers the load
// pattern in which engines are lost, or a burst comes, while most requests
// would still be answered well by the smallest model.
//
// It works like the control of a congestion window: each late request lowers
// it by a fixed step, each one on time raises it a little. It is not safe for
// concurrent use. The zero value asks for the full confidence.
type Pressure struct {
	// relief is the part of the asked confidence that is remitted, in [0, 1].
	relief float64
}

const (
	// lateStep is what a late request adds to the relief.
	lateStep = 0.04
	// lateShare is the share of late requests at which the relief stays as it
	// is.
	lateShare = 0.04
	// onTimeStep is what a request on time takes from the relief.
	onTimeStep = lateStep * lateShare / (1 - lateShare)
)

// Add takes in whether a request was late.
func (p *Pressure) Add(late bool) {
	if late {
		p.relief = min(1, p.relief+lateStep)
		return
	}
	p.relief = max(0, p.relief-onTimeStep)
}

// Accept returns the confidence to ask for, given the one of calm times.
func (p *Pressure) Accept(calm float64) float64 { return calm * (1 - p.relief) }

// Relief returns the part of the asked confidence that is remitted.
func (p *Pressure) Relief() float64 { return p.relief }
