package sidecar

import "github.com/parsleystack/parsleystack/platform"

// observeServerLoad applies the load that the current target has stated in a response.
func (b *backend) observeServerLoad(platform.ServerLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cold.statesLoad = true
}
