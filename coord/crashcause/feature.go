package crashcause

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// Feature identifies what requests may have in common.
type Feature uint64

// Name returns the feature as it is logged and stored.
func Name(feature Feature) string { return strconv.FormatUint(uint64(feature), 16) }

// ParseName is the inverse of [Name].
func ParseName(name string) (Feature, error) {
	number, err := strconv.ParseUint(name, 16, 64)
	return Feature(number), eris.Wrap(err, "crashcause: name of a feature")
}

// WholeRequest is the depth of the feature that is the whole request.
const WholeRequest = 255

// MaxFeatures bounds the features of one request, without the whole request. Further ones
// have no effect.
const MaxFeatures = 128

// Use is a feature of a request. Depth tells how specific it is: the place of a part in its
// prompt, or [WholeRequest].
type Use struct {
	Feature Feature
	Depth   uint8
}

// PartUses returns the features of a request with the given shared parts of a prompt, in
// their order, and the fingerprint of the whole request. A part that comes twice counts at
// its first place.
func PartUses(fingerprint uint64, parts []string) []Use {
	uses := make([]Use, 0, min(len(parts), MaxFeatures)+1)
	uses = append(uses, Use{Feature: Feature(fingerprint), Depth: WholeRequest})
	for depth, id := range parts[:min(len(parts), MaxFeatures)] {
		use := Use{Feature: Feature(xxhash.Sum64String("part\x00" + id)), Depth: uint8(depth)}
		if !contains(uses, use.Feature) {
			uses = append(uses, use)
		}
	}
	return uses
}

func contains(uses []Use, feature Feature) bool {
	for _, use := range uses {
		if use.Feature == feature {
			return true
		}
	}
	return false
}

// Lifetime identifies one lifetime of an endpoint.
type Lifetime struct {
	Endpoint platform.EndpointID
	Born     int64
}

// Accusation is a feature of a request that a crash has ended.
type Accusation struct {
	Use
	// Begun reports that the endpoint had just begun an answer; otherwise it may have.
	Begun bool
	// Survived reports that the accusing instance has seen the feature survive lately.
	Survived bool
	// Late reports that the answer had gone on for a while, which speaks less against the request.
	Late bool
	// Held is the time from the sending of the request to the crash.
	Held time.Duration
}

// isRequest reports whether the feature is a whole request.
func (u Use) isRequest() bool { return u.Depth == WholeRequest }

// weight is what the accusation adds to the score of its feature. That the same request was at
// several endpoints that crashed is hardly chance, while parts are shared by many requests
// that wait.
func (a Accusation) weight() int {
	if a.Begun || a.isRequest() {
		return begunWeight
	}
	return waitingWeight
}

// Standing is what is known of a feature.
type Standing int

// Standings, from the best to the worst.
const (
	Unsuspected Standing = iota
	// Questioned requests wait a moment while the instances ask each other whether they have seen
	// them survive.
	Questioned
	Suspected
	Guilty
)

var standingNames = [...]string{"unsuspected", "questioned", "suspected", "guilty"}

func (s Standing) String() string { return standingNames[s] }

// Verdict is a guilty feature as instances tell it each other.
type Verdict struct {
	Use
	// At is when the feature was last found guilty or was last refused.
	At time.Time
}
