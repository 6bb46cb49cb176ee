package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
)

// storeFront accepts the connections of all VMs to the store and hands each one to its
// VM's proxy. VMs authenticate each other by the address of the store, so that it has to
// be the same for all. As all VMs connect from the same loopback address, the front
// looks up which process holds the other end.
type storeFront struct {
	ln  net.Listener
	vms []*vm
}

func (f *storeFront) run() {
	for {
		c, err := f.ln.Accept()
		if err != nil {
			return
		}
		h := &handover{front: f, conn: c}
		go h.run()
	}
}

// handover is one connection to the store.
type handover struct {
	front *storeFront
	conn  net.Conn
}

func (h *handover) run() {
	if inode := socketInode(h.conn.RemoteAddr(), h.conn.LocalAddr()); inode != "" {
		for _, v := range h.front.vms {
			if v.holdsSocket(inode) {
				s := &stream{proxy: v.store, src: h.conn}
				s.run()
				return
			}
		}
	}
	// The process has closed the connection or ended.
	_ = h.conn.Close()
}

// socketInode returns the inode of the socket of a TCP connection on this machine with
// these addresses, or "".
func socketInode(local, remote net.Addr) string {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer file.Close()
	want := procAddress(local) + " " + procAddress(remote)
	for s := bufio.NewScanner(file); s.Scan(); {
		const inodeField = 9
		if f := strings.Fields(s.Text()); len(f) > inodeField && f[1]+" "+f[2] == want {
			return f[inodeField]
		}
	}
	return ""
}

// procAddress returns an IPv4 address as the kernel lists it on little-endian machines.
func procAddress(a net.Addr) string {
	t, ok := a.(*net.TCPAddr)
	if !ok || t.IP.To4() == nil {
		return ""
	}
	ip := t.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], t.Port)
}

// holdsSocket reports whether the VM's process holds a socket.
func (v *vm) holdsSocket(inode string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil {
		return false
	}
	dir := fmt.Sprintf("/proc/%d/fd", v.cmd.Process.Pid)
	files, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, f := range files {
		if target, err := os.Readlink(dir + "/" + f.Name()); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
