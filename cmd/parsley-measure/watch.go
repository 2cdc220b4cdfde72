package main

import (
	"github.com/parsleystack/parsleystack/measure"
)

// watch measures running processes and adds one size to the series of each.
func watch(dir string, a *watchArgs, facts measure.Facts) error {
	var processes []measure.Process
	for _, s := range a.Processes {
		p, err := measure.ParseProcess(s)
		if err != nil {
			return err
		}
		processes = append(processes, p)
	}
	uses, err := measure.Watch(processes, a.Duration)
	if err != nil {
		return err
	}
	for i, p := range processes {
		cpu := &measure.Series{Name: p.Label + "-cpu", Quantity: "processor time of the process " + p.Label + " in one second, by " + a.By, Unit: "ns", Facts: facts}
		cpu.Add(a.Size, uses[i].CPUPerSecond())
		memory := &measure.Series{Name: p.Label + "-memory-bytes", Quantity: "resident memory of the process " + p.Label + ", by " + a.By, Unit: "B", Facts: facts}
		memory.Add(a.Size, float64(uses[i].RSSBytes))
		for _, s := range []*measure.Series{cpu, memory} {
			if err := s.MergeFile(dir); err != nil {
				return err
			}
		}
	}
	return nil
}
