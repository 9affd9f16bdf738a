// Package instancelist is a stand-in of the platform's list of live and
// leaving instances. Rows that are not renewed disappear, and readers see the
// list as it was a set lag ago.
package instancelist
