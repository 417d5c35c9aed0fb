package main

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"stiletrail/internal/failure"
	"stiletrail/internal/platform"
	"stiletrail/internal/rehearsal"
)

// addPlatform adds the command that serves a stand-in platform.
func addPlatform(app *kingpin.Application, commands map[string]func() error) {
	command := app.Command("platform", "Serve a stand-in of the key-value service and the machine list. POST /control?down=true|slow=2s|lose-answers=1 injects faults.")
	listen := command.Flag("listen", "IP address and port.").Default("127.0.0.1:7900").String()
	rate := command.Flag("rate", "Largest number of requests per second; 0 for no limit.").Default("200").Float64()
	lag := command.Flag("machine-list-lag", "Age of the machine list that is served.").Default("5s").Duration()
	machines := command.Flag("machine", "A machine as ADDRESS,ZONE,node|backend; repeatable.").Strings()
	commands[command.FullCommand()] = func() error {
		started, err := rehearsal.StartPlatform(*listen, rehearsal.PlatformOptions{RequestsPerSecond: *rate, MachineListLag: *lag})
		if err != nil {
			return err
		}
		defer started.Close()
		list, err := parseMachines(*machines)
		if err != nil {
			return err
		}
		started.SetMachines(list)
		fmt.Println("platform at", started.URL())
		untilSignal()
		return nil
	}
}

// parseMachines parses machines given as ADDRESS,ZONE,ROLE.
func parseMachines(texts []string) ([]platform.Machine, error) {
	roles := map[string]platform.Role{"node": platform.RoleNode, "backend": platform.RoleBackEnd}
	var list []platform.Machine
	for _, text := range texts {
		parts := strings.Split(text, ",")
		if len(parts) != 3 || roles[parts[2]] == platform.RoleUnknown {
			return nil, failure.New(failure.InvalidArgument, "machine: found "+text+", allowed is ADDRESS,ZONE,node|backend")
		}
		list = append(list, platform.Machine{Address: parts[0], Zone: parts[1], Role: roles[parts[2]]})
	}
	return list, nil
}
