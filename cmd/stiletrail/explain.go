package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"stiletrail/internal/explain"
	"stiletrail/internal/failure"
)

// addExplain adds the command that reports from logs how a request was handled.
func addExplain(app *kingpin.Application, commands map[string]command) {
	c := app.Command("explain", "Report from the logs of nodes how a request was handled: what was decided, and what the node knew at the time.")
	request := c.Arg("request", "Id of the request.").Required().String()
	files := c.Arg("files", "Log files of nodes; standard input if not given.").Strings()
	commands["explain"] = func(*client) (int, error) {
		logs, closeAll, err := openLogs(*files)
		if err != nil {
			return exitUsage, err
		}
		defer closeAll()
		report, err := explain.Request(*request, logs)
		for _, line := range report.Lines {
			fmt.Println(line)
		}
		return exitOK, err
	}
}

// openLogs opens log files, or standard input if no file is named. closeAll closes the files.
func openLogs(names []string) (logs []io.Reader, closeAll func(), err error) {
	if len(names) == 0 {
		return []io.Reader{os.Stdin}, func() {}, nil
	}
	var files []*os.File
	closeAll = func() {
		for _, file := range files {
			_ = file.Close()
		}
	}
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, failure.Wrap(err, failure.InvalidArgument, "cannot open a log")
		}
		files = append(files, file)
		logs = append(logs, file)
	}
	return logs, closeAll, nil
}
