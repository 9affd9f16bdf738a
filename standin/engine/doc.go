// Package engine is a stand-in of a model engine.
//
// It batches continuously: [Config.Slots] requests run side by side, the others
// wait in order of priority and arrival. The first token comes after the wait,
// the prefill of the prompt's words that the prefix cache lacks, and
// [Profile.FirstToken]; each later one after [Profile.PerToken], which grows
// with the number of running requests.
//
// Answers follow package answer. Whether one is good is a function of the
// engine's seed, the request's ID and the model version, with the probability
// that the [Profile] gives for the request's task class; the class is the last
// "[class=NAME]" in the prompt. Token probabilities are higher in good answers
// than in bad ones, but the two overlap. Answers that the fault bad_versions
// makes bad have the token probabilities of good ones.
package engine
