// Package engine implements a stand-in for a model engine.
//
// The engine simulates continuous batching: [Config.Slots] requests run
// concurrently, the others wait in order of priority, then arrival. The first
// event of a streamed answer follows after the wait, the prefill of the prompt words
// that the prefix cache lacks, and [Profile.FirstToken]. Each token then takes
// [Profile.PerToken], which increases with the number of running requests.
//
// Answers have the format of package answer. Whether an answer is good is a
// function of the engine's seed, the request ID and the model version; the
// probability of a good answer is the one that the [Profile] gives for the task
// class of the request. The task class is the last "[class=NAME]" in the prompt.
// Token probabilities are higher in good answers than in bad ones, but the two
// distributions overlap. Answers made bad by the fault bad_versions have the token
// probabilities of good answers.
package engine
