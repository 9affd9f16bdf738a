package suspect

import (
	"slices"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

const (
	// ExpiryRecords is the number of records since the last change of a suspect
	// after which it expires.
	ExpiryRecords = 1 << 16
	// MaxSuspects bounds the suspects of a fold.
	MaxSuspects = 1 << 12
	// MaxFingerprintBytes bounds a fingerprint; entries with a longer one are
	// skipped.
	MaxFingerprintBytes = 128
	// MaxNameBytes bounds the name of an endpoint; entries with a longer one are
	// skipped.
	MaxNameBytes = 256
)

// record is the state of one suspect in a fold.
type record struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Crashed lists the endpoints that the request crashed, at most
	// [MaxCrashes].
	Crashed []platform.EndpointID `json:"crashed"`
	// Changed is the offset of the last change.
	Changed platform.Offset `json:"changed"`
	// OpenTry is the granted try that has not ended, nil if there is none.
	OpenTry *openTry `json:"open,omitempty"`
}

// openTry identifies a granted try that has not ended.
type openTry struct {
	EntryID  string              `json:"entry_id"`
	Writer   platform.InstanceID `json:"writer"`
	Endpoint platform.EndpointID `json:"endpoint"`
}

func (r *record) permission() Permission { return permissionFor(len(r.Crashed)) }

// permissionFor returns the permission of a request that crashed the given
// number of endpoints.
func permissionFor(crashes int) Permission {
	switch {
	case crashes >= MaxCrashes:
		return Refused
	case crashes > 0:
		return Isolated
	default:
		return Normal
	}
}

// addCrash adds an endpoint, unless it is already listed or the list is full.
func (r *record) addCrash(endpoint platform.EndpointID) {
	if len(r.Crashed) < MaxCrashes && !slices.Contains(r.Crashed, endpoint) {
		r.Crashed = append(r.Crashed, endpoint)
	}
}

func (r *record) clone() *record {
	copied := *r
	copied.Crashed = slices.Clone(r.Crashed)
	if r.OpenTry != nil {
		open := *r.OpenTry
		copied.OpenTry = &open
	}
	return &copied
}
