// Command stand plays one case of the review: it starts instances of lovagecrank as
// processes of their own and plays the platform, the workers and the clients. It exits
// with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(*world) error{
	"stop":   playStop,
	"cancel": playCancel,
	"stray":  playStray,
	"poison": playPoison,
	"label":  playLabel,
	"late":   playLate,
	"size":   playSize,
	"twice":  playTwice,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE")
		os.Exit(2)
	}
	w, err := newWorld()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if err := cases[os.Args[1]](w); err != nil {
		w.finish()
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	}
	os.Exit(w.finish())
}
