package measure

import (
	"bufio"
	"os"
	"runtime"
	"strings"

	"golang.org/x/sys/unix"
)

// Facts records the machine, the commit and the command that a series was measured
// with. It is written to the head of the CSV file.
type Facts struct {
	Commit  string
	CPU     string
	Cores   string
	Memory  string
	Kernel  string
	Go      string
	Command string // command line that wrote the file
}

// fields returns the names and values in the order of the CSV file.
func (f *Facts) fields() []struct {
	name  string
	value *string
} {
	return []struct {
		name  string
		value *string
	}{
		{"commit", &f.Commit},
		{"cpu", &f.CPU},
		{"cores", &f.Cores},
		{"memory", &f.Memory},
		{"kernel", &f.Kernel},
		{"go", &f.Go},
		{"command", &f.Command},
	}
}

// ReadFacts returns the facts of this machine and program. Facts that cannot be
// read are empty.
func ReadFacts(commit string, command []string) Facts {
	return Facts{
		Commit:  commit,
		CPU:     procField("/proc/cpuinfo", "model name"),
		Cores:   itoa(runtime.NumCPU()),
		Memory:  procField("/proc/meminfo", "MemTotal"),
		Kernel:  kernel(),
		Go:      runtime.Version(),
		Command: strings.Join(command, " "),
	}
}

// procField returns the first value of a field in a file of lines "name: value",
// or "" if there is none.
func procField(path, name string) string {
	f, err := os.Open(path)
	if err != nil {
		return ""
	}
	defer func() { _ = f.Close() }()
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		field, value, found := strings.Cut(scanner.Text(), ":")
		if found && strings.TrimSpace(field) == name {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

func kernel() string {
	var u unix.Utsname
	if err := unix.Uname(&u); err != nil {
		return ""
	}
	return unix.ByteSliceToString(u.Release[:])
}
