package memorytest

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	memoryPoll  = 5 * time.Millisecond // as often as the platform compares memory with its limit
	socketPolls = 20                   // memory polls between two polls of sockets and descriptors
)

// watch kills the process of a daemon that exceeds its memory, as the platform does.
type watch struct {
	n       *node
	memory  int // MB
	stopped chan struct{}
	done    sync.WaitGroup

	peakKB, peakUnreadKB, peakFiles int
	failure                         string
}

func startWatch(n *node, memory int) *watch {
	w := &watch{n: n, memory: memory, stopped: make(chan struct{})}
	w.done.Go(w.run)
	return w
}

func (w *watch) run() {
	unread := 0
	for i := 0; ; i++ {
		select {
		case <-w.stopped:
			return
		case <-w.n.ended:
			w.failure = "the process has ended"
			return
		case <-time.After(memoryPoll):
		}
		if i%socketPolls == 0 {
			files, sockets := w.files()
			unread = unreadKB(w.n.ip, sockets)
			w.peakFiles = max(w.peakFiles, files)
		}
		w.peakUnreadKB = max(w.peakUnreadKB, unread)
		used := w.anonymousKB() + unread
		w.peakKB = max(w.peakKB, used)
		if used > w.memory<<10 {
			w.failure = fmt.Sprintf("it takes %d MB of %d, %d MB of them received and not read", used>>10, w.memory, unread>>10)
		}
		if w.peakFiles > maxFiles {
			w.failure = fmt.Sprintf("it has %d descriptors of %d", w.peakFiles, maxFiles)
		}
		if w.failure != "" {
			_ = w.n.process.Process.Kill() // it may have ended
			return
		}
	}
}

// stop ends the watch and reports a failure.
func (w *watch) stop(t *testing.T) {
	close(w.stopped)
	w.done.Wait()
	if w.failure != "" {
		t.Errorf("daemon %s: %s", w.n.ip, w.failure)
	}
	t.Logf("daemon %s: peak %d MB, of them not read %d MB at most; %d descriptors", w.n.ip, w.peakKB>>10, w.peakUnreadKB>>10, w.peakFiles)
}

// anonymousKB returns the anonymous resident memory of the process.
func (w *watch) anonymousKB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.n.process.Process.Pid))
	if err != nil {
		return 0 // the process has ended
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB")) // it is a number
			return kb
		}
	}
	return 0
}

// files returns the number of descriptors of the process, and the inodes of its sockets.
func (w *watch) files() (open int, sockets map[string]bool) {
	dir := fmt.Sprintf("/proc/%d/fd", w.n.process.Process.Pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0, nil // the process has ended
	}
	sockets = make(map[string]bool)
	for _, e := range entries {
		name, _ := os.Readlink(filepath.Join(dir, e.Name())) // it may have been closed
		if inode, ok := strings.CutPrefix(name, "socket:["); ok {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return len(entries), sockets
}

// unreadKB returns what the sockets of a process have received and it has not read, those
// included that wait to be accepted at one of its addresses.
func unreadKB(ip string, sockets map[string]bool) int {
	addr := netip.MustParseAddr(ip).As4()
	prefix := fmt.Sprintf("%08X:", binary.NativeEndian.Uint32(addr[:]))
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }() // it was only read
	bytes := uint64(0)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 10 || fields[3] == listening {
			continue
		}
		if inode := fields[9]; !sockets[inode] && (inode != noInode || !strings.HasPrefix(fields[1], prefix)) {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseUint(queue, 16, 64) // it is a number
		bytes += n
	}
	return int(bytes >> 10)
}

const (
	listening = "0A" // state of a listening socket, whose queue counts connections
	noInode   = "0"  // of a socket that has not been accepted
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
