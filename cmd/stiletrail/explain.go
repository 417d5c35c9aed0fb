package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"stiletrail/internal/explain"
	"stiletrail/internal/failure"
)

func addExplain(app *kingpin.Application, commands map[string]command) {
	explaining := app.Command("explain", "What the logs of nodes tell of a request: what was decided, and what was believed then.")
	request := explaining.Arg("request", "The request's id.").Required().String()
	files := explaining.Arg("files", "Log files of nodes; standard input without any.").Strings()
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
			return nil, nil, failure.Wrap(err, failure.InvalidArgument, "a log cannot be opened")
		}
		files = append(files, file)
		logs = append(logs, file)
	}
	return logs, closeAll, nil
}
