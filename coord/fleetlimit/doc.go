// Package fleetlimit keeps the sum of the requests that all instances send to an
// endpoint under a limit that the endpoint names in its answers, without a store, a
// leader or a message before a request.
//
// The limit is divided into seats. Each seat allows one request in each interval, and
// the seats of all instances together stay below the limit. Which instance has a seat
// follows from rendezvous hashing, first over the availability zones and then over the
// instances of a zone, so that instances with the same view agree without a message.
// Views of a zone differ only while instances of it start, stop or cannot reach each
// other. Then a seat may have two holders: the seats are so few that the limit's
// tolerance covers two holders of each.
//
// Endpoints that are cold count what arrives in each second, so that neither a burst nor
// the different times on the way may add up: see [NewForArrivals].
//
// The package does no input or output; the caller passes the time.
package fleetlimit
