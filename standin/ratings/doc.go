// Package ratings is a stand-in of the platform's rating service. It reads the
// hidden quality out of an answer's text and returns it as a score, late and
// not for every answer.
package ratings
