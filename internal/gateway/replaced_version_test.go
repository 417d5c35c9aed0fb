package gateway

import (
	"testing"

	"stiletrail/internal/failure"
	"stiletrail/internal/routing"
	"stiletrail/internal/settings"
	"stiletrail/internal/tenant"
)

// TestUnknownKeyOfReplacedVersion guards against a final answer by a version that was replaced while its request waited for
// the lock: the newer version may have the key.
func TestUnknownKeyOfReplacedVersion(t *testing.T) {
	g := New(FromSettings(settings.DefaultGateway()), nil, nil, nil)
	compile := func(version uint64, keys ...tenant.Key) *routing.Table {
		table, err := routing.Compile(routing.Configuration{Version: version, Tenants: []tenant.Tenant{{Name: "first", Keys: keys}}})
		if err != nil {
			t.Fatal(err)
		}
		return table
	}
	older, newer := compile(1), compile(2, tenant.NewKey("new"))
	g.storeCopy.records.Confirm(g.now(), g.now())
	codeBy := func(table *routing.Table) failure.Code {
		return g.authenticate(&Call{Key: tenant.NewKey("new")}, table, &routing.Route{}).Failure.Code
	}
	if g.table.Store(older); codeBy(older) != failure.Unauthenticated {
		t.Errorf("by the version in force: got %s, want UNAUTHENTICATED", codeBy(older))
	}
	if g.table.Store(newer); codeBy(older) != failure.NotReady {
		t.Errorf("by a version that was replaced: got %s, want NOT_READY", codeBy(older))
	}
}
