// Copyright ©2026 The sassafrasfront Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
)

// processorTimes are the machine's processor times, in ticks.
type processorTimes struct {
	busy, total float64
}

// readProcessorTimes reads the processor times from the first line of /proc/stat.
func readProcessorTimes() processorTimes {
	data, _ := os.ReadFile("/proc/stat")
	line, _, _ := strings.Cut(string(data), "\n")
	var t processorTimes
	for i, f := range strings.Fields(line)[1:] {
		v, _ := strconv.ParseFloat(f, 64)
		t.total += v
		if i != 3 && i != 4 { // idle and iowait
			t.busy += v
		}
	}
	return t
}

// busySince returns the fraction of processor time that was busy since then.
func (t processorTimes) busySince(then processorTimes) float64 {
	return (t.busy - then.busy) / (t.total - then.total)
}

// ticksPerSecond is the resolution of the times in /proc/PID/stat on Linux.
const ticksPerSecond = 100

// processSeconds returns the processor time used by a process, in seconds.
func processSeconds(pid int) float64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, _ := strings.Cut(string(data), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.ParseFloat(f[11], 64)
	system, _ := strconv.ParseFloat(f[12], 64)
	return (user + system) / ticksPerSecond
}

// processMegabytes returns the resident memory of a process, in MiB.
func processMegabytes(pid int) float64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	f := strings.Fields(string(data))
	if len(f) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(f[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}

// sumMetric returns the sum of a metric, as served at a node's operator URL, over the series whose
// labels contain the given text.
func sumMetric(url, name, label string) float64 {
	r, err := http.Get(url + "/metrics")
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	var sum float64
	lines := bufio.NewScanner(r.Body)
	for lines.Scan() {
		key, value, ok := strings.Cut(lines.Text(), " ")
		if ok && strings.HasPrefix(key, name) && strings.Contains(key, label) {
			v, _ := strconv.ParseFloat(value, 64)
			sum += v
		}
	}
	return sum
}
