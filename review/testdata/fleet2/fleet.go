package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/platform/platformtest"
)

const (
	host = "review.example"

	targetPort, readyPort, callerPort, controlPort = 8301, 8302, 8304, 8306
	firstLinkPort, lastLinkPort                    = 7620, 7635

	drainTime    = 2 * time.Second
	stableWindow = 3 * time.Second
	heartbeat    = 870 * time.Millisecond
)

// node is one machine: a daemon as a process, and the backend beside it.
type node struct {
	name, ip, zone, service string
	settings                string // path of the file
	log                     *os.File
	daemon                  *exec.Cmd
	exited                  chan struct{} // closed when the daemon has ended
	target                  *target
}

func (n *node) addr(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// fleet is a small deployment.
type fleet struct {
	dir     string // temporary folder for settings and logs
	program string
	rec     *record
	store   *platformtest.Store
	nodes   []*node
}

// newFleet makes a machine for each service, with addresses of a network that nobody uses.
func newFleet(dir, program string, rec *record, services []string, keyed map[string]bool) (*fleet, error) {
	f := &fleet{dir: dir, program: program, rec: rec, store: platformtest.NewStore()}
	network, err := freeNetwork(len(services))
	if err != nil {
		return nil, err
	}
	storeAddr, err := f.store.Listen()
	if err != nil {
		return nil, err
	}
	for i, service := range services {
		zone := string(rune('a' + i%3))
		n := &node{name: fmt.Sprintf("sidecar-%s-%d", zone, i/3+1), ip: fmt.Sprintf("%s.%d", network, i+1), zone: zone, service: service}
		n.settings = filepath.Join(dir, n.name+".yaml")
		file := platformtest.SettingsFile{
			Instance: n.name, IP: n.ip, Zone: zone, Service: service, Target: n.addr(targetPort), Callers: n.addr(callerPort), Ready: n.addr(readyPort),
			Control: n.addr(controlPort), FirstPort: firstLinkPort, LastPort: lastLinkPort, Store: storeAddr, LinkMbps: 1000, MemoryMB: 284, MaxFiles: 4100,
		}
		if err := os.WriteFile(n.settings, []byte(file.Text()), 0o600); err != nil {
			return nil, err
		}
		n.target = &target{
			rec: rec, id: fmt.Sprintf("i-%s", n.name), service: service, zone: zone, addr: n.addr(targetPort), control: n.addr(controlPort),
			keyed: keyed[service], slots: 18, work: 20 * time.Millisecond,
		}
		f.nodes = append(f.nodes, n)
	}
	return f, nil
}

// freeNetwork returns the first three bytes of loopback addresses whose ports are free.
func freeNetwork(n int) (string, error) {
	for i := range 200 {
		network := fmt.Sprintf("127.%d.%d", 130+os.Getpid()%100, (os.Getpid()/100+i)%250)
		if free(network, n) {
			return network, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func free(network string, n int) bool {
	for i := range n {
		for _, port := range []int{targetPort, readyPort, callerPort, controlPort, firstLinkPort, lastLinkPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, i+1, port))
			if err != nil {
				return false
			}
			_ = l.Close() // it was only opened for the check
		}
	}
	return true
}

// startDaemon starts the daemon with the command of the deploy file.
func (f *fleet) startDaemon(n *node) error {
	if n.log == nil {
		log, err := os.Create(filepath.Join(f.dir, n.name+".log"))
		if err != nil {
			return err
		}
		n.log = log
	}
	cmd := exec.Command(f.program, "--log-level", "debug")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "PARSLEYSTACK_SETTINGS=" + n.settings}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.daemon, n.exited = cmd, exited
	go func() {
		err := cmd.Wait()
		f.rec.add("daemon %s (process %d) has ended: %v", n.name, cmd.Process.Pid, err)
		close(exited)
	}()
	f.rec.add("daemon %s started as process %d", n.name, cmd.Process.Pid)
	return nil
}

// running reports whether the daemon's process runs.
func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return n.daemon != nil
	}
}

// start starts all daemons and backends, and waits until all daemons are ready.
func (f *fleet) start() error {
	for _, n := range f.nodes {
		if err := f.startDaemon(n); err != nil {
			return err
		}
		if err := n.target.start(time.Now().UnixMilli()); err != nil {
			return err
		}
	}
	return f.await("all daemons are ready", 15*time.Second, func() bool {
		for _, n := range f.nodes {
			resp, err := http.Get("http://" + n.addr(readyPort) + platform.ReadyPath)
			if err != nil {
				return false
			}
			_ = resp.Body.Close() // it has no body
			if resp.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// await waits for a condition.
func (f *fleet) await(what string, limit time.Duration, done func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if done() {
			f.rec.say("%s", what)
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", limit, what)
}

// stop ends all processes and backends.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		if n.daemon != nil {
			_ = n.daemon.Process.Kill() // it may have ended
			<-n.exited
		}
		n.target.kill()
		if n.log != nil {
			_ = n.log.Close() // it is not used again
		}
	}
	f.store.Close()
}
