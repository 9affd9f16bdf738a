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

// Fold is the [fold.Part] that holds all suspects of the control stream. Apply and
// Restore must be called from one goroutine; the other methods are safe for
// concurrent use.
type Fold struct {
	mu       sync.RWMutex
	suspects map[Fingerprint]*record
	// occupied maps each endpoint with an open try to the suspect that is tried
	// on it.
	occupied map[platform.EndpointID]Fingerprint
	// lastSweep is the offset at which expired suspects were last removed.
	lastSweep platform.Offset
	// observers are called with every folded report.
	observers []func(Report)
}

// sweepIntervalRecords is the minimum number of records between two removals of
// expired suspects.
const sweepIntervalRecords = 1 << 10

// NewFold returns an empty fold.
func NewFold() *Fold {
	return &Fold{
		suspects: make(map[Fingerprint]*record),
		occupied: make(map[platform.EndpointID]Fingerprint),
	}
}

// Name implements [fold.Part].
func (f *Fold) Name() string { return PartName }

// Permission returns how a request may be dispatched according to the log alone.
func (f *Fold) Permission(fingerprint Fingerprint) Permission {
	return permissionFor(len(f.crashedEndpoints(fingerprint)))
}

// crashedEndpoints returns the endpoints that the request crashed according to
// the log.
func (f *Fold) crashedEndpoints(fingerprint Fingerprint) []platform.EndpointID {
	f.mu.RLock()
	defer f.mu.RUnlock()
	suspect, ok := f.suspects[fingerprint]
	if !ok {
		return nil
	}
	return slices.Clone(suspect.Crashed)
}

// addObserver registers a function that is called with every report folded from
// now on. The function must not call the fold, whose lock is held.
func (f *Fold) addObserver(observer func(Report)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observers = append(f.observers, observer)
}

// TryState returns the state of the try that the entry with the given ID claims.
// A granted try that is no longer open counts as denied. The fold cannot
// distinguish a denied try from one that it has not folded yet, so the caller
// states in the last argument whether the entry has been folded.
func (f *Fold) TryState(fingerprint Fingerprint, entryID string, folded bool) TryState {
	if !folded {
		return TryUnknown
	}
	f.mu.RLock()
	defer f.mu.RUnlock()
	suspect, ok := f.suspects[fingerprint]
	if ok && suspect.OpenTry != nil && suspect.OpenTry.EntryID == entryID {
		return TryGranted
	}
	return TryDenied
}

// HasOpenTry reports whether a try of the fingerprint is open.
func (f *Fold) HasOpenTry(fingerprint Fingerprint) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	suspect, ok := f.suspects[fingerprint]
	return ok && suspect.OpenTry != nil
}

// IsTrying reports whether a suspect is being tried on the endpoint, so that a
// claim for another try on it would be denied.
func (f *Fold) IsTrying(endpoint platform.EndpointID) bool {
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
	f.removeExpired(position.Offset)
	switch entry.Kind {
	case KindReport:
		var report Report
		if json.Unmarshal(entry.Body, &report) == nil && report.valid() {
			f.applyReport(position.Offset, report)
		}
	case KindTry:
		var try Try
		if json.Unmarshal(entry.Body, &try) == nil && try.valid() {
			f.applyTry(position.Offset, entry, try)
		}
	case KindEnd:
		var end End
		if json.Unmarshal(entry.Body, &end) == nil {
			f.applyEnd(position.Offset, entry.Writer, end)
		}
	}
}

func (f *Fold) applyReport(offset platform.Offset, report Report) {
	suspect, ok := f.suspects[report.Fingerprint]
	if !ok {
		f.evictIfFull()
		suspect = &record{Fingerprint: report.Fingerprint}
		f.suspects[report.Fingerprint] = suspect
	}
	suspect.addCrash(report.Endpoint)
	suspect.Changed = offset
	for _, observer := range f.observers {
		observer(report)
	}
}

// applyTry grants a try of an isolated suspect that has no open try, if no other
// suspect is being tried on the endpoint.
func (f *Fold) applyTry(offset platform.Offset, entry platform.Entry, try Try) {
	suspect, ok := f.suspects[try.Fingerprint]
	if !ok || suspect.permission() != Isolated || suspect.OpenTry != nil {
		return
	}
	if _, taken := f.occupied[try.Endpoint]; taken {
		return
	}
	suspect.OpenTry = &openTry{EntryID: entry.ID, Writer: entry.Writer, Endpoint: try.Endpoint}
	suspect.Changed = offset
	f.occupied[try.Endpoint] = try.Fingerprint
}

func (f *Fold) applyEnd(offset platform.Offset, writer platform.InstanceID, end End) {
	suspect, ok := f.suspects[end.Fingerprint]
	if !ok || suspect.OpenTry == nil || suspect.OpenTry.Writer != writer {
		return
	}
	if !end.Crashed {
		f.remove(suspect)
		return
	}
	endpoint := suspect.OpenTry.Endpoint
	f.closeTry(suspect)
	suspect.addCrash(endpoint)
	suspect.Changed = offset
}

func (f *Fold) closeTry(suspect *record) {
	if suspect.OpenTry == nil {
		return
	}
	delete(f.occupied, suspect.OpenTry.Endpoint)
	suspect.OpenTry = nil
}

func (f *Fold) remove(suspect *record) {
	f.closeTry(suspect)
	delete(f.suspects, suspect.Fingerprint)
}

// removeExpired removes, every [sweepIntervalRecords], the suspects that have
// not changed for more than [ExpiryRecords].
func (f *Fold) removeExpired(offset platform.Offset) {
	if offset < f.lastSweep+sweepIntervalRecords {
		return
	}
	f.lastSweep = offset
	for _, suspect := range f.suspects {
		if offset > suspect.Changed+ExpiryRecords {
			f.remove(suspect)
		}
	}
}

// evictIfFull removes one suspect if the fold holds [MaxSuspects]: suspects with
// one crash before refused ones, and the least recently changed first.
func (f *Fold) evictIfFull() {
	if len(f.suspects) < MaxSuspects {
		return
	}
	var victim *record
	for _, suspect := range f.suspects {
		if victim == nil || compareEvictionOrder(suspect, victim) < 0 {
			victim = suspect
		}
	}
	f.remove(victim)
}

// compareEvictionOrder compares two suspects; the smaller one is evicted first.
func compareEvictionOrder(a, b *record) int {
	return cmp.Or(
		cmp.Compare(len(a.Crashed), len(b.Crashed)),
		cmp.Compare(a.Changed, b.Changed),
		cmp.Compare(a.Fingerprint, b.Fingerprint),
	)
}

// snapshot is the encoding of a fold's state.
type snapshot struct {
	Suspects  []*record       `json:"suspects"`
	LastSweep platform.Offset `json:"swept"`
}

// Snapshot implements [fold.Part]. Equal states have equal encodings.
func (f *Fold) Snapshot() (json.RawMessage, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	state := snapshot{Suspects: make([]*record, 0, len(f.suspects)), LastSweep: f.lastSweep}
	for _, suspect := range f.suspects {
		state.Suspects = append(state.Suspects, suspect)
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
	for _, suspect := range state.Suspects {
		if !restored.restoreRecord(suspect) {
			return ErrMalformedSnapshot
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspects = restored.suspects
	f.occupied = restored.occupied
	f.lastSweep = state.LastSweep
	return nil
}

// restoreRecord adds a record of a snapshot. It returns false if the record is
// invalid.
func (f *Fold) restoreRecord(suspect *record) bool {
	if suspect == nil || !validName(string(suspect.Fingerprint), MaxFingerprintBytes) {
		return false
	}
	crashes := len(suspect.Crashed)
	if crashes < 1 || crashes > MaxCrashes || len(f.suspects) >= MaxSuspects {
		return false
	}
	if _, duplicate := f.suspects[suspect.Fingerprint]; duplicate {
		return false
	}
	if suspect.OpenTry != nil {
		if _, taken := f.occupied[suspect.OpenTry.Endpoint]; taken {
			return false
		}
		f.occupied[suspect.OpenTry.Endpoint] = suspect.Fingerprint
	}
	f.suspects[suspect.Fingerprint] = suspect.clone()
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
