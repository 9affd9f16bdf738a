package crashcause

import (
	"cmp"
	"time"
)

// Permission says how a request may be sent.
type Permission int

// Permissions.
const (
	// Normal requests have no suspected feature.
	Normal Permission = iota
	// Alone: the request is the one trial of its suspected features, which the caller holds
	// until [Ledger.EndTrial]. It should run where it does the least damage.
	Alone
	// Undecided: the request is questioned, which is over within a moment. The caller asks again.
	Undecided
	// Pending: another request with a suspected feature is being tried.
	Pending
	// Refused requests have a guilty feature.
	Refused
)

// Decision is the permission of a request, and the features that are the reason.
type Decision struct {
	Permission Permission
	Features   []Feature
}

// Admit decides whether a request with the features may be sent now. If the answer is
// [Alone], a trial of the features begins.
func (l *Ledger) Admit(now time.Time, uses []Use) Decision {
	if len(l.crashes) == 0 && len(l.verdicts) == 0 {
		return Decision{}
	}
	l.decide(now)
	var suspected, questioned []Feature
	for _, use := range uses {
		switch l.standings[use.Feature] {
		case Guilty:
			if v := l.verdicts[use.Feature]; v != nil {
				v.refusedAt = now
			}
			return Decision{Permission: Refused, Features: []Feature{use.Feature}}
		case Suspected:
			suspected = append(suspected, use.Feature)
		case Questioned:
			questioned = append(questioned, use.Feature)
		default:
		}
	}
	if len(questioned) > 0 {
		return Decision{Permission: Undecided, Features: questioned}
	}
	if len(suspected) == 0 {
		return Decision{}
	}
	for _, feature := range suspected {
		if until, ok := l.trials[feature]; ok && now.Before(until) {
			return Decision{Permission: Pending, Features: suspected}
		}
	}
	l.StartTrial(now, suspected...)
	return Decision{Permission: Alone, Features: suspected}
}

// Standing returns what is known of a feature.
func (l *Ledger) Standing(now time.Time, feature Feature) Standing {
	l.decide(now)
	return l.standings[feature]
}

// Explanation tells why a feature has its standing.
type Explanation struct {
	Standing Standing
	Depth    uint8
	// Score adds up the accusations, and Unexplained those after crashes that no guilty
	// feature explains. Survived reports that the feature had survived lately.
	Score, Unexplained int
	Survived           bool
	// Independent counts the independent ones among the unexplained crashes of a whole request.
	Independent int
	// IsVerdict reports that the feature is guilty by a verdict.
	IsVerdict bool
}

// Standings explains all features that are not unsuspected.
func (l *Ledger) Standings(now time.Time) map[Feature]Explanation {
	l.decide(now)
	all := make(map[Feature]Explanation, len(l.standings))
	for feature, standing := range l.standings {
		e := Explanation{Standing: standing}
		if s := l.suspected[feature]; s != nil {
			e.Depth, e.Score, e.Unexplained, e.Survived, e.Independent = s.use.Depth, s.score, s.unexplained, s.survived, s.independent
		}
		if v := l.verdicts[feature]; v != nil {
			e.Depth, e.IsVerdict = v.Depth, true
		}
		all[feature] = e
	}
	return all
}

// StartTrial records that a request with suspected features is being tried, here or at
// another instance.
func (l *Ledger) StartTrial(now time.Time, features ...Feature) {
	for _, feature := range features {
		if len(l.trials) < maxTrials {
			l.trials[feature] = now.Add(trialTimeout)
		}
	}
}

// DelayTrial keeps a feature from being tried until the given time, after which another
// trial may begin.
func (l *Ledger) DelayTrial(feature Feature, until time.Time) {
	if _, known := l.trials[feature]; known || len(l.trials) < maxTrials {
		l.trials[feature] = until
	}
}

// EndTrial records that a trial has ended without a result.
func (l *Ledger) EndTrial(features ...Feature) {
	for _, feature := range features {
		delete(l.trials, feature)
	}
}

// decide computes the standings of all features from the crashes and the verdicts.
func (l *Ledger) decide(now time.Time) {
	if !l.isStale && (now.Before(l.decideAgainAt) || len(l.crashes) == 0) {
		return
	}
	l.isStale, l.decideAgainAt = false, now.Add(decisionTTL)
	suspicions := l.suspicions(now)
	guilty := make(map[Feature]bool)
	for feature := range l.verdicts {
		guilty[feature] = true
	}
	l.explain(now, suspicions, guilty)
	l.suspected, l.standings = suspicions, make(map[Feature]Standing)
	for feature, s := range suspicions {
		if s.isSuspected(now) {
			l.standings[feature] = Suspected
			if until := s.lastAt.Add(questionTime); s.isQuestionable() && now.Before(until) {
				l.standings[feature] = Questioned
				l.decideAgainAt = earlier(l.decideAgainAt, until)
			}
		}
		if patient := s.firstAt.Add(survivorPatience); s.survived && now.Before(patient) {
			l.decideAgainAt = earlier(l.decideAgainAt, patient)
		}
	}
	for feature := range guilty {
		l.standings[feature] = Guilty
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// explain makes the features guilty that explain the crashes, and counts for each feature
// the crashes that no guilty one explains.
func (l *Ledger) explain(now time.Time, suspicions map[Feature]*suspicion, guilty map[Feature]bool) {
	bySelf := make(map[Feature]time.Time)
	undecided := make(map[*crash]bool)
	// Early accusations decide first: an answer that has gone on for a while is rarely the cause.
	for _, withLate := range []bool{false, true} {
		for {
			l.countUnexplained(suspicions, guilty, undecided, withLate)
			worst := worstGuilty(now, suspicions, guilty)
			if worst == nil {
				break
			}
			if l.hasDouble(worst, suspicions, guilty, undecided) {
				l.setAside(worst, undecided)
				continue
			}
			feature := worst.use.Feature
			guilty[feature] = true
			bySelf[feature] = now
			if since, ok := l.guiltySince[feature]; ok {
				bySelf[feature] = since
			}
			l.guiltyUse[feature] = worst.use
		}
	}
	l.countUnexplained(suspicions, guilty, undecided, false)
	l.guiltySince = bySelf
	for feature := range l.guiltyUse {
		if _, ok := bySelf[feature]; !ok {
			delete(l.guiltyUse, feature)
		}
	}
}

// worstGuilty returns the suspicion that explains most of the crashes that nothing explains yet, nil if
// none suffices.
func worstGuilty(now time.Time, suspicions map[Feature]*suspicion, guilty map[Feature]bool) *suspicion {
	var worst *suspicion
	for feature, s := range suspicions {
		if !guilty[feature] && s.isGuilty(now) && (worst == nil || s.compare(worst) > 0) {
			worst = s
		}
	}
	return worst
}

// hasDouble reports whether another request was at all endpoints whose crashes the given one would
// explain. Only trials can tell them apart.
func (l *Ledger) hasDouble(worst *suspicion, suspicions map[Feature]*suspicion, guilty map[Feature]bool, undecided map[*crash]bool) bool {
	if !worst.use.isRequest() {
		return false
	}
	together := make(map[Feature]int)
	crashes := 0
	for _, c := range l.crashes {
		if _, ok := c.accused[worst.use.Feature]; !ok || undecided[c] || isExplained(c, guilty) {
			continue
		}
		crashes++
		for feature, accusation := range c.accused {
			other := suspicions[feature]
			if accusation.isRequest() && other != worst && !other.survived && other.early >= worst.early {
				together[feature]++
			}
		}
	}
	for _, number := range together {
		if number == crashes {
			return true
		}
	}
	return false
}

// setAside leaves the crashes that accuse the feature undecided.
func (l *Ledger) setAside(s *suspicion, undecided map[*crash]bool) {
	for _, c := range l.crashes {
		if _, ok := c.accused[s.use.Feature]; ok {
			undecided[c] = true
		}
	}
}

// suspicions adds up the accusations against each feature.
func (l *Ledger) suspicions(now time.Time) map[Feature]*suspicion {
	all := make(map[Feature]*suspicion)
	for _, c := range l.crashes {
		for feature, accusation := range c.accused {
			s := all[feature]
			if s == nil {
				s = &suspicion{use: accusation.Use, firstAt: c.at, survived: l.HasSurvived(now, feature)}
				all[feature] = s
			}
			s.score += accusation.weight()
			s.survived = s.survived || accusation.Survived
			s.lastAt = c.at
		}
	}
	return all
}

func (l *Ledger) countUnexplained(suspicions map[Feature]*suspicion, guilty map[Feature]bool, undecided map[*crash]bool, withLate bool) {
	for _, s := range suspicions {
		s.unexplained, s.early, s.independent, s.lastEventAt = 0, 0, 0, time.Time{}
	}
	for _, c := range l.crashes {
		if undecided[c] || isExplained(c, guilty) {
			continue
		}
		for feature, accusation := range c.accused {
			if withLate || !accusation.Late {
				suspicions[feature].count(c.at, accusation)
			}
		}
	}
}

// count adds an accusation after a crash that nothing explains. Crashes are counted in order of
// time.
func (s *suspicion) count(at time.Time, accusation Accusation) {
	if !accusation.Late {
		s.early++
	}
	if s.use.isRequest() {
		s.unexplained += accusation.weight()
		if sentAt := at.Add(-accusation.Held); !sentAt.Before(s.lastEventAt) || at.Sub(s.lastEventAt) >= eventTime {
			s.independent++
			s.lastEventAt = at
		}
		return
	}
	if s.survived && !s.lastEventAt.IsZero() && at.Sub(s.lastEventAt) < eventTime {
		return
	}
	s.unexplained += accusation.weight()
	s.lastEventAt = at
}

func isExplained(c *crash, guilty map[Feature]bool) bool {
	for feature := range c.accused {
		if guilty[feature] {
			return true
		}
	}
	return false
}

// isGuilty reports whether the crashes that nothing else explains suffice.
func (s *suspicion) isGuilty(now time.Time) bool {
	if s.survived {
		return s.isPatient(now, survivorGuiltyScore)
	}
	return s.unexplained >= GuiltyScore && (s.independent >= independentCrashes || !s.use.isRequest())
}

// isSuspected reports whether the feature may be the cause. One whose crashes a guilty
// feature explains remains suspected if they would make it guilty too. Late accusations alone make
// nothing suspected before it is guilty: an answer that goes on would be broken off for them.
func (s *suspicion) isSuspected(now time.Time) bool {
	if s.survived {
		return s.isPatient(now, survivorSuspectScore)
	}
	return s.unexplained >= SuspectScore || s.score >= GuiltyScore
}

// isPatient reports whether a feature that has survived lately has the given score, and was
// accused for a while without a survival. Of the crashes of a request only independent ones count.
func (s *suspicion) isPatient(now time.Time, score int) bool {
	evidence := s.unexplained
	if s.use.isRequest() {
		evidence = s.independent * begunWeight
	}
	return evidence >= score && now.Sub(s.firstAt) >= survivorPatience
}

// isQuestionable reports whether the feature is a request that was at endpoints which crashed at
// the same time, as in a rack that fails.
func (s *suspicion) isQuestionable() bool {
	return s.use.isRequest() && s.independent < independentCrashes
}

// compare orders features by how well they explain crashes; of equal ones the more specific
// is the greater.
func (s *suspicion) compare(other *suspicion) int {
	return cmp.Or(
		cmp.Compare(s.unexplained, other.unexplained),
		cmp.Compare(s.early, other.early),
		cmp.Compare(s.use.Depth, other.use.Depth),
		cmp.Compare(s.use.Feature, other.use.Feature),
	)
}
