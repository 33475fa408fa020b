package main

import (
	"os"
	"strconv"
)

func envInt(name string, d int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return d
}
