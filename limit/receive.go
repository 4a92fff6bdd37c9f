package limit

import (
	"net"
	"syscall"

	"k8s.io/klog/v2"
)

// SetReceiveBuffer bounds the bytes that may arrive unread on each connection that the
// listener accepts from now on.
func SetReceiveBuffer(listener net.Listener, bytes int) {
	tcp, isTCP := listener.(*net.TCPListener)
	if !isTCP {
		return
	}
	raw, err := tcp.SyscallConn()
	if err == nil {
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
		})
		if err == nil {
			err = controlErr
		}
	}
	if err != nil {
		klog.InfoS("Receive buffer not bounded", "address", listener.Addr().String(), "error", err)
	}
}
