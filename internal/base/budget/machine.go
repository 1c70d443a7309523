package budget

import (
	"os"
	"strconv"
	"strings"
	"syscall"
)

// MachineMemory returns the bytes of memory that this process may use: those of the machine, or of its control group if that has
// fewer. It returns 0 if the system names neither.
func MachineMemory() int64 {
	least := int64(0)
	for _, n := range []int64{meminfoTotal(readFile("/proc/meminfo")), groupLimit(readFile("/sys/fs/cgroup/memory.max")),
		groupLimit(readFile("/sys/fs/cgroup/memory/memory.limit_in_bytes"))} {
		if n > 0 && (least == 0 || n < least) {
			least = n
		}
	}
	return least
}

// MachineFiles returns the limit on the open descriptors of this process, or 0 if it is not known.
func MachineFiles() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(min(limit.Cur, 1<<30))
}

func readFile(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return "" // not every system has every file
	}
	return string(data)
}

// meminfoTotal returns the bytes of the line MemTotal of /proc/meminfo, or 0.
func meminfoTotal(text string) int64 {
	for line := range strings.Lines(text) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "MemTotal:" && fields[2] == "kB" {
			n, _ := strconv.ParseInt(fields[1], 10, 64)
			return n << 10
		}
	}
	return 0
}

// groupLimit returns the bytes in a limit of a control group, or 0 if it is "max" or missing.
func groupLimit(text string) int64 {
	n, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil || n <= 0 || n > 1<<60 {
		return 0
	}
	return n
}
