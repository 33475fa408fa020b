// Command lovagecrank is a dispatcher for sub-second tasks.
package main

import (
	"context"
	"os"

	"github.com/lovagecrank/lovagecrank/command"
)

func main() {
	os.Exit(command.Run(context.Background(), os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
