// This file defines tunnels: connections to backend servers that pass through another node.

package node

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

const (
	pathTunnel     = "/node/tunnel"
	tunnelProtocol = "ferry-tunnel"
	headerServer   = "Ferry-Server"
)

// Errors of Tunnel, tested with errors.Is. Nothing was sent to the server after any of them.
var (
	// ErrServerRefused means that the node reached the server's machine, which refused the connection.
	ErrServerRefused = errors.New("server refused the connection of the other node")
	// ErrNoPath means that the node could not connect to the server in time, does not know it, or carries no more tunnels.
	ErrNoPath = errors.New("node has no path to the server")
)

// statusRefused is the status of a tunnel to a server that refused the connection. Every other one but 101 means ErrNoPath, also that
// of a node that does not know the message.
const statusRefused = http.StatusBadGateway

// A tunnel carries bytes to the server as they are. Those from the server come in frames of a length in two bytes and the data. A frame of
// length 0 means that the server has closed its connection in order, so that the end of the tunnel itself never looks like the end of
// an answer.
const (
	frameHeadBytes = 2
	maxFrameBytes  = 4 << 10
)

// Tunnel connects to a server through the node at addr. ctx limits the time until the connection is made.
func (c *Client) Tunnel(ctx context.Context, addr netip.AddrPort, server string) (net.Conn, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.scheme+"://"+addr.String()+pathTunnel, nil)
	if err != nil {
		return nil, fmt.Errorf("tunnel to %s: %w", server, err)
	}
	r.Header = http.Header{
		"User-Agent": {""}, "Connection": {"Upgrade"}, "Upgrade": {tunnelProtocol}, headerNode: {c.name}, headerServer: {server},
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w: tunnel through %s: %w", ErrNoPath, ErrUnreachable, addr, err)
	}
	conn, ok := resp.Body.(io.ReadWriteCloser)
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols && ok:
		return &tunnel{ReadWriteCloser: conn, addr: net.TCPAddrFromAddrPort(addr)}, nil
	case resp.StatusCode == statusRefused:
		err = ErrServerRefused
	default:
		err = ErrNoPath
	}
	resp.Body.Close()
	return nil, fmt.Errorf("%w: tunnel to %s through %s: status %d", err, server, addr, resp.StatusCode)
}

// tunnel is the near end of a tunnel. It has no deadlines: net/http closes connections instead.
type tunnel struct {
	io.ReadWriteCloser
	addr  net.Addr
	left  int // bytes of the present frame
	ended bool
}

// Read implements net.Conn.
func (t *tunnel) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for t.left == 0 {
		if t.ended {
			return 0, io.EOF
		}
		var head [frameHeadBytes]byte
		if _, err := io.ReadFull(t.ReadWriteCloser, head[:]); err != nil {
			return 0, errTunnelBroken(err)
		}
		t.left = int(binary.BigEndian.Uint16(head[:]))
		t.ended = t.left == 0
	}
	n, err := t.ReadWriteCloser.Read(p[:min(len(p), t.left)])
	t.left -= n
	if err != nil {
		return n, errTunnelBroken(err)
	}
	return n, nil
}

// errTunnelBroken returns the error of a tunnel that ended before the server closed its connection. It is never io.EOF.
func errTunnelBroken(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return &net.OpError{Op: "read", Net: "tunnel", Err: err}
}

func (t *tunnel) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (t *tunnel) RemoteAddr() net.Addr             { return t.addr }
func (t *tunnel) SetDeadline(time.Time) error      { return nil }
func (t *tunnel) SetReadDeadline(time.Time) error  { return nil }
func (t *tunnel) SetWriteDeadline(time.Time) error { return nil }

// HandleTunnels registers the far end of tunnels on the router of the node-to-node listener. The function dial connects to a server by its
// ID; its errors are those of Tunnel.
func HandleTunnels(router chi.Router, dial func(ctx context.Context, from, server string) (net.Conn, error)) {
	router.Post(pathTunnel, func(w http.ResponseWriter, r *http.Request) {
		upstream, err := dial(r.Context(), r.Header.Get(headerNode), r.Header.Get(headerServer))
		if err != nil {
			status := http.StatusServiceUnavailable
			if errors.Is(err, ErrServerRefused) {
				status = statusRefused
			}
			http.Error(w, err.Error(), status)
			return
		}
		defer upstream.Close()
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		defer conn.Close()
		if _, err := io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+tunnelProtocol+"\r\n\r\n"); err != nil {
			return
		}
		carry(conn, buffered.Reader, upstream)
	})
}

// carry copies between both ends of a tunnel until either closes. fromNode reads from conn.
func carry(conn net.Conn, fromNode io.Reader, upstream net.Conn) {
	var group sync.WaitGroup
	group.Go(func() {
		_, _ = io.CopyBuffer(struct{ io.Writer }{upstream}, struct{ io.Reader }{fromNode}, make([]byte, maxFrameBytes))
		upstream.Close() // the node has closed its end, so nobody waits for an answer
	})
	copyFrames(conn, upstream)
	conn.Close()
	group.Wait()
}

// copyFrames copies what a server sends, in frames. The last frame is empty if the server closed its connection in order.
func copyFrames(dst io.Writer, src io.Reader) {
	buf := make([]byte, frameHeadBytes+maxFrameBytes)
	for {
		n, err := src.Read(buf[frameHeadBytes:])
		if n > 0 || errors.Is(err, io.EOF) {
			binary.BigEndian.PutUint16(buf, uint16(n))
			if _, werr := dst.Write(buf[:frameHeadBytes+n]); werr != nil {
				return
			}
		}
		if n > 0 && errors.Is(err, io.EOF) {
			continue // the next read returns io.EOF alone
		}
		if err != nil {
			return
		}
	}
}
