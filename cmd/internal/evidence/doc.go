// Package evidence collects what stand-ins that run as processes of their own
// know of a run: the log's streams, and what each listed endpoint ran.
package evidence
