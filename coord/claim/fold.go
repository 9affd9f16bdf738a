package claim

import (
	"encoding/json"
	"maps"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// maxResourceBytes bounds the length of a resource's name. Entries with longer
// names are skipped.
const maxResourceBytes = 512

// Decision is the result of applying one claim or release.
type Decision struct {
	EntryID  string
	Resource Resource
	Writer   platform.InstanceID
	Accepted bool
	// Holding is the state of the resource after the entry.
	Holding Holding
}

// Fold holds the state of each resource. It implements fold.Part. Its size is
// bounded by the number of resources ever claimed; instances claim only those in
// their configuration. Released resources are not removed, because their fencing
// numbers must not restart.
type Fold struct {
	onDecision func(Decision)
	holdings   map[Resource]Holding
}

// NewFold returns a fold without holders. onDecision, if not nil, is called for
// each valid claim and release, whether accepted or not.
func NewFold(onDecision func(Decision)) *Fold {
	if onDecision == nil {
		onDecision = func(Decision) {}
	}
	return &Fold{onDecision: onDecision, holdings: map[Resource]Holding{}}
}

// Name implements fold.Part.
func (f *Fold) Name() string { return "claims" }

// Holding returns the state of the resource, or the zero Holding if it was never
// held.
func (f *Fold) Holding(resource Resource) Holding { return f.holdings[resource] }

// Holdings returns a copy of the states of all resources.
func (f *Fold) Holdings() map[Resource]Holding { return maps.Clone(f.holdings) }

// Holds returns the fencing number of the resource, 0 if it was never held, and
// reports whether the instance holds the resource.
func (f *Fold) Holds(resource Resource, instance platform.InstanceID) (fencing uint64, ok bool) {
	h := f.holdings[resource]
	return h.Fencing, h.Fencing != 0 && h.Holder == instance && !h.Released
}

// Apply implements fold.Part.
func (f *Fold) Apply(position platform.Position, entry platform.Entry) {
	switch entry.Kind {
	case KindClaim:
		f.applyClaim(position, entry)
	case KindRelease:
		f.applyRelease(entry)
	}
}

func (f *Fold) applyClaim(position platform.Position, entry platform.Entry) {
	var c Claim
	if err := json.Unmarshal(entry.Body, &c); err != nil || !c.Resource.valid() || entry.Writer == "" {
		return
	}
	accepted := f.holdings[c.Resource].Fencing == c.Previous
	if accepted {
		f.holdings[c.Resource] = Holding{Holder: entry.Writer, Fencing: position.Number()}
	}
	f.reportDecision(entry, c.Resource, accepted)
}

func (f *Fold) applyRelease(entry platform.Entry) {
	var r Release
	if err := json.Unmarshal(entry.Body, &r); err != nil || !r.Resource.valid() {
		return
	}
	h := f.holdings[r.Resource]
	accepted := h.Fencing != 0 && h.Fencing == r.Fencing && h.Holder == entry.Writer && !h.Released
	if accepted {
		h.Released = true
		f.holdings[r.Resource] = h
	}
	f.reportDecision(entry, r.Resource, accepted)
}

func (f *Fold) reportDecision(entry platform.Entry, resource Resource, accepted bool) {
	f.onDecision(Decision{
		EntryID:  entry.ID,
		Resource: resource,
		Writer:   entry.Writer,
		Accepted: accepted,
		Holding:  f.holdings[resource],
	})
}

// Snapshot implements fold.Part.
func (f *Fold) Snapshot() (json.RawMessage, error) {
	encoded, err := json.Marshal(f.holdings)
	return encoded, eris.Wrap(err, "claim: encode snapshot")
}

// Restore implements fold.Part.
func (f *Fold) Restore(snapshot json.RawMessage) error {
	holdings := map[Resource]Holding{}
	if err := json.Unmarshal(snapshot, &holdings); err != nil {
		return eris.Wrap(err, "claim: decode snapshot")
	}
	for resource, h := range holdings {
		if !resource.valid() || h.Fencing == 0 || h.Holder == "" {
			return eris.Errorf("claim: snapshot of resource %q is not valid", resource)
		}
	}
	f.holdings = holdings
	if f.holdings == nil {
		f.holdings = map[Resource]Holding{}
	}
	return nil
}

func (r Resource) valid() bool { return r != "" && len(r) <= maxResourceBytes }
