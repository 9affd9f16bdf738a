package sizes

// Pressure lowers the confidence that is asked of small models while requests
// come late: then the larger models take time from all. It answers the load
// pattern in which engines are lost, or a burst comes, while most requests
// would still be answered well by the smallest model.
//
// It works like the control of a congestion window: each late request lowers
// it by a fixed step, each one on time raises it a little, and a long row of
// them ever more. It is not safe for concurrent use. The zero value asks for
// the full confidence.
type Pressure struct {
	// relief is the part of the asked confidence that is remitted, in [0, 1].
	relief float64
	// streak counts the requests on time since the last late one.
	streak int
}

const (
	// lateStep is what a late request adds to the relief.
	lateStep = 0.04
	// lateShare is the share of late requests at which the relief stays as it
	// is.
	lateShare = 0.04
	// onTimeStep is what a request on time takes from the relief.
	onTimeStep = lateStep * lateShare / (1 - lateShare)
	// calmStreak is the number of requests on time in a row, four times the mean
	// distance of late ones at the share above, after which the overload is
	// taken to be over. From then on the step grows by itself with every so many
	// requests.
	calmStreak = 100
	calmGrowth = 10
)

// Add takes in whether a request was late.
func (p *Pressure) Add(late bool) {
	if late {
		p.streak = 0
		p.relief = min(1, p.relief+lateStep)
		return
	}
	p.streak++
	step := onTimeStep * max(1, float64(p.streak-calmStreak)/calmGrowth)
	p.relief = max(0, p.relief-step)
}

// Accept returns the confidence to ask for, given the one of calm times.
func (p *Pressure) Accept(calm float64) float64 { return calm * (1 - p.relief) }

// Relief returns the part of the asked confidence that is remitted.
func (p *Pressure) Relief() float64 { return p.relief }
