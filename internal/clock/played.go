//go:build soak

package clock

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// playedIn names the variable with the file that says for how many milliseconds the machine is to pass for suspended. A
// process cannot be suspended without its machine, so the soak pauses it and has this clock say so.
const playedIn = "STILETRAIL_SUSPENDED"

func init() {
	path := os.Getenv(playedIn)
	if path == "" {
		return
	}
	ReplaceSuspendedTime(func() time.Duration {
		text, err := os.ReadFile(path)
		if err != nil {
			return 0
		}
		milliseconds, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
		if err != nil {
			return 0
		}
		return Ms(milliseconds).Duration()
	})
}
