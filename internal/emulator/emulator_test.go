package emulator

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
)

func TestTrial(t *testing.T) {
	n := 6
	if s := os.Getenv("N"); s != "" {
		n, _ = strconv.Atoi(s)
	}
	var mu sync.Mutex
	type key struct{ d, day, p string }
	res := map[key]*[6]float64{}
	var wg sync.WaitGroup
	sem := make(chan bool, 4)
	for _, d := range Deployments {
		for _, day := range Days {
			for _, p := range Policies {
				if f := os.Getenv("F"); f != "" && !strings.Contains(f, d.Name) {
					continue
				}
				if f := os.Getenv("P"); f != "" && !strings.Contains(f, p.Name) {
					continue
				}
				res[key{d.Name, day.Name, p.Name}] = &[6]float64{}
				for seed := range n {
					wg.Add(1)
					go func() {
						defer wg.Done()
						sem <- true
						s := Play(d, day, p.New, uint64(seed))
						<-sem
						mu.Lock()
						defer mu.Unlock()
						x := res[key{d.Name, day.Name, p.Name}]
						for i, v := range []float64{s.Worth(), s.Whole, s.Zone, s.Kind, s.Refused, s.Failed} {
							x[i] += v / float64(n)
						}
					}()
				}
			}
		}
	}
	wg.Wait()
	for _, p := range Policies {
		tot, c := 0.0, 0.0
		for _, d := range Deployments {
			for _, day := range Days {
				x := res[key{d.Name, day.Name, p.Name}]
				if x == nil {
					continue
				}
				tot += x[0]
				c++
				fmt.Printf("%-14s %-10s %-12s worth %.3f whole %.3f zone %.3f kind %.3f refused %.3f failed %.3f\n", d.Name, day.Name, p.Name, x[0], x[1], x[2], x[3], x[4], x[5])
			}
		}
		if c > 0 {
			fmt.Printf("MEAN %s %.4f\n", p.Name, tot/c)
		}
	}
}
