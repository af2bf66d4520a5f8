package peerrpc

import (
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// Bytes that crossed the links between processes, as they stood on the wire.
var (
	bytesIn  = metrics.NewCounter(`sesamewell_link_bytes_total{direction="in"}`)
	bytesOut = metrics.NewCounter(`sesamewell_link_bytes_total{direction="out"}`)
)

// countedConn is responsible for counting the bytes of a link.
type countedConn struct {
	net.Conn
}

// Read reads and counts.
func (c countedConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	bytesIn.Add(n)
	return n, err
}

// Write writes and counts.
func (c countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	bytesOut.Add(n)
	return n, err
}
