package sidecar

import (
	"context"
	"time"
)

const (
	// callerFilesReserve is the share of the process's descriptors, as a divisor, that connections
	// of callers leave for the target, other daemons, the store, servers and files, and
	// minReservedFiles is the least number.
	callerFilesReserve = 6
	minReservedFiles   = 256
	// serverFilesPart is the part of the process's descriptors that the connections of each server
	// for heartbeats, readiness checks and metrics may take, within minServerConns and
	// maxServerConns. Few are in use.
	serverFilesPart = 64
	minServerConns  = 32
	maxServerConns  = 256
	// handshakeFilesPart is the part that connections of daemons may take whose handshake is
	// not complete.
	handshakeFilesPart = 16
	// spareFiles is left free when callers give descriptors back.
	spareFiles = 256
	// filesInterval is the time between two checks how many descriptors others need.
	filesInterval = 500 * time.Millisecond
)

// maxCallerConns returns the number of connections of callers that a process serves which may
// have a number of descriptors, while others use others of them. It returns 0, which means no
// limit, if that number is not known.
func maxCallerConns(files, others int) int {
	if files <= 0 {
		return 0
	}
	reserve := max(files/callerFilesReserve, minReservedFiles, others+spareFiles)
	return max(files-reserve, files/2)
}

// serverConns returns the number of connections that each server serves besides that for callers.
func serverConns(files int) int {
	if files <= 0 {
		return maxServerConns
	}
	return min(max(files/serverFilesPart, minServerConns), maxServerConns)
}

// otherFiles returns the number of descriptors that are in use, without connections of callers.
func (d *Daemon) otherFiles() int {
	n := d.server.Conns() + d.peerLinks.Conns()
	if current := d.backend.incarnation.Load(); current != nil {
		open, _ := current.client.Conns()
		n += open
	}
	d.serversMu.Lock()
	defer d.serversMu.Unlock()
	for _, l := range d.limiters {
		n += l.open()
	}
	return n
}

// shareDescriptors bounds the connections of callers by what others leave of the process's
// descriptors, until ctx ends.
func (d *Daemon) shareDescriptors(ctx context.Context) error {
	ticker := time.NewTicker(filesInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.ingress.server.SetMaxConns(d.callerConns(d.otherFiles()))
		}
	}
}

// callerConns returns the number of connections of callers for which there are memory and
// descriptors, while others use others of them.
func (d *Daemon) callerConns(others int) int {
	limit := callerConnsFor(d.memory.Limit())
	if byFiles := maxCallerConns(d.settings().MaxFiles, others); byFiles > 0 {
		limit = min(limit, byFiles)
	}
	return limit
}
