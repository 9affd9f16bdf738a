// Package node assembles an instance from its components and runs it.
package node
