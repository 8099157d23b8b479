package command

import (
	"testing"

	"ryelug/core/result"
)

// Every code that ends a command must come with what to do about it.
func TestAdvice(t *testing.T) {
	for _, code := range result.Codes() {
		info, _ := result.Lookup(code)
		if info.Status == 0 && advice[code] == "" {
			t.Errorf("no advice for %s", info.Name)
		}
	}
}
