package capacity

// Size is the size of a deployment and the load on it.
type Size struct {
	Instances         int     `json:"instances"`
	Zones             int     `json:"zones"`
	Engines           int     `json:"engines"`
	RequestsPerSecond float64 `json:"requests_per_second"`
	ChangesPerDay     float64 `json:"changes_per_day"`
	// AtMostOnceShare and NewSessionShare are the shares of requests that run
	// at most once and that begin a session. These, Accounts and the fields
	// below are assumptions.
	AtMostOnceShare float64 `json:"at_most_once_share"`
	NewSessionShare float64 `json:"new_session_share"`
	Accounts        int     `json:"accounts"`
	// DocumentBytes is the size of the configuration document.
	DocumentBytes int `json:"document_bytes"`
	// KeptSessions and KeptKeys are the numbers of sessions and idempotency
	// keys that an instance holds in memory.
	KeptSessions int `json:"kept_sessions"`
	KeptKeys     int `json:"kept_keys"`
}

// TargetSize returns the size that the design targets, expected in two years.
func TargetSize() Size {
	return Size{
		Instances:         380,
		Zones:             17,
		Engines:           1500,
		RequestsPerSecond: 22_000,
		ChangesPerDay:     840,
		AtMostOnceShare:   0.05,
		NewSessionShare:   0.05,
		Accounts:          100,
		DocumentBytes:     64 << 10,
		KeptSessions:      50_000,
		KeptKeys:          50_000,
	}
}

// instancesPerZone returns the mean number of instances in a zone.
func (s Size) instancesPerZone() float64 { return float64(s.Instances) / float64(s.Zones) }

// requestsPerInstance returns the requests per second of one instance.
func (s Size) requestsPerInstance() float64 { return s.RequestsPerSecond / float64(s.Instances) }

// Budget limits the cost of coordination per instance.
type Budget struct {
	CoreShare      float64 `json:"core_share"`
	MemoryBytes    float64 `json:"memory_bytes"`
	BytesPerSecond float64 `json:"bytes_per_second"`
	// AppendsPerSecond limits the appends of the whole fleet.
	AppendsPerSecond float64 `json:"appends_per_second"`
}

// ControlBudget returns the budget for coordination at [TargetSize].
func ControlBudget() Budget {
	return Budget{CoreShare: 0.024, MemoryBytes: 64e6, BytesPerSecond: 18e3, AppendsPerSecond: 300}
}
