// Command capacity measures the resource costs of the components of an instance
// and prints the tables of docs/CAPACITY.md.
package main

import (
	"fmt"
	"os"

	"github.com/banyandeal/banyandeal/internal/capacity"
)

func main() {
	if err := capacity.Run(os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
