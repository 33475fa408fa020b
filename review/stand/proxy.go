package main

import (
	"io"
	"net"
	"time"
)

// newResetProxy returns the address of a proxy that passes the first connection on to
// the target and resets both of its sides after a time.
func newResetProxy(target string, after time.Duration) (string, error) {
	host, _, err := net.SplitHostPort(target)
	if err != nil {
		return "", err
	}
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	go func() {
		defer l.Close()
		c, err := l.Accept()
		if err != nil {
			return
		}
		t, err := net.Dial("tcp", target)
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(t, c) }()
		go func() { _, _ = io.Copy(c, t) }()
		time.Sleep(after)
		for _, x := range []net.Conn{c, t} {
			_ = x.(*net.TCPConn).SetLinger(0)
			_ = x.Close()
		}
	}()
	return l.Addr().String(), nil
}
