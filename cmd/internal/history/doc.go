// Package history collects the history of a run from stand-ins that run as
// separate processes: the records of the bills and control streams, and the
// requests that each listed endpoint ran.
package history
