package capacity

// Size is what the design must carry.
type Size struct {
	Instances         int     `json:"instances"`
	Zones             int     `json:"zones"`
	Engines           int     `json:"engines"`
	RequestsPerSecond float64 `json:"requests_per_second"`
	ChangesPerDay     float64 `json:"changes_per_day"`
	// The rest is assumed: shares of the requests that run at most once and
	// that begin a session, and the number of accounts.
	AtMostOnceShare float64 `json:"at_most_once_share"`
	NewSessionShare float64 `json:"new_session_share"`
	Accounts        int     `json:"accounts"`
	// DocumentBytes is the size of the configuration document.
	DocumentBytes int `json:"document_bytes"`
	// KeptSessions and KeptKeys are what an instance remembers.
	KeptSessions int `json:"kept_sessions"`
	KeptKeys     int `json:"kept_keys"`
}

// TwoYears is the size to design for.
func TwoYears() Size {
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

func (s Size) perZone() float64 { return float64(s.Instances) / float64(s.Zones) }

// requests returns the requests per second of one instance.
func (s Size) requests() float64 { return s.RequestsPerSecond / float64(s.Instances) }

// Budget is what control may cost an instance.
type Budget struct {
	CoreShare      float64 `json:"core_share"`
	MemoryBytes    float64 `json:"memory_bytes"`
	BytesPerSecond float64 `json:"bytes_per_second"`
	// AppendsPerSecond is that of the whole fleet.
	AppendsPerSecond float64 `json:"appends_per_second"`
}

// ControlBudget returns the budget stated for the size to design for.
func ControlBudget() Budget {
	return Budget{CoreShare: 0.024, MemoryBytes: 64e6, BytesPerSecond: 18e3, AppendsPerSecond: 300}
}
