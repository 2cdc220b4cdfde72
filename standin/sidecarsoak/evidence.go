package sidecarsoak

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// oddHeartbeatPause is the time between two heartbeats of other writers.
const oddHeartbeatPause = time.Second

// sendOddHeartbeats sends heartbeats of other writers to daemons until ctx ends. None may be
// accepted.
func (j *judge) sendOddHeartbeats(ctx context.Context, d *deployment, random *rand.Rand) {
	for ctx.Err() == nil {
		n := d.instances[random.IntN(len(d.instances))]
		all := platformtest.InvalidHeartbeats(n.service, n.addr(targetPort))
		name := sortedKeys(all)[random.IntN(len(all))]
		status, err := platformtest.SendHeartbeat(n.addr(controlPort), "t-odd", all[name])
		if err == nil && status == http.StatusOK {
			j.mu.Lock()
			j.violateLocked("ENTRY", "%s accepted a heartbeat with: %s", n.name, name)
			j.mu.Unlock()
		}
		pause(ctx, oddHeartbeatPause)
	}
}

// checkDepartures checks that no target got requests after its departure was acknowledged,
// from entries that were in touch.
func (j *judge) checkDepartures(arrivals []platformtest.Arrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	departed := make(map[string]time.Time)
	for _, a := range arrivals {
		if a.Departed {
			departed[a.Incarnation] = a.At
			j.counts["departures"]++
		}
	}
	for _, a := range arrivals {
		at, ok := departed[a.Incarnation]
		o, known := j.answers[a.RequestID]
		if !ok || !known || !a.At.After(at.Add(drainTime)) || !o.sent.After(j.disturbedBefore(o.daemon, o.sent).Add(stableWindow)) {
			continue
		}
		j.violateLocked("DRAIN", "%s from daemon %d reached %s %v after its departure was acknowledged", a.RequestID, o.daemon, a.Target, a.At.Sub(at).Round(time.Millisecond))
	}
}

// checkHoldings checks that no key had two holders, by what targets were granted. A target
// that ends holds its keys until the next one starts beside its daemon: before that nothing
// proves the end.
func (j *judge) checkHoldings(d *deployment) error {
	var all []platformtest.GrantedRanges
	for _, n := range d.instances {
		if n.service != keyedService {
			continue
		}
		lines, err := readLinesOf[platformtest.GrantedRanges](d, n, ".grants")
		if err != nil {
			return err
		}
		for i, g := range lines {
			if i > 0 && lines[i-1].Holder != g.Holder {
				all = append(all, platformtest.GrantedRanges{Holder: lines[i-1].Holder, At: g.At})
			}
			all = append(all, g)
		}
	}
	slices.SortStableFunc(all, func(a, b platformtest.GrantedRanges) int { return a.At.Compare(b.At) })
	held := new(platformtest.Holdings)
	for i := range all {
		held.Apply(&all[i])
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts["grants"] = len(all)
	for _, v := range held.Violations() {
		j.violateLocked("OWNER", "%s", v)
	}
	return nil
}

// checkLogs checks that no daemon has got a message of another one that it could not decode.
func (j *judge) checkLogs(d *deployment) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, n := range d.instances {
		file, err := os.Open(filepath.Join(d.dir, n.name+".daemon.out"))
		if err != nil {
			return err
		}
		lines := bufio.NewScanner(file)
		lines.Buffer(nil, maxLine)
		for lines.Scan() {
			line := lines.Text()
			if strings.Contains(line, logevent.PeerMessageMalformed.Name) || strings.Contains(line, logevent.PeerConnClosed.Name) && strings.Contains(line, "malformed") {
				j.violateLocked("LOST", "%s: %.300s", n.name, line)
			}
		}
		_ = file.Close() // it was only read
		if err := lines.Err(); err != nil {
			return err
		}
	}
	return nil
}
