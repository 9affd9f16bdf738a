package crashcause

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rotisserie/eris"
)

const (
	// A crash adds begunWeight to the score of a feature of a request whose answer had just
	// begun, and waitingWeight to that of a part if no part of the answer had arrived: whether
	// the endpoint had begun it is then not known.
	begunWeight   = 2
	waitingWeight = 1
	// SuspectScore and GuiltyScore are the scores from which on a feature is suspected and
	// guilty: two and three crashes just after an answer began.
	SuspectScore = 2 * begunWeight
	GuiltyScore  = 3 * begunWeight
	// A feature that has survived within SurvivalMemory before the first crash needs
	// survivorSuspectScore and survivorGuiltyScore, and survivorPatience since the first
	// crash without a survival.
	survivorSuspectScore = 4 * begunWeight
	survivorGuiltyScore  = 5 * begunWeight
	survivorPatience     = time.Second
	// Crashes within eventTime count once against a feature that has survived: a rack that fails
	// ends many endpoints at the same moment, and common features were at all of them. Requests
	// end endpoints one after the other.
	eventTime = 150 * time.Millisecond
	// A request is guilty only after independentCrashes: one is independent of the one before if the
	// request was sent after that, or if eventTime lies between them.
	independentCrashes = 2
	// questionTime is how long a request whose crashes are not independent is questioned, in which
	// other instances tell whether it has survived.
	questionTime = 60 * time.Millisecond

	// CrashMemory is how long a crash counts, and SurvivalMemory how long a survival is
	// remembered.
	CrashMemory    = 5 * time.Minute
	SurvivalMemory = time.Minute
	// VerdictMemory is how long a verdict lasts after the last request that it has refused.
	VerdictMemory = 5 * time.Minute
	// verdictRenewal is the age from which on a verdict that still refuses requests is told
	// to the others again.
	verdictRenewal = 2 * time.Minute
	// settleTime is how long a feature is guilty before it becomes a verdict: accusations of
	// other instances may explain its crashes by another feature.
	settleTime = 300 * time.Millisecond
	// trialTimeout bounds a trial whose end is not known.
	trialTimeout = 10 * time.Second
	// decisionTTL bounds the age of the decisions, because survivals get too old.
	decisionTTL = 2 * time.Second

	maxCrashes   = 128
	maxAccused   = 512
	maxSurvivors = 4096
	maxVerdicts  = 512
	maxTrials    = 512
)

// crash is a crash of an endpoint.
type crash struct {
	lifetime Lifetime
	at       time.Time
	accused  map[Feature]Accusation
	// returnedAt is when the endpoint was reached again, though its lifetime is not known to have
	// changed; zero if it was not.
	returnedAt time.Time
}

// suspicion is the evidence against a feature.
type suspicion struct {
	use Use
	// score counts all crashes, and unexplained those that no guilty feature explains.
	score, unexplained int
	// early counts the unexplained crashes before whose end no answer had gone on for a while.
	early int
	// independent counts the unexplained crashes that are independent of the one before; 0 for
	// parts.
	independent int
	// firstAt and lastAt are the times of the first and the last crash.
	firstAt, lastAt time.Time
	survived        bool
	// lastEventAt is the time of the last crash that was independent or, for parts, that began an
	// event.
	lastEventAt time.Time
}

// Ledger is an instance's evidence and its decisions. The zero value is not usable, see
// [New].
type Ledger struct {
	// crashes are in order of time.
	crashes []*crash
	// survivals holds when a feature last survived.
	survivals *simplelru.LRU[Feature, time.Time]
	verdicts  map[Feature]*verdict
	trials    map[Feature]time.Time
	// standings and suspected hold the last decisions, which hold until decideAgainAt unless
	// there is new evidence. guiltySince and guiltyUse hold the features that the
	// crashes alone make guilty.
	standings   map[Feature]Standing
	suspected   map[Feature]*suspicion
	guiltySince map[Feature]time.Time
	guiltyUse   map[Feature]Use
	isStale     bool

	decideAgainAt time.Time
}

// verdict is a [Verdict] that this instance holds.
type verdict struct {
	Verdict
	// refusedAt is when it last refused a request here.
	refusedAt time.Time
}

// New returns a ledger without evidence.
func New() *Ledger {
	survivals, err := simplelru.NewLRU[Feature, time.Time](maxSurvivors, nil)
	if err != nil {
		panic(eris.Wrap(err, "crashcause: create LRU cache"))
	}
	return &Ledger{
		survivals: survivals, verdicts: make(map[Feature]*verdict),
		trials: make(map[Feature]time.Time), standings: make(map[Feature]Standing),
		guiltySince: make(map[Feature]time.Time), guiltyUse: make(map[Feature]Use),
	}
}

// RecordCrash adds the accusations of one instance after a crash. Accusations of several
// instances after one crash add up to one: each feature counts once, with its highest weight. A
// lifetime crashes once, unless [Ledger.RecordReturn] was called in between.
func (l *Ledger) RecordCrash(lifetime Lifetime, at time.Time, accused []Accusation) {
	known := l.findCrash(lifetime, at)
	if known == nil {
		known = &crash{lifetime: lifetime, at: at, accused: make(map[Feature]Accusation)}
		l.addCrash(known)
	}
	for _, accusation := range accused {
		previous, isKnown := known.accused[accusation.Feature]
		if !isKnown && len(known.accused) >= maxAccused {
			continue
		}
		accusation.Begun = accusation.Begun || previous.Begun
		accusation.Survived = accusation.Survived || previous.Survived
		accusation.Late = accusation.Late && (previous.Late || !isKnown)
		accusation.Held = max(accusation.Held, previous.Held)
		known.accused[accusation.Feature] = accusation
	}
	l.isStale = true
}

// RecordReturn records that an endpoint that has crashed was reached at the given time, though no
// new lifetime of it is known.
func (l *Ledger) RecordReturn(lifetime Lifetime, at time.Time) {
	if known := l.findCrash(lifetime, at); known != nil && at.After(known.at) && known.returnedAt.IsZero() {
		known.returnedAt = at
	}
}

// findCrash returns the crash of a lifetime to which a report of the given time belongs, nil if it
// is a new one.
func (l *Ledger) findCrash(lifetime Lifetime, at time.Time) *crash {
	for _, c := range l.crashes {
		if c.lifetime == lifetime && (c.returnedAt.IsZero() || !at.After(c.returnedAt)) {
			return c
		}
	}
	return nil
}

func (l *Ledger) addCrash(added *crash) {
	if len(l.crashes) >= maxCrashes {
		l.crashes = slices.Delete(l.crashes, 0, 1)
	}
	place, _ := slices.BinarySearchFunc(l.crashes, added.at, func(c *crash, at time.Time) int { return c.at.Compare(at) })
	l.crashes = slices.Insert(l.crashes, place, added)
}

// HasSurvived reports whether the feature has survived lately.
func (l *Ledger) HasSurvived(now time.Time, feature Feature) bool {
	_, ok := l.LastSurvival(now, feature)
	return ok
}

// LastSurvival returns when the feature last survived, and whether that was lately.
func (l *Ledger) LastSurvival(now time.Time, feature Feature) (time.Time, bool) {
	at, ok := l.survivals.Peek(feature)
	return at, ok && now.Sub(at) <= SurvivalMemory
}

// RecordSurvival records that an endpoint has begun answers on the features, and has gone on
// until the given time. It returns the features that were suspected, guilty or being tried: the
// other instances need to know of them. acquitted are the whole requests that were accused.
func (l *Ledger) RecordSurvival(at time.Time, features ...Feature) (cleared, acquitted []Feature) {
	for _, feature := range features {
		if previous, ok := l.survivals.Get(feature); ok && previous.After(at) {
			continue
		}
		l.survivals.Add(feature, at)
		standing := l.standings[feature]
		_, tried := l.trials[feature]
		if l.isAccusedRequest(feature) {
			acquitted = append(acquitted, feature)
		}
		if l.clear(at, feature) || l.suspected[feature] != nil {
			l.isStale = true
		}
		if standing > Questioned || tried {
			cleared = append(cleared, feature)
		}
	}
	return cleared, acquitted
}

// isAccusedRequest reports whether the feature is a whole request that a crash accuses.
func (l *Ledger) isAccusedRequest(feature Feature) bool {
	for _, c := range l.crashes {
		if accusation, ok := c.accused[feature]; ok && accusation.isRequest() {
			return true
		}
	}
	return false
}

// clear drops the evidence against a feature that is older than its survival, and reports
// whether there was any.
func (l *Ledger) clear(at time.Time, feature Feature) bool {
	cleared := false
	for _, c := range l.crashes {
		if _, ok := c.accused[feature]; ok && !c.at.After(at) {
			delete(c.accused, feature)
			cleared = true
		}
	}
	if v := l.verdicts[feature]; v != nil && !v.At.After(at) {
		delete(l.verdicts, feature)
		cleared = true
	}
	delete(l.trials, feature)
	return cleared
}

// AddVerdict adds a verdict of another instance, unless the feature has survived since. It
// reports whether the verdict is new.
func (l *Ledger) AddVerdict(now time.Time, added Verdict) bool {
	if at, ok := l.survivals.Peek(added.Feature); ok && !at.Before(added.At) || now.Sub(added.At) > VerdictMemory {
		return false
	}
	if known := l.verdicts[added.Feature]; known != nil {
		if added.At.After(known.At) {
			known.At = added.At
		}
		return false
	}
	l.addVerdict(added)
	return true
}

func (l *Ledger) addVerdict(added Verdict) {
	if len(l.verdicts) >= maxVerdicts {
		oldest := slices.MinFunc(slices.Collect(maps.Values(l.verdicts)), func(a, b *verdict) int { return a.At.Compare(b.At) })
		delete(l.verdicts, oldest.Feature)
	}
	l.verdicts[added.Feature] = &verdict{Verdict: added}
	l.isStale = true
}

// Verdicts returns the verdicts in force.
func (l *Ledger) Verdicts() []Verdict {
	all := make([]Verdict, 0, len(l.verdicts))
	for _, v := range l.verdicts {
		all = append(all, v.Verdict)
	}
	slices.SortFunc(all, func(a, b Verdict) int { return cmp.Compare(a.Feature, b.Feature) })
	return all
}

// Due returns the verdicts that this instance must tell the others: features that have
// been guilty for a while by the crashes, and verdicts that still refuse requests and get
// old.
func (l *Ledger) Due(now time.Time) []Verdict {
	l.expire(now)
	l.decide(now)
	var due []Verdict
	for feature, since := range l.guiltySince {
		if l.verdicts[feature] == nil && now.Sub(since) >= settleTime {
			v := Verdict{Use: l.guiltyUse[feature], At: now}
			l.addVerdict(v)
			due = append(due, v)
		}
	}
	for _, v := range l.verdicts {
		if v.refusedAt.Sub(v.At) > verdictRenewal {
			v.At = now
			due = append(due, v.Verdict)
		}
	}
	return due
}

// expire removes what is too old.
func (l *Ledger) expire(now time.Time) {
	known := len(l.crashes)
	l.crashes = slices.DeleteFunc(l.crashes, func(c *crash) bool { return now.Sub(c.at) > CrashMemory })
	l.isStale = l.isStale || len(l.crashes) < known
	for feature, v := range l.verdicts {
		if now.Sub(v.At) > VerdictMemory && now.Sub(v.refusedAt) > VerdictMemory {
			delete(l.verdicts, feature)
			l.isStale = true
		}
	}
	for feature, until := range l.trials {
		if now.After(until) {
			delete(l.trials, feature)
		}
	}
}
