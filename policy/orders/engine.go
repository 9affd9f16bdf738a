package orders

import (
	"slices"
	"strings"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/policy/document"
)

// Engine is the last known state of one engine of the pool.
type Engine struct {
	ID      platform.EndpointID
	Zone    platform.Zone
	Address string
	// Leaving engines get no order and are not counted as copies.
	Leaving bool
	// Reported is true if the engine answered the last poll. Loaded and
	// Outstanding are valid only then.
	Reported bool
	// Loaded lists the versions that the engine has loaded.
	Loaded []document.Ref
	// Outstanding is the number of requests running or queued at the engine.
	Outstanding int
}

// orderable reports whether the engine may receive an order.
func (e Engine) orderable() bool { return e.Reported && !e.Leaving }

func (e Engine) has(ref document.Ref) bool { return slices.Contains(e.Loaded, ref) }

// ParseRef parses a version in the form "model@version", as load reports list it.
func ParseRef(text string) (document.Ref, bool) {
	model, version, ok := strings.Cut(text, "@")
	ref := document.Ref{Model: document.ModelName(model), Version: document.VersionName(version)}
	return ref, ok && model != "" && version != ""
}
