package intent

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"slices"
	"unique"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// maxNameBytes bounds each key part, attempt and fingerprint. Entries that
// exceed it are skipped.
const maxNameBytes = 512

// LedgerConfig configures a [Ledger]. Window, MaxBody and MaxBodies must be the
// same in all instances: decisions depend on Window, and the stored bodies, which
// are part of a snapshot, on MaxBody and MaxBodies.
type LedgerConfig struct {
	// Window is the lifetime of a key after the last entry that renewed it, in
	// records of the stream.
	Window uint64
	// MaxKeys is the number of keys and additional attempts, taken together,
	// at which the ledger is full.
	MaxKeys int
	// MaxBody bounds the stored body of one outcome, and MaxBodies the total
	// of all stored bodies, in bytes. The oldest bodies are evicted first.
	MaxBody   int
	MaxBodies int
}

// digest is a hash that identifies a key or an attempt, see [digestOf].
type digest [16]byte

// row is the ledger's state of one key.
type row struct {
	touched     uint64 // position number of the last entry that renewed the key
	fencing     uint64 // position number of the accepted intent
	writer      platform.InstanceID
	attempt     string
	fingerprint string
	state       State
	// otherAttempts are digests of the attempts that were refused or have
	// abandoned the key. They identify duplicate intents.
	otherAttempts []digest
	// tentative marks a claim that was accepted before the ledger was
	// complete: the other ledgers may have accepted another claim. An
	// abandoned outcome does not free it; only expiry does.
	tentative bool
	// The remaining fields are the outcome of a key that is done.
	outcomeNumber uint64 // position number of the outcome
	body          []byte
	status        int32
	truncated     bool
	unknown       bool
}

// keyPosition is a key with the position number of one of its entries.
type keyPosition struct {
	key    digest
	number uint64
}

// Ledger folds intents and outcomes and decides which intents are accepted.
// It implements fold.Part and is not safe for concurrent use.
type Ledger struct {
	cfg           LedgerConfig
	onDecision    func(Decision)
	rows          map[digest]*row
	expiryOrder   fifo // by the position of the last renewal
	bodyOrder     fifo // by the position of the outcome
	bodyBytes     int
	otherAttempts int // total number of otherAttempts in all rows
	// firstFolded is the offset from which every record has been or will be
	// folded; 0 until StartAt, Restore or the first entry sets it.
	firstFolded platform.Offset
	lastFolded  platform.Offset
}

// NewLedger returns an empty ledger. onDecision, if not nil, is called for
// every valid intent, except for those recognized as duplicates.
func NewLedger(cfg LedgerConfig, onDecision func(Decision)) *Ledger {
	if onDecision == nil {
		onDecision = func(Decision) {}
	}
	return &Ledger{cfg: cfg, onDecision: onDecision, rows: map[digest]*row{}}
}

// Name implements fold.Part.
func (l *Ledger) Name() string { return "intents" }

// Len returns the number of keys in the ledger.
func (l *Ledger) Len() int { return len(l.rows) }

// Full reports whether the ledger has no room for further calls. Decisions do
// not depend on it. While a ledger is full, its instance appends entries of
// kind [KindAdvance], so that the stream moves forward and keys expire.
func (l *Ledger) Full() bool { return len(l.rows)+l.otherAttempts >= l.cfg.MaxKeys }

// StartAt sets the offset of the first record to be folded. Without it, the
// ledger uses the offset of the first entry that it folds.
func (l *Ledger) StartAt(offset platform.Offset) { l.firstFolded = offset }

// Complete reports whether the ledger knows every unexpired key: it has folded
// the stream from its beginning, or a complete snapshot and every record after
// it, or at least Window records. Calls must not be started before that.
func (l *Ledger) Complete() bool {
	return l.firstFolded <= 1 || uint64(l.lastFolded) >= uint64(l.firstFolded)+l.cfg.Window
}

// LastOffset returns the last folded offset, which is written to [Intent].After.
func (l *Ledger) LastOffset() platform.Offset { return l.lastFolded }

// Status returns the status of the key.
func (l *Ledger) Status(key Key) Status {
	r := l.rows[digestOf(key)]
	if r == nil {
		return Status{State: Free}
	}
	return r.keyStatus(key)
}

// Apply implements fold.Part.
func (l *Ledger) Apply(position platform.Position, entry platform.Entry) {
	if l.firstFolded == 0 {
		l.firstFolded = position.Offset
	}
	l.lastFolded = max(l.lastFolded, position.Offset)
	l.expire()
	switch entry.Kind {
	case KindIntent:
		l.applyIntent(position.Number(), entry)
	case KindOutcome:
		l.applyOutcome(position.Number(), entry)
	}
}

func (l *Ledger) applyIntent(number uint64, entry platform.Entry) {
	in, ok := decodeIntent(entry.Body)
	if !ok {
		return
	}
	decision := Decision{Attempt: in.Attempt, Writer: entry.Writer, Key: in.Key, Reason: TooLate}
	if uint64(in.After)+l.cfg.Window <= offsetOf(number) {
		decision.Holder = l.Status(in.Key)
		l.onDecision(decision)
		return
	}
	r := l.rowFor(digestOf(in.Key))
	attempt := digestOf(Key{Account: string(entry.Writer), Token: in.Attempt})
	if r.hasAttempt(entry.Writer, in.Attempt, attempt) {
		return
	}
	l.touch(digestOf(in.Key), r, number)
	decision.Reason = r.decide(in)
	if decision.Reason != KeyWasFree {
		r.otherAttempts = append(r.otherAttempts, attempt)
		l.otherAttempts++
		decision.Holder = r.keyStatus(in.Key)
		l.onDecision(decision)
		return
	}
	l.claim(r, number, entry.Writer, in)
	decision.Accepted = true
	decision.Fencing = number
	l.onDecision(decision)
}

func (l *Ledger) claim(r *row, number uint64, writer platform.InstanceID, in Intent) {
	if r.attempt != "" {
		r.otherAttempts = append(r.otherAttempts, digestOf(Key{Account: string(r.writer), Token: r.attempt}))
		l.otherAttempts++
	}
	r.state = Claimed
	r.tentative = !l.Complete()
	r.fencing = number
	r.writer = intern(writer)
	r.attempt = in.Attempt
	r.fingerprint = in.Fingerprint
}

// applyOutcome closes or frees a key.
//
// Ledgers may differ in which duplicate outcomes they fold, and a ledger that
// started in the middle of the stream may hold a claim that the others
// refused. Two rules keep this safe. A row that may be wrong (tentative or
// done) is freed only by expiry, and every outcome renews it. A claim that is
// not tentative is renewed only by an outcome that changes it, so that all
// complete ledgers expire it at the same position.
func (l *Ledger) applyOutcome(number uint64, entry platform.Entry) {
	out, ok := decodeOutcome(entry.Body)
	if !ok {
		return
	}
	key := digestOf(out.Key)
	r := l.rows[key]
	if r == nil && out.Abandoned {
		return
	}
	r = l.rowFor(key)
	switch isHolder := r.writer == entry.Writer && r.attempt == out.Attempt; {
	case r.state == Done, r.tentative && out.Abandoned:
		l.touch(key, r, number)
	case r.state == Claimed && !r.tentative && !isHolder:
	case r.state == Free && out.Abandoned:
	case out.Abandoned:
		l.touch(key, r, number)
		r.state = Free
	default:
		l.touch(key, r, number)
		l.finish(key, number, r, entry.Writer, out)
	}
}

// finish marks a key as done. If the row names another attempt, or none, the
// outcome's attempt replaces it, because only the writer of the accepted intent
// appends such an outcome.
func (l *Ledger) finish(key digest, number uint64, r *row, writer platform.InstanceID, out Outcome) {
	if r.attempt != out.Attempt {
		r.writer = intern(writer)
		r.attempt = out.Attempt
		r.fingerprint = out.Fingerprint
	}
	r.state = Done
	l.storeOutcome(key, number, r, out)
}

func (l *Ledger) storeOutcome(key digest, number uint64, r *row, out Outcome) {
	r.outcomeNumber = number
	r.status = int32(out.Status)
	r.unknown = out.Unknown
	r.truncated = out.Truncated
	if len(out.Body) == 0 {
		return
	}
	if len(out.Body) > l.cfg.MaxBody {
		r.truncated = true
		return
	}
	l.storeBody(keyPosition{key: key, number: number}, r, out.Body)
	for l.bodyBytes > l.cfg.MaxBodies {
		oldest, ok := l.bodyOrder.pop()
		if !ok {
			return
		}
		if r := l.rows[oldest.key]; r != nil && r.outcomeNumber == oldest.number {
			l.dropBody(r)
		}
	}
}

func (l *Ledger) storeBody(position keyPosition, r *row, body []byte) {
	r.body = body
	l.bodyBytes += len(body)
	l.bodyOrder.push(position)
}

// dropBody evicts the stored body of an outcome, if any.
func (l *Ledger) dropBody(r *row) {
	if len(r.body) == 0 {
		return
	}
	l.bodyBytes -= len(r.body)
	r.body, r.truncated = nil, true
}

// rowFor returns the row of a key and creates it if it does not exist.
func (l *Ledger) rowFor(key digest) *row {
	r := l.rows[key]
	if r == nil {
		r = &row{state: Free}
		l.rows[key] = r
	}
	return r
}

// touch renews the lifetime of a key. Accepted and refused intents do so
// alike, unless they are too late or duplicates. So the last Window records
// alone determine whether the ledger holds a key, and a ledger that has folded
// only those agrees with the others.
func (l *Ledger) touch(key digest, r *row, number uint64) {
	r.touched = number
	l.expiryOrder.push(keyPosition{key: key, number: number})
}

// expire removes the keys that no entry of the last Window records renewed.
func (l *Ledger) expire() {
	for {
		oldest, ok := l.expiryOrder.peek()
		if !ok || offsetOf(oldest.number)+l.cfg.Window > uint64(l.lastFolded) {
			return
		}
		l.expiryOrder.pop()
		r := l.rows[oldest.key]
		if r == nil || r.touched != oldest.number {
			continue
		}
		l.dropBody(r)
		l.otherAttempts -= len(r.otherAttempts)
		delete(l.rows, oldest.key)
	}
}

// hasAttempt reports whether an intent of the attempt was folded before. d is
// the digest of writer and attempt.
func (r *row) hasAttempt(writer platform.InstanceID, attempt string, d digest) bool {
	return r.attempt == attempt && r.writer == writer || slices.Contains(r.otherAttempts, d)
}

// decide returns the decision on a new intent for the row's key.
func (r *row) decide(in Intent) Reason {
	switch {
	case r.state == Free:
		return KeyWasFree
	case r.fingerprint != in.Fingerprint:
		return KeyReused
	case r.state == Done:
		return KeyDone
	default:
		return KeyClaimed
	}
}

func (r *row) keyStatus(key Key) Status {
	if r.state == Free {
		return Status{State: Free}
	}
	s := Status{
		State:       r.state,
		Writer:      r.writer,
		Attempt:     r.attempt,
		Fingerprint: r.fingerprint,
		Fencing:     r.fencing,
	}
	if r.state == Done {
		s.Outcome = Outcome{
			Key:         key,
			Attempt:     r.attempt,
			Fingerprint: r.fingerprint,
			Unknown:     r.unknown,
			Status:      int(r.status),
			Body:        r.body,
			Truncated:   r.truncated,
		}
	}
	return s
}

func decodeIntent(body json.RawMessage) (Intent, bool) {
	var in Intent
	if err := json.Unmarshal(body, &in); err != nil {
		return Intent{}, false
	}
	return in, in.Attempt != "" && in.Key.valid() && len(in.Attempt) <= maxNameBytes && len(in.Fingerprint) <= maxNameBytes
}

func decodeOutcome(body json.RawMessage) (Outcome, bool) {
	var out Outcome
	if err := json.Unmarshal(body, &out); err != nil {
		return Outcome{}, false
	}
	return out, out.Attempt != "" && out.Key.valid() && len(out.Attempt) <= maxNameBytes && len(out.Fingerprint) <= maxNameBytes
}

func (k Key) valid() bool {
	longest := max(len(k.Account), len(k.Service), len(k.Token))
	return k.Token != "" && longest <= maxNameBytes
}

// digestOf hashes the parts of the key, each prefixed with its length.
func digestOf(key Key) digest {
	var buf bytes.Buffer
	for _, part := range []string{key.Account, key.Service, key.Token} {
		_ = binary.Write(&buf, binary.BigEndian, uint32(len(part)))
		buf.WriteString(part)
	}
	sum := sha256.Sum256(buf.Bytes())
	return digest(sum[:len(digest{})])
}

// offsetOf returns the record offset of a position number.
func offsetOf(number uint64) uint64 {
	return number / platform.Position{Offset: 1}.Number()
}

// intern returns a copy of the writer's ID that all rows of the writer share.
func intern(id platform.InstanceID) platform.InstanceID {
	return unique.Make(id).Value()
}
