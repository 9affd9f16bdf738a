// Package node assembles an instance of the system from the parts of the
// other modules.
package node
