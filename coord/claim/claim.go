package claim

import (
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Kinds of entries that the fold understands.
const (
	KindClaim   platform.Kind = "claim.take"
	KindRelease platform.Kind = "claim.release"
)

// Resource names something that one instance at a time is in charge of.
type Resource string

// Claim takes a resource over.
type Claim struct {
	Resource Resource `json:"resource"`
	// Previous is the fencing number that the claim supersedes; 0 if the
	// resource was never held. The claim is accepted only while it is current.
	Previous uint64 `json:"previous"`
}

// Release gives a resource up.
type Release struct {
	Resource Resource `json:"resource"`
	Fencing  uint64   `json:"fencing"`
}

// Holding is the state of one resource.
type Holding struct {
	Holder   platform.InstanceID `json:"holder"`
	Fencing  uint64              `json:"fencing"`
	Released bool                `json:"released"`
}
