// Package logservice is a stand-in of the platform's log service, kept in
// memory: streams with offsets, long-poll reads, retention by count and by
// age, and a bounded rate of appends.
package logservice
