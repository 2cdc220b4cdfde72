package memorytest

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// Limits of each daemon. The crowds and bounds follow from them.
const (
	memoryMB     = 96
	maxFiles     = 4100
	maxBodyBytes = 16 << 20
)

const (
	host        = "memory.example"
	localPath   = "/book/"    // served by the target beside the daemon
	remotePath  = "/pay/"     // served by the target of the other daemon
	answersPath = "/answers/" // likewise; its responses have the number of bytes that follows
	viewsPath   = "/views/"   // likewise; its requests are idempotent
	slowPath    = "slow"      // end of the paths of requests that take slowWork
	slowWork    = 2 * time.Second
	readyWait   = 30 * time.Second
)

const (
	callerPort, readyPort, controlPort, targetPort, targetListenPort = 8304, 8302, 8306, 8301, 8307
	firstLinkPort, lastLinkPort                                      = 7620, 7635
)

// program is the path of the daemon's binary.
var program string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "memorytest-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }() // a leftover in the temporary folder does no harm
	program = filepath.Join(dir, "parsley-sidecar")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/parsley-sidecar").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// fleet is two daemons, each with a target beside it, and their store.
type fleet struct {
	t     *testing.T
	nodes [2]*node
}

type node struct {
	ip      string
	target  *platformtest.Target
	process *exec.Cmd
	ended   chan struct{} // closed when the process has ended
	log     string        // file
	watch   *watch
}

func (n *node) addr(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// fleets is the number of fleets that were started; each has loopback addresses of its own.
var fleets int

// start starts a fleet whose daemons have memory MB, and waits until both serve requests.
func start(t *testing.T, memory, maxBody int) *fleet {
	t.Helper()
	return startOn(t, allCores, memory, maxBody)
}

// cores is the number of threads of a daemon that run at a time.
type cores int

const (
	oneCore  cores = 1
	allCores cores = 0
)

func (c cores) String() string {
	if c == allCores {
		return "all cores"
	}
	return "one core"
}

// startOn is start for daemons that use a number of cores.
func startOn(t *testing.T, c cores, memory, maxBody int) *fleet {
	t.Helper()
	return startWith(t, conditions{cores: c, memory: memory}, maxBody)
}

// conditions are those that the daemons of a fleet run under.
type conditions struct {
	cores    cores
	memory   int  // MB
	stuckLog bool // nothing reads their log lines
	// endless is how targets answer requests whose path ends with endlessPath; nil if they
	// answer them like others.
	endless *endlessForm
}

// startWith is start for daemons under other conditions.
func startWith(t *testing.T, c conditions, maxBody int) *fleet {
	t.Helper()
	f := &fleet{t: t}
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	store.MaxBodyBytes = maxBody
	store.Configure(1, host, []platformtest.Route{
		{Prefix: localPath, Service: "bookings", TimeoutMS: 15_000, LatencyMS: 5000},
		{Prefix: remotePath, Service: "payments", TimeoutMS: 15_000, LatencyMS: 5000},
		{Prefix: answersPath, Service: "payments", TimeoutMS: 15_000, LatencyMS: 5000},
		{Prefix: viewsPath, Service: "payments", TimeoutMS: 15_000, LatencyMS: 5000, Idempotent: true},
	})
	fleets++
	for i, service := range []string{"bookings", "payments"} {
		n := &node{ip: fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 100+os.Getpid()/250%100, 2*fleets+i)}
		f.nodes[i] = n
		storeAddr, err := store.Listen()
		if err != nil {
			t.Fatal(err)
		}
		n.start(t, service, storeAddr, c)
		startTarget(t, n, service, c.endless)
	}
	for _, n := range f.nodes {
		f.awaitServed(n, localPath)
		f.awaitServed(n, remotePath)
	}
	return f
}

func (n *node) start(t *testing.T, service, storeAddr string, c conditions) {
	t.Helper()
	dir := t.TempDir()
	f := platformtest.SettingsFile{
		Instance: "node-" + service, IP: n.ip, Zone: "z", Service: service, Target: n.addr(targetPort), Callers: n.addr(callerPort),
		Ready: n.addr(readyPort), Control: n.addr(controlPort), FirstPort: firstLinkPort, LastPort: lastLinkPort, Store: storeAddr,
		MemoryMB: c.memory, MaxFiles: maxFiles,
	}
	settings := filepath.Join(dir, "settings.yaml")
	if err := os.WriteFile(settings, []byte(f.Text()), 0o600); err != nil {
		t.Fatal(err)
	}
	n.log = filepath.Join(dir, "log")
	log, err := os.Create(n.log)
	if err != nil {
		t.Fatal(err)
	}
	if c.stuckLog {
		log = stuckPipe(t, log)
	}
	n.process = exec.Command(program, "--settings", settings)
	n.process.Stdout, n.process.Stderr = log, log
	if c.cores != allCores {
		n.process.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", c.cores))
	}
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := errors.Join(n.process.Start(), log.Close()); err != nil {
		t.Fatal(err)
	}
	n.ended = make(chan struct{})
	go func() {
		_ = n.process.Wait() // the watch reports an unexpected end
		close(n.ended)
	}()
	n.watch = startWatch(n, c.memory)
	t.Cleanup(func() { n.stop(t) })
}

// stuckPipe returns a pipe that nothing reads, in place of a file.
func stuckPipe(t *testing.T, file *os.File) *os.File {
	t.Helper()
	r, w, err := os.Pipe()
	if err = errors.Join(err, file.Close()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Close() }) // the process has ended
	return w
}

// stop ends the process and reports what its watch has seen.
func (n *node) stop(t *testing.T) {
	n.watch.stop(t)
	_ = n.process.Process.Kill() // it may have ended
	<-n.ended
	if t.Failed() {
		if text, err := os.ReadFile(n.log); err == nil {
			t.Logf("end of the log of %s:\n%s", n.ip, text[max(len(text)-2000, 0):])
		}
	}
}

// startTarget starts the target beside a daemon. Requests arrive at a server of its own,
// which discards their bodies.
func startTarget(t *testing.T, n *node, service string, endless *endlessForm) {
	t.Helper()
	target := &platformtest.Target{
		ID: "target-" + service, Service: service, Zone: "z", Addr: n.addr(targetPort), ListenAddr: n.addr(targetListenPort), Control: n.addr(controlPort), Slots: 64,
		HeartbeatInterval: 300 * time.Millisecond, Records: &platformtest.Records{Sink: io.Discard, ArrivalSink: io.Discard},
	}
	n.target = target
	l, err := net.Listen("tcp", target.Addr)
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{StreamRequestBody: true, MaxRequestBodySize: 1 << 20, DisablePreParseMultipartForm: true, Handler: func(ctx *fasthttp.RequestCtx) {
		if body := ctx.RequestBodyStream(); body != nil {
			n, _ := io.Copy(io.Discard, body) // a body that is cut gets no response
			ctx.Response.Header.Set("Body-Bytes", fmt.Sprint(n))
		}
		ctx.Response.Header.Set("Request-Id", string(ctx.Request.Header.Peek("Request-Id")))
		ctx.Response.Header.Set(platformtest.StampHeader, "s")
		if endless != nil && strings.HasSuffix(string(ctx.Path()), endlessPath) {
			answerEndless(ctx, *endless)
			return
		}
		if strings.HasSuffix(string(ctx.Path()), slowPath) {
			time.Sleep(slowWork)
		}
		size, ok := strings.CutPrefix(string(ctx.Path()), answersPath)
		if !ok {
			size, ok = strings.CutPrefix(string(ctx.Path()), viewsPath)
		}
		if ok {
			n, _ := strconv.Atoi(size) // no body if it is not a number
			ctx.SetBody(make([]byte, n))
		}
	}}
	go func() { _ = server.Serve(l) }() // ends with the process of the test
	if err := target.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		target.Stop()
		_ = l.Close() // the test has ended
	})
}

// awaitServed waits until an ordinary request succeeds at a daemon. Each attempt opens a
// connection, as a caller does that comes after a crowd.
func (f *fleet) awaitServed(n *node, path string) {
	f.t.Helper()
	const body = "payload"
	var status int
	var err error
	for end := time.Now().Add(readyWait); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		status, _, err = platformtest.RawCall(n.addr(callerPort), string(headOf(path, fmt.Sprintf("Content-Length: %d\r\n", len(body))))+body)
		if err == nil && status == http.StatusOK {
			return
		}
		select {
		case <-n.ended:
			f.t.Fatalf("the process of %s has ended", n.ip)
		default:
		}
	}
	f.t.Fatalf("%s does not serve %s on a new connection: status %d, error %v", n.ip, path, status, err)
}
