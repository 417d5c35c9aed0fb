package settings_test

import (
	"testing"

	"stiletrail/internal/settings"
)

// TestFractionalRetrySlack: a platform may give the retry slack as a fraction. A gateway that rejected it would not
// start.
func TestFractionalRetrySlack(t *testing.T) {
	required := "node: n\ncaller_address: 127.0.0.1:1\nready_address: 127.0.0.1:2\nstore_address: 127.0.0.1:3\nzone: z\n"
	for value, allowed := range map[string]bool{"17.4": true, "58": true, "-1": false, "1000001": false, "NaN": false, "many": false} {
		parsed, problems := settings.ParseGateway("f", []byte(required+"retry_slack: "+value+"\n"), nil)
		if got := len(problems) == 0; got != allowed {
			t.Errorf("retry_slack %s: found problems %v", value, problems)
		}
		if value == "17.4" && parsed.RetrySlack != 17.4 {
			t.Errorf("retry slack %v, want 17.4", parsed.RetrySlack)
		}
	}
}
