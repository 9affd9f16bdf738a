package suspect

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/wigeonusher/wigeonusher/coord/fold"
	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// PartName is the name of a [Fold] in a snapshot.
const PartName = "suspects"

var _ fold.Part = (*Fold)(nil)

// Fold is the part of the control stream that knows all suspects. Apply and
// Restore are called by one goroutine; the others may be called by many.
type Fold struct {
	mu       sync.RWMutex
	suspects map[Fingerprint]*record
	// occupied gives for each endpoint the suspect that is tried there.
	occupied map[platform.EndpointID]Fingerprint
	// swept is the offset at which expired suspects were last dropped.
	swept platform.Offset
	// observers are told of every report that was folded.
	observers []func(Report)
}

// sweepRecords is the number of records between two searches for expired
// suspects.
const sweepRecords = 1 << 10

// NewFold returns an empty fold.
func NewFold() *Fold {
	return &Fold{
		suspects: make(map[Fingerprint]*record),
		occupied: make(map[platform.EndpointID]Fingerprint),
	}
}

// Name implements [fold.Part].
func (f *Fold) Name() string { return PartName }

// Permission returns what the log says of a request.
func (f *Fold) Permission(fingerprint Fingerprint) Permission {
	return permission(len(f.crashed(fingerprint)))
}

// crashed returns the endpoints that the request crashed, by the log.
func (f *Fold) crashed(fingerprint Fingerprint) []platform.EndpointID {
	f.mu.RLock()
	defer f.mu.RUnlock()
	known, ok := f.suspects[fingerprint]
	if !ok {
		return nil
	}
	return slices.Clone(known.Crashed)
}

// observe registers a function that is told of every report folded from now
// on. It must not call the fold.
func (f *Fold) observe(observer func(Report)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observers = append(f.observers, observer)
}

// Try returns the state of a try by the ID of its entry. A try that lost and
// one that was not met yet look alike; the caller knows from its stream whether
// the entry has been folded, and passes that as met.
func (f *Fold) Try(fingerprint Fingerprint, entryID string, met bool) TryState {
	if !met {
		return TryUnknown
	}
	f.mu.RLock()
	defer f.mu.RUnlock()
	known, ok := f.suspects[fingerprint]
	if ok && known.Open != nil && known.Open.EntryID == entryID {
		return TryGranted
	}
	return TryDenied
}

// Tried reports whether a try of the fingerprint is open.
func (f *Fold) Tried(fingerprint Fingerprint) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	known, ok := f.suspects[fingerprint]
	return ok && known.Open != nil
}

// Occupied reports whether a suspect is being tried on the endpoint. A claim
// for it would be denied.
func (f *Fold) Occupied(endpoint platform.EndpointID) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	_, ok := f.occupied[endpoint]
	return ok
}

// Len returns the number of suspects.
func (f *Fold) Len() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.suspects)
}

// Apply implements [fold.Part].
func (f *Fold) Apply(position platform.Position, entry platform.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expire(position.Offset)
	switch entry.Kind {
	case KindReport:
		var report Report
		if json.Unmarshal(entry.Body, &report) == nil && report.valid() {
			f.report(position.Offset, report)
		}
	case KindTry:
		var try Try
		if json.Unmarshal(entry.Body, &try) == nil && try.valid() {
			f.try(position.Offset, entry, try)
		}
	case KindEnd:
		var end End
		if json.Unmarshal(entry.Body, &end) == nil {
			f.end(position.Offset, entry.Writer, end)
		}
	}
}

func (f *Fold) report(at platform.Offset, report Report) {
	known, ok := f.suspects[report.Fingerprint]
	if !ok {
		f.makeRoom()
		known = &record{Fingerprint: report.Fingerprint}
		f.suspects[report.Fingerprint] = known
	}
	known.addCrash(report.Endpoint)
	known.Changed = at
	for _, observer := range f.observers {
		observer(report)
	}
}

// try grants the first claim of an isolated suspect on an endpoint that tries
// no other.
func (f *Fold) try(at platform.Offset, entry platform.Entry, try Try) {
	known, ok := f.suspects[try.Fingerprint]
	if !ok || known.permission() != Isolated || known.Open != nil {
		return
	}
	if _, taken := f.occupied[try.Endpoint]; taken {
		return
	}
	known.Open = &openTry{EntryID: entry.ID, Writer: entry.Writer, Endpoint: try.Endpoint}
	known.Changed = at
	f.occupied[try.Endpoint] = try.Fingerprint
}

func (f *Fold) end(at platform.Offset, writer platform.InstanceID, end End) {
	known, ok := f.suspects[end.Fingerprint]
	if !ok || known.Open == nil || known.Open.Writer != writer {
		return
	}
	if !end.Crashed {
		f.drop(known)
		return
	}
	endpoint := known.Open.Endpoint
	f.closeTry(known)
	known.addCrash(endpoint)
	known.Changed = at
}

func (f *Fold) closeTry(known *record) {
	if known.Open == nil {
		return
	}
	delete(f.occupied, known.Open.Endpoint)
	known.Open = nil
}

func (f *Fold) drop(known *record) {
	f.closeTry(known)
	delete(f.suspects, known.Fingerprint)
}

// expire drops, every [sweepRecords], the suspects that have not changed for
// [ExpiryRecords].
func (f *Fold) expire(at platform.Offset) {
	if at < f.swept+sweepRecords {
		return
	}
	f.swept = at
	for _, known := range f.suspects {
		if at > known.Changed+ExpiryRecords {
			f.drop(known)
		}
	}
}

// makeRoom drops the suspect that gives way first if there are too many: those
// of one crash before the refused ones, the oldest first.
func (f *Fold) makeRoom() {
	if len(f.suspects) < MaxSuspects {
		return
	}
	var first *record
	for _, known := range f.suspects {
		if first == nil || givesWay(known, first) < 0 {
			first = known
		}
	}
	f.drop(first)
}

func givesWay(a, b *record) int {
	return cmp.Or(
		cmp.Compare(len(a.Crashed), len(b.Crashed)),
		cmp.Compare(a.Changed, b.Changed),
		cmp.Compare(a.Fingerprint, b.Fingerprint),
	)
}

// snapshot is the encoding of a fold's state.
type snapshot struct {
	Suspects []*record       `json:"suspects"`
	Swept    platform.Offset `json:"swept"`
}

// Snapshot implements [fold.Part]. Equal states have equal encodings.
func (f *Fold) Snapshot() (json.RawMessage, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	state := snapshot{Suspects: make([]*record, 0, len(f.suspects)), Swept: f.swept}
	for _, known := range f.suspects {
		state.Suspects = append(state.Suspects, known)
	}
	slices.SortFunc(state.Suspects, func(a, b *record) int {
		return cmp.Compare(a.Fingerprint, b.Fingerprint)
	})
	encoded, err := json.Marshal(state)
	return encoded, eris.Wrap(err, "suspect: encode snapshot")
}

// ErrMalformedSnapshot reports a snapshot that cannot be restored.
var ErrMalformedSnapshot = eris.New("suspect: malformed snapshot")

// Restore implements [fold.Part].
func (f *Fold) Restore(encoded json.RawMessage) error {
	var state snapshot
	if err := json.Unmarshal(encoded, &state); err != nil {
		return ErrMalformedSnapshot
	}
	restored := NewFold()
	for _, known := range state.Suspects {
		if !restored.adopt(known) {
			return ErrMalformedSnapshot
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspects = restored.suspects
	f.occupied = restored.occupied
	f.swept = state.Swept
	return nil
}

// adopt takes a record of a snapshot. It reports whether the record is valid.
func (f *Fold) adopt(known *record) bool {
	if known == nil || !validName(string(known.Fingerprint), MaxFingerprintBytes) {
		return false
	}
	crashes := len(known.Crashed)
	if crashes < 1 || crashes > MaxCrashes || len(f.suspects) >= MaxSuspects {
		return false
	}
	if _, twice := f.suspects[known.Fingerprint]; twice {
		return false
	}
	if known.Open != nil {
		if _, taken := f.occupied[known.Open.Endpoint]; taken {
			return false
		}
		f.occupied[known.Open.Endpoint] = known.Fingerprint
	}
	f.suspects[known.Fingerprint] = known.clone()
	return true
}

func (r Report) valid() bool {
	return validName(string(r.Fingerprint), MaxFingerprintBytes) && validName(string(r.Endpoint), MaxNameBytes)
}

func (t Try) valid() bool {
	return validName(string(t.Fingerprint), MaxFingerprintBytes) && validName(string(t.Endpoint), MaxNameBytes)
}

func validName(name string, maxBytes int) bool {
	return name != "" && len(name) <= maxBytes
}
