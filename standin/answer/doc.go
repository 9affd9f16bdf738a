// Package answer defines the text that the engine stand-in answers with, so
// that whoever receives it can prove that it is whole and its own, and so that
// the rating stand-in can tell its quality.
//
// A text is a header followed by words:
//
//	[req=R att=A model=M@V tokens=N q=0.97] word1 ... wordN
//
// R, A and M@V are query-escaped. The words are a function of the request, the
// model version and their index; a text stitched together from two requests or
// two versions does not pass [Parse].
package answer
