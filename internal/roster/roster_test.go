package roster

import (
	"fmt"
	"maps"
	"testing"

	"stiletrail/internal/clock"
	"stiletrail/internal/membership"
)

func selfEntry(address string, process uint32) Entry {
	return Entry{Address: address, Zone: "zone", Region: "region", Process: process}
}

func member(address string, generation uint64, state membership.State) membership.Member {
	return membership.Member{Address: address, Zone: "zone", Region: "region", Generation: generation, State: state}
}

func viewOf(members ...membership.Member) View {
	return View{Wall: 1000, Members: members, SettleAfter: 6 * clock.Second}
}

// store is the records as all nodes see them at once.
type store map[string][]byte

// plan lets a node make the write that it plans.
func (s store) plan(t *testing.T, c *Core, now clock.Ms, v View) {
	t.Helper()
	v.Wall += int64(now)
	w := c.Plan(now, v)
	if w == nil {
		return
	}
	if w.Value == nil {
		delete(s, c.Key())
		c.Delete(c.Key())
		return
	}
	s[c.Key()] = w.Value
	if err := c.Put(c.Key(), w.Value); err != nil {
		t.Fatal(err)
	}
}

// planFirst lets a node plan as it starts, and write once it has known its members for long enough.
func (s store) planFirst(t *testing.T, c *Core, v View) {
	t.Helper()
	s.plan(t, c, 0, v)
	s.plan(t, c, stableViewTime, v)
}

// read lets a node read all records.
func (s store) read(t *testing.T, c *Core) {
	t.Helper()
	for key, value := range s {
		if err := c.Put(key, value); err != nil {
			t.Fatal(err)
		}
	}
}

// TestLowestNodeListsItsGroup: the node with the lowest address lists all, the others nobody.
func TestLowestNodeListsItsGroup(t *testing.T) {
	records := store{}
	members := []membership.Member{member("a", 1, membership.Alive), member("b", 2, membership.Suspect), member("c", 3, membership.Dead)}
	for i, address := range []string{"a", "b"} {
		records.planFirst(t, New(selfEntry(address, uint32(i+1))), viewOf(members...))
	}
	c := New(selfEntry("b", 2))
	records.read(t, c)
	nodes := c.Nodes()
	if len(records) != 1 || len(nodes) != 3 || nodes[0].Away || nodes[1].Away || !nodes[2].Away {
		t.Errorf("%d records list %+v", len(records), nodes)
	}
	if got := c.Standing(); !got.Running || got.Away || got.RapidRestart {
		t.Errorf("the standing of a listed process is %+v", got)
	}
}

// TestLargeRegionHasSeveralRecords: each record has about groupSize nodes, and each node is in one.
func TestLargeRegionHasSeveralRecords(t *testing.T) {
	var members []membership.Member
	for i := range 6 * groupSize {
		members = append(members, member(fmt.Sprintf("n%03d", i), uint64(i+1), membership.Alive))
	}
	records := store{}
	for i, m := range members {
		records.planFirst(t, New(selfEntry(m.Address, uint32(i+1))), viewOf(members...))
	}
	c := New(selfEntry("x", 1))
	records.read(t, c)
	if len(records) != 6 || len(c.Nodes()) != len(members) {
		t.Errorf("%d records list %d nodes, want 6 that list %d", len(records), len(c.Nodes()), len(members))
	}
	for key, entries := range c.records {
		if len(entries) > 2*groupSize {
			t.Errorf("the record %s has %d entries", key, len(entries))
		}
	}
}

// TestSecondRestartIsRapid: a process whose predecessor had run for less than the time to settle is a rapid restart, whether the
// registrar has seen that itself or has read it. One that follows a settled process is none.
func TestSecondRestartIsRapid(t *testing.T) {
	records := store{}
	registrar := New(selfEntry("a", 1))
	registrar.grownAt, registrar.members = -stableViewTime, 2
	at := func(now clock.Ms, generation uint64) bool {
		v := viewOf(member("a", 1, membership.Alive), member("b", generation, membership.Alive))
		records.plan(t, registrar, now, v)
		b := New(selfEntry("b", uint32(generation)))
		records.read(t, b)
		return b.Standing().RapidRestart
	}
	for _, step := range []struct {
		now        clock.Ms
		generation uint64
		want       bool
	}{{0, 2, false}, {7000, 2, false}, {8000, 3, false}, {10000, 4, true}, {20000, 4, true}, {21000, 5, false}} {
		if got := at(step.now, step.generation); got != step.want {
			t.Errorf("at %d ms, process %d: rapid restart is %v", step.now, step.generation, got)
		}
	}
	registrar = New(selfEntry("a", 9))
	records.read(t, registrar)
	if !at(22000, 6) {
		t.Error("a registrar that has just started does not see that a process follows one that has just started")
	}
}

// TestProcessKnowsItsPredecessor: a process that reads that one of its address was listed which was not settled is a rapid restart,
// although its registrar does not know of that process. It is none if the other one was settled.
func TestProcessKnowsItsPredecessor(t *testing.T) {
	for _, settled := range []bool{false, true} {
		before := selfEntry("b", 2)
		before.Settled = settled
		records := store{KeyOf("x"): encode([]Entry{before}), KeyOf("a"): encode([]Entry{selfEntry("b", 3)})}
		c := New(selfEntry("b", 3))
		records.read(t, c)
		delete(records, KeyOf("x"))
		c.Delete(KeyOf("x"))
		if got := c.Standing(); !got.Running || got.RapidRestart == settled {
			t.Errorf("after a process that is settled: %v, the standing is %+v", settled, got)
		}
	}
}

// TestNodesThatStartTogetherWriteOnce: nodes that start together, and have heard of few others yet, do not all take themselves for
// registrars, with a roster of before and without one.
func TestNodesThatStartTogetherWriteOnce(t *testing.T) {
	members := []membership.Member{member("a", 1, membership.Alive), member("b", 2, membership.Alive), member("c", 3, membership.Alive)}
	for name, records := range map[string]store{
		"without a roster": {},
		"with a roster":    {KeyOf("a"): encode([]Entry{selfEntry("a", 7), selfEntry("b", 8), selfEntry("c", 9)})},
	} {
		before := maps.Clone(records)
		for i, m := range members {
			c := New(selfEntry(m.Address, uint32(i+1)))
			before.read(t, c)
			records.plan(t, c, 0, viewOf(m))
			records.plan(t, c, 600, viewOf(members...))
			records.plan(t, c, 600+stableViewTime, viewOf(members...))
		}
		if len(records) != 1 {
			t.Errorf("%s: %d records", name, len(records))
		}
	}
}

// TestNodeWithoutRegistrarListsItself: a node that nobody lists for some seconds does it itself, until another one does.
func TestNodeWithoutRegistrarListsItself(t *testing.T) {
	records := store{}
	c := New(selfEntry("b", 2))
	v := viewOf(member("a", 1, membership.Alive), member("b", 2, membership.Alive))
	records.plan(t, c, 0, v)
	if len(records) != 0 {
		t.Error("a node lists itself before its registrar has had time to")
	}
	records.plan(t, c, listSelfAfter, v)
	if !c.Standing().Running {
		t.Error("a node that nobody lists does not list itself")
	}
	registrar := New(selfEntry("a", 1))
	records.planFirst(t, registrar, v)
	records.read(t, c)
	records.plan(t, c, listSelfAfter+usualWriteInterval, v)
	if _, kept := records[c.Key()]; kept || !c.Standing().Running {
		t.Error("a node that its registrar lists goes on to list itself")
	}
}

// TestNodesOfLostRegistrarAreAway: when the record of a registrar is gone, its nodes are known as away, and the lowest node of
// all lists them so, for a day.
func TestNodesOfLostRegistrarAreAway(t *testing.T) {
	records := store{}
	lost := New(Entry{Address: "a", Zone: "other", Region: "elsewhere", Process: 1})
	v := viewOf(member("a", 1, membership.Alive))
	v.Members[0].Region = "elsewhere"
	records.planFirst(t, lost, v)
	reader := New(selfEntry("c", 3))
	records.read(t, reader)
	reader.Delete(lost.Key())
	if nodes := reader.Nodes(); len(nodes) != 1 || !nodes[0].Away {
		t.Errorf("once no record lists it, a node is known as %+v", nodes)
	}
	c := New(selfEntry("b", 2))
	records.read(t, c)
	own := viewOf(member("b", 2, membership.Alive))
	records.planFirst(t, c, own)
	if nodes := c.Nodes(); len(nodes) != 2 || nodes[0].Away {
		t.Errorf("a node that may be starting is listed as %+v", nodes)
	}
	c.Delete(lost.Key())
	delete(records, lost.Key())
	records.plan(t, c, 8*clock.Second, own)
	later := New(selfEntry("b", 3))
	records.read(t, later)
	if nodes := later.Nodes(); len(nodes) != 2 || !nodes[0].Away || nodes[0].AwaySince != own.Wall+int64(8*clock.Second) {
		t.Errorf("a node whose registrar is gone is listed as %+v", nodes)
	}
	own.Wall += int64(forgetAfter) + 1
	records.plan(t, c, 20*clock.Second, own)
	if nodes := c.Nodes(); len(nodes) != 1 {
		t.Errorf("after a day the roster has %+v", nodes)
	}
}

// TestOddRecords: a record that cannot be read is none, and one with odd entries is read as far as it goes.
func TestOddRecords(t *testing.T) {
	c := New(selfEntry("a", 1))
	for _, value := range []string{"", "{", "[]", `{"members":[{"process":-1}]}`, `{"members":[{"address":7}]}`} {
		if err := c.Put("members/x", []byte(value)); err == nil || len(c.Nodes()) != 0 {
			t.Errorf("%s: read as %+v, %v", value, c.Nodes(), err)
		}
	}
	if err := c.Put("members/x", []byte(`{"members":[{"zone":"z"},{"address":"b","more":1}]}`)); err != nil || len(c.Nodes()) != 1 {
		t.Errorf("read as %+v, %v", c.Nodes(), err)
	}
}
