package suspect

import (
	"slices"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

const (
	// ExpiryRecords is the number of records after its last change at which a
	// suspect is forgotten.
	ExpiryRecords = 1 << 16
	// MaxSuspects bounds the suspects that a fold keeps.
	MaxSuspects = 1 << 12
	// MaxFingerprintBytes bounds a fingerprint; entries with a longer one are
	// skipped.
	MaxFingerprintBytes = 128
	// MaxNameBytes bounds the name of a pool or endpoint.
	MaxNameBytes = 256
)

// record is what a fold keeps of one suspect.
type record struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Crashed lists the endpoints that crashed, at most [MaxCrashes].
	Crashed []platform.EndpointID `json:"crashed"`
	// Changed is the offset of the last change.
	Changed platform.Offset `json:"changed"`
	// Open is the try that was granted, if there is one.
	Open *openTry `json:"open,omitempty"`
}

// openTry is a granted try that has not ended.
type openTry struct {
	EntryID  string              `json:"entry_id"`
	Writer   platform.InstanceID `json:"writer"`
	Endpoint platform.EndpointID `json:"endpoint"`
}

func (r *record) permission() Permission { return permission(len(r.Crashed)) }

// permission returns what a request may do that crashed the given number of
// endpoints.
func permission(crashes int) Permission {
	switch {
	case crashes >= MaxCrashes:
		return Refused
	case crashes > 0:
		return Isolated
	default:
		return Normal
	}
}

// addCrash counts an endpoint once.
func (r *record) addCrash(endpoint platform.EndpointID) {
	if len(r.Crashed) < MaxCrashes && !slices.Contains(r.Crashed, endpoint) {
		r.Crashed = append(r.Crashed, endpoint)
	}
}

func (r *record) clone() *record {
	copied := *r
	copied.Crashed = slices.Clone(r.Crashed)
	if r.Open != nil {
		open := *r.Open
		copied.Open = &open
	}
	return &copied
}
