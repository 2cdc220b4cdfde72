package sidecar

import (
	"strings"
	"testing"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// A caller that sends its headers in lower case got 400 for a missing key, and its own
// name of the calling service reached the target beside that of the daemon.
func TestLowerCaseHeadersAreServed(t *testing.T) {
	t.Parallel()
	d := deploy(t, keyedService, plainService)
	d.awaitServing()
	for path, field := range map[string]string{"/view/a": platformtest.KeyHeader + ": 77", "/book/a": platformtest.CallerHeader + ": forged"} {
		id := newID()
		request := platformtest.Head(host, "GET", path, id, "")
		request = strings.TrimSuffix(request, "\r\n") + platformtest.DeadlineHeader + ": 2000\r\n" + field + "\r\n\r\n"
		line, fields, _ := strings.Cut(request, "\r\n")
		if status, _ := d.nodes[0].rawCall(t, line+"\r\n"+strings.ToLower(fields)); status != 200 {
			t.Errorf("%s with headers in lower case: status %d", path, status)
		}
		runs := d.records.ByRequest(id)
		if len(runs) != 1 || len(runs[0].Callers) != 1 || runs[0].Callers[0] != keyedService {
			t.Errorf("%s: runs %+v, want one for %s", path, runs, keyedService)
		}
	}
}
