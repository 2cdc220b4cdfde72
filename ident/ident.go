// Package ident defines the identifiers used in routing: services, instances and
// their incarnations, availability zones and regions.
package ident

//msgp:tuple Node

import "fmt"

// Service is the name of a service, unique in a deployment.
type Service string

// Instance is the name of the instance that a daemon and its target run on.
type Instance string

// Zone is the name of an availability zone.
type Zone string

// Region is the name of a region, a group of availability zones.
type Region string

// Incarnation distinguishes the successive processes of one instance. It is
// the wall-clock time of the process start in nanoseconds, so that a later
// process of the same instance has a larger value.
type Incarnation uint64

// Node identifies one process by its instance and incarnation.
type Node struct {
	Instance    Instance    `msg:"i"`
	Incarnation Incarnation `msg:"n"`
}

// IsZero reports whether n identifies no process.
func (n Node) IsZero() bool { return n.Instance == "" }

// String formats n as instance#incarnation, or as "-" if n is zero.
func (n Node) String() string {
	if n.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%s#%d", n.Instance, uint64(n.Incarnation))
}
