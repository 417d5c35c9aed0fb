//go:build soak

package clock

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// suspendedTimeFileVariable is the environment variable that names a file. The file has the number of milliseconds
// for which the machine counts as suspended. A process cannot be suspended without its machine, so the soak test
// pauses the process and reports the suspension through this file.
const suspendedTimeFileVariable = "STILETRAIL_SUSPENDED"

func init() {
	path := os.Getenv(suspendedTimeFileVariable)
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
