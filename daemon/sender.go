package daemon

import (
	"encoding/binary"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// Each message of package cell is prefixed with the offset of the sender's
// configuration as an unsigned varint, so that the receiver of any heartbeat
// can detect that another daemon has a newer configuration.

// Send implements driver.Sender.
func (d *Daemon) Send(to ident.Node, addr string, body []byte) {
	frame := make([]byte, 0, binary.MaxVarintLen64+len(body))
	frame = binary.AppendUvarint(frame, uint64(d.follower.InForce().Offset))
	frame = append(frame, body...)
	d.messenger.Send(to, addr, frame)
}

// ServeCellMessage implements transport.Handler.
func (d *Daemon) ServeCellMessage(from ident.Node, frame []byte) {
	offset, n := binary.Uvarint(frame)
	if n <= 0 {
		return
	}
	d.peerOffsets.set(from, platformlog.Offset(offset))
	d.follower.PeerOffset(from, platformlog.Offset(offset))
	if member := d.member.Load(); member != nil {
		member.Deliver(from, frame[n:])
	}
}
