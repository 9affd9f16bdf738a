package intent

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"unique"

	"github.com/wigeonusher/wigeonusher/coord/platform"
)

// maxNameBytes bounds each name and digest of an entry. Entries with longer
// ones are skipped.
const maxNameBytes = 512

// LedgerConfig bounds a [Ledger]. All instances of a fleet must have equal
// values of Window and MaxBody, because decisions depend on them.
type LedgerConfig struct {
	// Window is the lifetime of a key, in records of the stream, after the
	// last entry that names it.
	Window uint64
	// MaxKeys is the number of keys at which the ledger counts as full.
	MaxKeys int
	// MaxBody bounds the body kept of one outcome, and MaxBodies that of all,
	// in bytes. The oldest bodies are dropped first.
	MaxBody   int
	MaxBodies int
}

// digest stands for a [Key].
type digest [16]byte

// row is what the ledger knows of one key.
type row struct {
	touched     uint64 // position number of the last entry that names the key
	fencing     uint64 // position number of the accepted intent
	writer      platform.InstanceID
	attempt     string
	fingerprint string
	state       State
	// The rest is the outcome of a key that is done.
	decided   uint64 // position number of the outcome
	body      []byte
	status    int32
	truncated bool
	unknown   bool
}

// touch is a place in the order in which keys expire.
type touch struct {
	key    digest
	number uint64
}

// Ledger folds intents and outcomes. It implements fold.Part and is not safe
// for concurrent use.
type Ledger struct {
	cfg        LedgerConfig
	onDecision func(Decision)
	rows       map[digest]*row
	expiry     fifo // by last touch
	bodies     fifo // by outcome
	bodyBytes  int
	// since is the offset from which on every record has been folded; 0 if
	// none was.
	since platform.Offset
	last  platform.Offset
}

// NewLedger returns an empty ledger. onDecision, if not nil, is called once
// for every readable intent that is not a repetition.
func NewLedger(cfg LedgerConfig, onDecision func(Decision)) *Ledger {
	if onDecision == nil {
		onDecision = func(Decision) {}
	}
	return &Ledger{cfg: cfg, onDecision: onDecision, rows: map[digest]*row{}}
}

// Name implements fold.Part.
func (l *Ledger) Name() string { return "intents" }

// Len returns the number of keys held.
func (l *Ledger) Len() int { return len(l.rows) }

// Full tells whether no further calls should be started. Decisions do not
// depend on it. While a ledger is full, its instance appends entries of kind
// [KindAdvance], so that the stream moves on and keys expire.
func (l *Ledger) Full() bool { return len(l.rows) >= l.cfg.MaxKeys }

// StartAt says that the first record folded will be the one at the offset.
// Without it, the first entry's offset counts.
func (l *Ledger) StartAt(offset platform.Offset) { l.since = offset }

// Complete tells whether the ledger knows every live key: it has folded the
// stream from its beginning, or a complete snapshot and all after it, or at
// least Window records. Calls may be started only then.
func (l *Ledger) Complete() bool {
	return l.since <= 1 || uint64(l.last) >= uint64(l.since)+l.cfg.Window
}

// Status returns what is known of the key.
func (l *Ledger) Status(key Key) Status {
	r := l.rows[digestOf(key)]
	if r == nil {
		return Status{State: Free}
	}
	return r.describe(key)
}

// Apply implements fold.Part.
func (l *Ledger) Apply(position platform.Position, entry platform.Entry) {
	if l.since == 0 {
		l.since = position.Offset
	}
	l.last = max(l.last, position.Offset)
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
	key := digestOf(in.Key)
	r := l.touch(key, number)
	if r.attempt == in.Attempt && r.writer == entry.Writer {
		return
	}
	decision := Decision{Attempt: in.Attempt, Writer: entry.Writer, Key: in.Key, Reason: r.judge(in)}
	if decision.Reason != KeyWasFree {
		decision.Holder = r.describe(in.Key)
		l.onDecision(decision)
		return
	}
	r.state = Claimed
	r.fencing = number
	r.writer = intern(entry.Writer)
	r.attempt = in.Attempt
	r.fingerprint = in.Fingerprint
	decision.Accepted = true
	decision.Fencing = number
	l.onDecision(decision)
}

// applyOutcome closes or frees a key. An outcome for a key that is not known
// closes it: the intent has expired here or was never seen.
func (l *Ledger) applyOutcome(number uint64, entry platform.Entry) {
	out, ok := decodeOutcome(entry.Body)
	if !ok {
		return
	}
	key := digestOf(out.Key)
	r := l.touch(key, number)
	switch {
	case r.state == Claimed && (r.writer != entry.Writer || r.attempt != out.Attempt):
		return
	case r.state == Done:
		return
	case out.Abandoned:
		r.state = Free
		return
	case r.state == Free:
		r.writer = intern(entry.Writer)
		r.attempt = out.Attempt
		r.fingerprint = out.Fingerprint
	}
	r.state = Done
	l.keepOutcome(key, number, r, out)
}

func (l *Ledger) keepOutcome(key digest, number uint64, r *row, out Outcome) {
	r.decided = number
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
	l.keepBody(touch{key: key, number: number}, r, out.Body)
	for l.bodyBytes > l.cfg.MaxBodies {
		oldest, ok := l.bodies.pop()
		if !ok {
			return
		}
		if r := l.rows[oldest.key]; r != nil && r.decided == oldest.number {
			l.dropBody(r)
		}
	}
}

func (l *Ledger) keepBody(at touch, r *row, body []byte) {
	r.body = body
	l.bodyBytes += len(body)
	l.bodies.push(at)
}

// dropBody forgets the body of an outcome, if there is one.
func (l *Ledger) dropBody(r *row) {
	if len(r.body) == 0 {
		return
	}
	l.bodyBytes -= len(r.body)
	r.body, r.truncated = nil, true
}

// touch returns the row of a key, new if need be, and renews its lifetime.
// Every entry that names a key does so, whatever becomes of the entry: the
// lifetime then depends on the last Window records alone, and an instance that
// has folded no others agrees on it.
func (l *Ledger) touch(key digest, number uint64) *row {
	r := l.rows[key]
	if r == nil {
		r = &row{state: Free}
		l.rows[key] = r
	}
	r.touched = number
	l.expiry.push(touch{key: key, number: number})
	return r
}

// expire drops the keys that no entry of the last Window records names.
func (l *Ledger) expire() {
	for {
		oldest, ok := l.expiry.peek()
		if !ok || offsetOf(oldest.number)+l.cfg.Window > uint64(l.last) {
			return
		}
		l.expiry.pop()
		r := l.rows[oldest.key]
		if r == nil || r.touched != oldest.number {
			continue
		}
		l.dropBody(r)
		delete(l.rows, oldest.key)
	}
}

// judge returns the verdict on an intent that meets the row.
func (r *row) judge(in Intent) Reason {
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

func (r *row) describe(key Key) Status {
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

// digestOf hashes the key's parts, each with its length before it.
func digestOf(key Key) digest {
	var buf bytes.Buffer
	for _, part := range []string{key.Account, key.Service, key.Token} {
		_ = binary.Write(&buf, binary.BigEndian, uint32(len(part)))
		buf.WriteString(part)
	}
	sum := sha256.Sum256(buf.Bytes())
	return digest(sum[:len(digest{})])
}

func offsetOf(number uint64) uint64 {
	return number / platform.Position{Offset: 1}.Number()
}

// intern lets the many rows of one writer share its name.
func intern(id platform.InstanceID) platform.InstanceID {
	return unique.Make(id).Value()
}
