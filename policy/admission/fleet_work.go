package admission

import (
	"time"

	"github.com/wigeonusher/wigeonusher/policy/document"
)

// minWorkSamples is the number of requests of a class after which its mean is used: until then,
// each sample counts alike.
const minWorkSamples = 20

// fleetWork learns how long requests take at the endpoints of one service. An instance of a large
// fleet sees few, so it takes the mean of its peers for classes of which it has seen none.
type fleetWork struct {
	all     meanWork
	classes map[document.TaskClass]*meanWork
	// peers is the mean of what peers have told, in seconds, 0 if they have told none.
	peers float64
}

// meanWork is a moving average that starts as a plain mean.
type meanWork struct {
	samples int
	seconds float64
}

func (m *meanWork) add(seconds float64) {
	m.samples++
	m.seconds += max(sampleWeight, 1/float64(m.samples)) * (seconds - m.seconds)
}

func newFleetWork() fleetWork { return fleetWork{classes: make(map[document.TaskClass]*meanWork)} }

// own returns the mean of what this instance has seen, in seconds, 0 if nothing.
func (w *fleetWork) own() float64 { return w.all.seconds }

// mean returns the mean endpoint time of a request.
func (w *fleetWork) mean() time.Duration {
	seconds := w.all.seconds
	switch {
	case w.peers > 0 && w.all.samples < minWorkSamples:
		seconds = w.peers
	case w.all.samples == 0:
		return defaultWork
	}
	return time.Duration(seconds * float64(time.Second))
}

// estimate returns the expected endpoint time of a request of the class.
func (w *fleetWork) estimate(class document.TaskClass) time.Duration {
	if known := w.classes[class]; known != nil {
		return time.Duration(known.seconds * float64(time.Second))
	}
	return w.mean()
}

func (w *fleetWork) observe(class document.TaskClass, took time.Duration) {
	if took <= 0 {
		return
	}
	w.all.add(took.Seconds())
	known := w.classes[class]
	if known == nil {
		if len(w.classes) >= maxClasses {
			return
		}
		known = &meanWork{}
		w.classes[class] = known
	}
	known.add(took.Seconds())
}

// merge records the mean that a peer or a zone has told.
func (w *fleetWork) merge(seconds float64) {
	switch {
	case seconds <= 0:
	case w.peers <= 0:
		w.peers = seconds
	default:
		w.peers += sampleWeight * (seconds - w.peers)
	}
}
