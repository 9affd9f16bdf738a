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

// maxNameBytes bounds each name and digest of an entry. Entries with longer
// ones are skipped.
const maxNameBytes = 512

// LedgerConfig bounds a [Ledger]. All instances of a fleet must have equal
// values of Window and MaxBody, because decisions depend on them.
type LedgerConfig struct {
	// Window is the lifetime of a key, in records of the stream, after the
	// last entry that names it.
	Window uint64
	// MaxKeys is the number of keys, and of refused attempts, at which the
	// ledger counts as full.
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
	// others are digests of further attempts whose intents named the key.
	others []digest
	// tentative marks a claim that was accepted before the ledger was
	// complete: another claim may be the true one. It is never freed but by
	// expiry.
	tentative bool
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
	attempts   int // digests of attempts in all rows
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
func (l *Ledger) Full() bool { return len(l.rows)+l.attempts >= l.cfg.MaxKeys }

// StartAt says that the first record folded will be the one at the offset.
// Without it, the first entry's offset counts.
func (l *Ledger) StartAt(offset platform.Offset) { l.since = offset }

// Complete tells whether the ledger knows every live key: it has folded the
// stream from its beginning, or a complete snapshot and all after it, or at
// least Window records. Calls may be started only then.
func (l *Ledger) Complete() bool {
	return l.since <= 1 || uint64(l.last) >= uint64(l.since)+l.cfg.Window
}

// Last returns the offset folded last. Intents carry it.
func (l *Ledger) Last() platform.Offset { return l.last }

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
	decision := Decision{Attempt: in.Attempt, Writer: entry.Writer, Key: in.Key, Reason: TooLate}
	if uint64(in.After)+l.cfg.Window <= offsetOf(number) {
		decision.Holder = l.Status(in.Key)
		l.onDecision(decision)
		return
	}
	r := l.row(digestOf(in.Key))
	attempt := digestOf(Key{Account: string(entry.Writer), Token: in.Attempt})
	if r.knows(entry.Writer, in.Attempt, attempt) {
		return
	}
	l.touch(digestOf(in.Key), r, number)
	decision.Reason = r.judge(in)
	if decision.Reason != KeyWasFree {
		r.others = append(r.others, attempt)
		l.attempts++
		decision.Holder = r.describe(in.Key)
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
		r.others = append(r.others, digestOf(Key{Account: string(r.writer), Token: r.attempt}))
		l.attempts++
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
// Ledgers may differ in which repeated outcomes they meet, and a ledger that
// started within the stream may take the wrong claim for the accepted one.
// They stay safe by two rules. A row that may be wrong, one that is tentative
// or done, is never freed but by expiry, and every outcome renews it. A claim
// that is certain is renewed only by what changes it, so that all complete
// ledgers expire it at the same position.
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
	r = l.row(key)
	switch holder := r.writer == entry.Writer && r.attempt == out.Attempt; {
	case r.state == Done, r.tentative && out.Abandoned:
		l.touch(key, r, number)
	case r.state == Claimed && !r.tentative && !holder:
	case r.state == Free && out.Abandoned:
	case out.Abandoned:
		l.touch(key, r, number)
		r.state = Free
	default:
		l.touch(key, r, number)
		l.finish(key, number, r, entry.Writer, out)
	}
}

// finish marks a key as done. The outcome's writer is the accepted one, even
// if the row says otherwise or nothing: nobody else appends such an outcome.
func (l *Ledger) finish(key digest, number uint64, r *row, writer platform.InstanceID, out Outcome) {
	if r.attempt != out.Attempt {
		r.writer = intern(writer)
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

// row returns the row of a key, new if need be.
func (l *Ledger) row(key digest) *row {
	r := l.rows[key]
	if r == nil {
		r = &row{state: Free}
		l.rows[key] = r
	}
	return r
}

// touch renews the lifetime of a key. Every intent does so, whatever becomes
// of it: whether a key is held then depends on the last Window records alone,
// and a ledger that has folded no others agrees on it.
func (l *Ledger) touch(key digest, r *row, number uint64) {
	r.touched = number
	l.expiry.push(touch{key: key, number: number})
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
		l.attempts -= len(r.others)
		delete(l.rows, oldest.key)
	}
}

// knows tells whether an intent of the attempt has been folded before.
func (r *row) knows(writer platform.InstanceID, attempt string, d digest) bool {
	return r.attempt == attempt && r.writer == writer || slices.Contains(r.others, d)
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
