package main

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"strings"
	"time"
)

var columns = []string{
	"mode", "processes", "sections", "readers", "startReads", "startMs",
	"idleReadsPerS", "idleListReadsPerS", "idleBytesPerS", "idleMaxBytesPerS", "idleCorePercent",
	"changeReadsPerS", "changeBytesPerS", "changeMaxBytesPerS", "changeCorePercent",
	"platformBytesPerS", "platformMaxBytesPerS",
	"lastMedianMs", "lastMaxMs", "heapKiB", "peersLargest",
}

// table prints each result when it is added, and writes it to the CSV file if there
// is one.
type table struct {
	file io.WriteCloser
	csv  *csv.Writer
}

// openTable prints the header. The CSV file at path is overwritten, or appended to
// if appendRows is set; the header is written if the file is empty.
func openTable(path string, appendRows bool) (*table, error) {
	fmt.Println(strings.Join(columns, " "))
	t := &table{}
	if path == "" {
		return t, nil
	}
	mode := os.O_TRUNC
	if appendRows {
		mode = os.O_APPEND
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|mode, 0o644)
	if err != nil {
		return nil, err
	}
	t.file, t.csv = f, csv.NewWriter(f)
	info, err := f.Stat()
	if err != nil || info.Size() > 0 {
		return t, err
	}
	return t, t.csv.Write(columns)
}

func (t *table) add(r result) error {
	row := r.row()
	fmt.Println(strings.Join(row, " "))
	if t.csv == nil {
		return nil
	}
	return t.csv.Write(row)
}

func (t *table) close() error {
	if t.csv == nil {
		return nil
	}
	t.csv.Flush()
	if err := t.csv.Error(); err != nil {
		return err
	}
	return t.file.Close()
}

func (r *result) row() []string {
	mode := "told"
	if r.direct {
		mode = "direct"
	}
	if r.fault != faultNone {
		mode = string(r.fault)
	}
	row := []string{mode}
	for _, n := range []int{r.processes, r.sections, r.readers, int(r.startReads)} {
		row = append(row, fmt.Sprint(n))
	}
	row = append(row, ms(r.startTime))
	for _, v := range []float64{
		r.idleReads, r.idleList, r.idleBytes, r.idleBytesMax, 100 * r.idleCPU,
		r.changeReads, r.changeBytes, r.changeBytesMax, 100 * r.changeCPU,
		r.platformBytes, r.platformBytesMax,
	} {
		row = append(row, fmt.Sprintf("%.2f", v))
	}
	row = append(row, ms(r.lastMedian), ms(r.lastMax), fmt.Sprintf("%.0f", r.heapPerProcess/1024))
	return append(row, fmt.Sprint(r.peersLargest))
}

func ms(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}
