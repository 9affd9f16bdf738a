package placement

// Tuning holds the parameters of the standard steps. Zero fields take the
// defaults.
type Tuning struct {
	// ServiceMillis is the mean time that a request holds a slot.
	ServiceMillis float64
	// PrefillMillisPerToken is the time to process one prompt token that is
	// not in the prefix cache.
	PrefillMillisPerToken float64
	// Distances are the delays between zones.
	Distances Distances
	// MaxFailureRate is the share of failed dispatches above which an
	// endpoint is filtered out, in (0, 1].
	MaxFailureRate float64
	// MaxOccupancy is the number of outstanding requests per slot at and above
	// which an endpoint is filtered out.
	MaxOccupancy float64
}

// Defaults of [Tuning].
const (
	DefaultServiceMillis         = 2000
	DefaultPrefillMillisPerToken = 0.1
	DefaultMaxFailureRate        = 0.5
	DefaultMaxOccupancy          = 4
)

// Standard returns the steps used in production.
func Standard(tuning Tuning) Config {
	tuning = tuning.withDefaults()
	return Config{
		Filters: []Filter{
			NotAvoided{},
			NotFailing{MaxRate: tuning.MaxFailureRate},
			WithCapacity{MaxOccupancy: tuning.MaxOccupancy},
		},
		Scorers: []Scorer{
			Load{ServiceMillis: tuning.ServiceMillis},
			Prefix{MillisPerToken: tuning.PrefillMillisPerToken},
			Distance{Distances: tuning.Distances},
			Slowness{},
		},
		Picker: PowerOfTwo{},
	}
}

func (t Tuning) withDefaults() Tuning {
	if t.ServiceMillis <= 0 {
		t.ServiceMillis = DefaultServiceMillis
	}
	if t.PrefillMillisPerToken <= 0 {
		t.PrefillMillisPerToken = DefaultPrefillMillisPerToken
	}
	if t.MaxFailureRate <= 0 {
		t.MaxFailureRate = DefaultMaxFailureRate
	}
	if t.MaxOccupancy <= 0 {
		t.MaxOccupancy = DefaultMaxOccupancy
	}
	return t
}
