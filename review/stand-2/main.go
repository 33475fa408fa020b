// Stand-in plays one case of the second review: the project's instances as processes of
// their own, with stand-ins for the platform's store, the workers and the clients. It
// exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could
// not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The bounds of the users' sheet for Haskell & Tibbetts that the cases check.
const (
	ackBound    = 4000 * time.Millisecond
	cancelBound = 3000 * time.Millisecond
	// resendDelay is resendMs.
	resendDelay = 1300 * time.Millisecond
)

// verdict is what a case has found.
type verdict struct {
	broken []string
	err    error
}

// cases are the cases by name.
var cases = map[string]func(s *site, trouble bool) verdict{
	"other-kind":         otherKind,
	"smaller-worker":     smallerWorker,
	"cancel-after-route": cancelAfterRoute,
	"cold-recover":       coldRecover,
	"explore":            explore,
	"cold-observed":      coldObserved,
	"spread-observed":    spreadObserved,
}

func main() {
	name := flag.String("case", "", "the case")
	binary := flag.String("binary", "", "the project's program")
	path := flag.String("record", "record.txt", "the record")
	flag.Parse()
	os.Exit(play(*name, *binary, *path))
}

func play(name, binary, path string) int {
	run := cases[name]
	r, err := newRecord(path)
	if run == nil || err != nil {
		fmt.Fprintln(os.Stderr, "no such case, or no record:", name, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.logf("case %s, disruption %t", name, trouble)
	s, err := newSite(binary, r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	result := make(chan verdict, 1)
	go func() { result <- run(s, trouble) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	var v verdict
	select {
	case v = <-result:
	case <-signals:
		v.err = fmt.Errorf("interrupted")
	case <-time.After(110 * time.Second):
		v.err = fmt.Errorf("the case takes too long")
	}
	for _, b := range v.broken {
		r.logf("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	switch {
	case v.err != nil:
		r.logf("could not run: %v", v.err)
		fmt.Println("could not run:", v.err)
		return 2
	case len(v.broken) > 0:
		return 1
	}
	r.logf("the rule held")
	fmt.Println("the rule held")
	return 0
}
