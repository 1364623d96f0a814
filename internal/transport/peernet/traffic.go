package peernet

import (
	"net"
	"sync/atomic"

	"golang.org/x/net/ipv4"
)

// Traffic counts what a Net has exchanged: requests sent, and UDP payload
// bytes in both directions, which include handshakes, acknowledgements and
// keep-alives. Writes counts system calls for
// sending; one such call may carry several datagrams.
type Traffic struct {
	Requests                  uint64
	BytesSent, BytesReceived  uint64
	DatagramsReceived, Writes uint64
}

// counters hold a Net's traffic.
type counters struct {
	requests, sent, received, datagrams, writes atomic.Uint64
}

// countedConn counts what passes through a UDP socket. quic-go reads from it
// through ReadBatch and writes through WriteMsgUDP, so that it still receives
// in batches and sends with segmentation offload.
type countedConn struct {
	*net.UDPConn
	batch    *ipv4.PacketConn
	counters *counters
}

func newCountedConn(socket *net.UDPConn, c *counters) *countedConn {
	return &countedConn{UDPConn: socket, batch: ipv4.NewPacketConn(socket), counters: c}
}

// ReadBatch receives datagrams into ms and returns their number.
func (c *countedConn) ReadBatch(ms []ipv4.Message, flags int) (int, error) {
	n, err := c.batch.ReadBatch(ms, flags)
	for i := range max(n, 0) {
		c.counters.received.Add(uint64(ms[i].N))
	}
	c.counters.datagrams.Add(uint64(max(n, 0)))
	return n, err
}

// WriteMsgUDP sends a datagram, or several of one size with offload.
func (c *countedConn) WriteMsgUDP(b, oob []byte, addr *net.UDPAddr) (n, oobn int, err error) {
	n, oobn, err = c.UDPConn.WriteMsgUDP(b, oob, addr)
	c.counters.sent.Add(uint64(max(n, 0)))
	c.counters.writes.Add(1)
	return n, oobn, err
}

// Traffic returns the totals since Listen.
func (n *Net) Traffic() Traffic {
	c := &n.counters
	return Traffic{
		Requests: c.requests.Load(), BytesSent: c.sent.Load(), BytesReceived: c.received.Load(),
		DatagramsReceived: c.datagrams.Load(), Writes: c.writes.Load(),
	}
}
