package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// limit is how long a case may run.
const limit = 110 * time.Second

// cases maps the names of the cases to their plays. A play returns what broke the
// rule, one line each; an error means that the case could not run.
var cases = map[string]func(*site, bool) ([]string, error){
	"11": playPipelined,
	"12": playLargeOddEntries,
	"13": playClockBackSmaller,
	"14": playClockBackOtherKind,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-3 CASE DIRECTORY")
		return 2
	}
	record, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.close()
	s, err := newSite(record)
	if err != nil {
		record.write("the case could not run: %v", err)
		return 2
	}
	defer s.close()

	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
		done <- result{broken, err}
	}()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	var r result
	select {
	case r = <-done:
	case <-time.After(limit):
		r.err = errors.New("it took too long")
	case <-ended:
		r.err = errors.New("it was ended by a signal")
	}
	if r.err == nil && s.observer.startCount() == 0 {
		r.err = errors.New("no task was started")
	}
	if r.err != nil {
		record.write("the case could not run: %v", r.err)
		fmt.Println("could not run:", r.err)
		return 2
	}
	for _, b := range r.broken {
		record.write("BROKEN %s", b)
	}
	if len(r.broken) > 0 {
		fmt.Printf("broken: %d times, first: %s\n", len(r.broken), r.broken[0])
		return 1
	}
	record.write("the rule held")
	fmt.Println("held")
	return 0
}
