package orders

import (
	"slices"
	"strings"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

// Engine is what is known of one engine of the pool.
type Engine struct {
	ID      platform.EndpointID
	Zone    platform.Zone
	Address string
	// Leaving engines get no order and count for nothing.
	Leaving bool
	// Reported tells whether the engine answered the last poll. Loaded and
	// Outstanding are known only then.
	Reported bool
	// Loaded are the versions that the engine has.
	Loaded []document.Ref
	// Outstanding is the number of requests that run or wait at the engine.
	Outstanding int
}

// orderable reports whether the engine may get an order.
func (e Engine) orderable() bool { return e.Reported && !e.Leaving }

func (e Engine) has(ref document.Ref) bool { return slices.Contains(e.Loaded, ref) }

// ParseRef returns the version that a load report names "model@version".
func ParseRef(text string) (document.Ref, bool) {
	model, version, ok := strings.Cut(text, "@")
	ref := document.Ref{Model: document.ModelName(model), Version: document.VersionName(version)}
	return ref, ok && model != "" && version != ""
}
