// Package instancelist implements a stand-in for the platform's list of live
// instances and of live and leaving endpoints. Rows that are not renewed expire,
// and readers receive a listing that may be up to [Config.Lag] old.
package instancelist
