package claim

import (
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Kinds of entries that the fold applies.
const (
	KindClaim   platform.Kind = "claim.take"
	KindRelease platform.Kind = "claim.release"
)

// Resource is the name of a resource that at most one instance holds at a time.
type Resource string

// Claim is the body of an entry that claims a resource for its writer.
type Claim struct {
	Resource Resource `json:"resource"`
	// Previous is the fencing number that the claim supersedes, 0 if the
	// resource was never held. The claim is accepted only if Previous is still
	// the current fencing number.
	Previous uint64 `json:"previous"`
}

// Release is the body of an entry by which the holder releases a resource.
type Release struct {
	Resource Resource `json:"resource"`
	Fencing  uint64   `json:"fencing"`
}

// Holding is the state of one resource: its last holder and whether that holder
// has released it.
type Holding struct {
	Holder   platform.InstanceID `json:"holder"`
	Fencing  uint64              `json:"fencing"`
	Released bool                `json:"released"`
}
