package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// daemonProcess is the daemon of one machine, run as the deploy file says.
type daemonProcess struct {
	m *machine

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

// runLine is `run` of deploy/system.toml.
const runLine = "target/bin/parsley-sidecar --log-level debug"

func (p *daemonProcess) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(p.m.c.dir, p.m.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }() // the process has its own descriptor
	words := strings.Fields(runLine)
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PARSLEYSTACK_SETTINGS=" + p.m.settingsFile()}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", words[0], err)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait() // its end is expected
		close(done)
	}()
	p.m.c.record.add("%s: daemon started", p.m.name)
	return nil
}

// signal sends a signal to the process.
func (p *daemonProcess) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // it may have ended
	}
}

// kill kills the process and waits for its end.
func (p *daemonProcess) kill() { p.end(syscall.SIGKILL) }

// terminate asks the process to stop and waits for its end.
func (p *daemonProcess) terminate() { p.end(syscall.SIGTERM) }

func (p *daemonProcess) end(s os.Signal) {
	p.signal(s)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}

// running reports whether the process has not ended.
func (p *daemonProcess) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// anonymousKB returns the anonymous memory of the process in KB, without what it maps of
// files, or 0 if it has ended.
func (p *daemonProcess) anonymousKB() int {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			n, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB")) // 0 if it can't be read
			return n
		}
	}
	return 0
}

// memoryPoll is how often the platform compares the memory of a process with its limit.
const memoryPoll = 5 * time.Millisecond
