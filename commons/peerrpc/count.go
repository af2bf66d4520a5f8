package peerrpc

import (
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// Bytes received and sent on the connections between processes, counted below TLS.
var (
	bytesIn  = metrics.NewCounter(`sesamewell_link_bytes_total{direction="in"}`)
	bytesOut = metrics.NewCounter(`sesamewell_link_bytes_total{direction="out"}`)
)

// countedConn counts the bytes of a connection between processes.
type countedConn struct {
	net.Conn
}

// Read reads from the connection and counts the bytes.
func (c countedConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	bytesIn.Add(n)
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	bytesOut.Add(n)
	return n, err
}
