package process

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"ryelug/router/settings"
)

// TestMaxCallerConns checks that the smallest of three limits applies: the setting, file descriptors or memory.
func TestMaxCallerConns(t *testing.T) {
	for _, c := range []struct{ callers, descriptors, memory, want int }{
		{4096, 0, 0, 4096},
		{4096, 4100, 0, 2050},
		{4096, 4100, 112, 1194},
		{4096, 8192, 536, 4096},
		{100, 4100, 112, 100},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			given := &settings.Settings{MaxCallers: c.callers, MaxDescriptors: c.descriptors, MemoryLimit: c.memory}
			is.New(t).Equal(maxCallerConns(given), c.want)
		})
	}
}
