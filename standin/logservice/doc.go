// Package logservice implements an in-memory stand-in for the platform's log
// service: streams with offsets, long-poll reads, retention by count and by age,
// and a rate limit on appends.
package logservice
