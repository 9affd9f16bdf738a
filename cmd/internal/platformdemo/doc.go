// Package platformdemo runs nine entry instances on the stand-in of the users'
// platform, with traffic and faults, and checks the rules that clients and
// endpoints can observe.
//
// [Run] injects these faults and planned operations: engines that refuse, lose
// answers, cut streams off, answer for another request or fail; an engine that
// drains and one that crashes; an instance that is stopped and replaced; an
// outage of the store; a revoked key; a roll-out. [Check], a pure function, then
// checks the answers that clients received and the requests that reached the
// engines.
package platformdemo
