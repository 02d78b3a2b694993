package capacity

import (
	"runtime"
	"slices"
	"syscall"
	"time"
)

// Bounds of one measurement of time.
const (
	// rounds is how often an operation is measured; the median counts.
	rounds = 5
	// roundTime is the least processor time of one round.
	roundTime = 40 * time.Millisecond
)

// processorTime returns what this process has used so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		// It fails for a wrong argument only.
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// seconds returns the processor time of one call of f.
func seconds(f func()) float64 {
	f()
	runtime.GC()
	var got []float64
	for range rounds {
		calls, start := 0, processorTime()
		for n := 1; ; n *= 2 {
			for range n {
				f()
			}
			calls += n
			if d := processorTime() - start; d >= roundTime {
				got = append(got, d.Seconds()/float64(calls))
				break
			}
		}
	}
	slices.Sort(got)
	return got[rounds/2]
}

// oneCall returns the processor time of a single call of f, for what is too slow
// to repeat.
func oneCall(f func()) float64 {
	runtime.GC()
	start := processorTime()
	f()
	return (processorTime() - start).Seconds()
}

// heap returns the bytes of heap and stacks that stay because of f's result.
func heap(f func() any) float64 {
	before := heapInUse()
	keep := f()
	after := heapInUse()
	runtime.KeepAlive(keep)
	return max(after-before, 0)
}

// allocated returns the bytes that f allocates in all.
func allocated(f func()) float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc - before.TotalAlloc)
}

func heapInUse() float64 {
	// The second collection frees what finalizers of the first let go.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
