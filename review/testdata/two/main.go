package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case: the rule held, it was broken, the case couldn't run.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// env is what all cases need.
type env struct {
	binary  string
	dir     string
	trouble bool
	rec     *recorder
	net     *network
}

func main() {
	name := flag.String("case", "", "the case to run")
	binary := flag.String("bin", "target/hawthornferry", "the project's program")
	record := flag.String("record", "record.txt", "where to write what happened")
	flag.Parse()
	os.Exit(run(*name, *binary, *record))
}

var cases = map[string]func(*env) (broken bool, err error){
	"descriptors": runDescriptors,
	"seeds":       runSeeds,
	"leavers":     runLeavers,
}

func run(name, binary, record string) int {
	f, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.Close()
	dir, err := os.MkdirTemp("", "review-two-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	e := &env{dir: dir, rec: &recorder{f: f}, trouble: os.Getenv("TROUBLE") != "0"}
	if e.binary, err = filepath.Abs(binary); err == nil {
		_, err = os.Stat(e.binary)
	}
	if err == nil {
		e.net, err = newNetwork()
	}
	c, ok := cases[name]
	if err == nil && !ok {
		err = fmt.Errorf("unknown case %q", name)
	}
	broken := false
	if err == nil {
		broken, err = c(e)
	}
	switch {
	case err != nil:
		e.rec.logf("the case couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		return exitNotRun
	case broken:
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
