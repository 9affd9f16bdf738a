// Package ratings implements a stand-in for the platform's rating service. It reads
// the hidden quality from the text of an answer and returns it as the score, after
// a delay and only for a share of the answers.
package ratings
