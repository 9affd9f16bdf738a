// Package answer defines the text of the answers of the engine stand-in. A receiver
// can verify that the text is complete and belongs to its request, and the rating
// stand-in can read the quality from it.
//
// A text is a header followed by words:
//
//	[req=R att=A model=M@V tokens=N q=0.97] word1 ... wordN
//
// R, A and M@V are query-escaped. Each word is a function of the request ID, the
// model version and the word's index, so [Parse] rejects a text that was assembled
// from the answers to two requests or of two versions.
package answer
