// Package cascade plans which model versions a request tries, and learns from
// ratings which of them are good enough.
//
// # Plans
//
// A cheap version answers most requests of a class well, and its confidence
// partly predicts which ones. A plan is therefore one of three kinds: one cheap
// step; a cheap step followed by a strong step if the cheap answer's confidence
// is below a threshold; or one strong step. [LearningPlanner] estimates the
// quality and the cost of every plan and selects the cheapest one that meets the
// class's quality target before the deadline.
//
// # Estimates
//
// For each class and version, answers are grouped into [Bins] by confidence. A
// bin counts its answers and its good and bad ratings; all counts decay
// exponentially. They give the share of answers that a threshold accepts and the
// quality of the accepted answers. Answers after an escalation are counted
// separately, because their requests are harder.
//
// A rating may be late, missing or wrong. Late ratings only delay the estimate.
// Missing ratings increase its variance. The share of wrong ratings is assumed
// equal for all versions; it bounds how close to 1 a measured quality can get.
//
// # Changes
//
// Exponential decay adapts slowly. A cumulative sum of log likelihood ratios
// compares each rating with its bin's prediction. When the sum reaches a
// threshold, the version's ratings from before the change are dropped.
//
// # Exploration
//
// A bounded share of requests is planned to gather ratings. Their plans try a
// version that has few ratings or, if there is none, are chosen by Thompson
// sampling: with draws from the posteriors instead of their means, so that a plan
// is tried in proportion to its probability of being the best. Each class
// compares its recent rated answers, explored ones included, with its target; a
// deficit raises the quality that plans must reach, and a surplus lowers it.
//
// # Several instances
//
// Instances exchange cumulative counts ([LearningPlanner.Export],
// [LearningPlanner.Merge]) and apply the increments like local observations.
package cascade
