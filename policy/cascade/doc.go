// Package cascade plans which model versions a request tries, and learns from
// ratings which of them are good enough.
//
// # Idea
//
// A cheap version answers most requests of a class well, and its confidence
// tells in part which. So there are three kinds of plans: one cheap step, a
// cheap step whose answer is accepted from some confidence on with a strong
// step behind it, and one strong step. [Learned] estimates the quality and the
// cost of every plan and takes the cheapest that meets the class's target in
// the time left.
//
// # Estimates
//
// For each class and version, answers are sorted into [Bins] by confidence. A
// bin holds how many answers fell into it and how many of them were rated good
// and bad; both are forgotten gradually. From that follow the share of answers
// that a threshold accepts and the quality of what it accepts. Answers given
// after an escalation are counted apart, because they are the hard ones.
//
// A rating may come late, be missing, or be wrong. Lateness only delays the
// estimate. Missing ratings leave it less certain. The share of wrong ones is
// assumed equal for all versions; it bounds how close to 1 a measured quality
// can come.
//
// # Changes
//
// Gradual forgetting is slow. A cumulative sum of log likelihood ratios
// compares each rating with what its bin predicts; when it crosses a level,
// the version's ratings from before the change are dropped.
//
// # Exploration
//
// A bounded share of requests is planned by a draw from the posterior instead
// of its mean, so that a plan is tried in proportion to its chance of being
// the best. What that costs in quality is counted like everything else: each
// class keeps a running balance of its rated answers against its target, and a
// deficit raises what plans must reach.
//
// # Many instances
//
// Instances exchange cumulative counts ([Learned.Export], [Learned.Merge]) and
// apply what is new in them as if it were their own.
package cascade
