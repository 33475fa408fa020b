package submission

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagecrank/lovagecrank/job"
)

// jobHash returns a hash of the job's contents. It tells apart different jobs
// that are submitted under one id. The deadline is left out, because a
// resubmission may have a later one.
func jobHash(j *job.Job) uint64 {
	var d xxhash.Digest
	d.Reset()
	writeString(&d, j.Class)
	writeString(&d, j.Team)
	for i := range j.Tasks {
		t := &j.Tasks[i]
		writeString(&d, t.ID)
		writeString(&d, t.Kind)
		writeNumber(&d, uint64(len(t.Payload)))
		_, _ = d.Write(t.Payload) // Digest.Write never fails
		writeNumber(&d, math.Float64bits(t.Needs.Cores))
		writeNumber(&d, uint64(t.Needs.MemoryBytes))
		writeNumber(&d, uint64(t.Needs.Accelerators))
		writeNumber(&d, uint64(t.RunTime))
		idempotent := uint64(0)
		if t.Idempotent {
			idempotent = 1
		}
		writeNumber(&d, idempotent)
	}
	return d.Sum64()
}

func writeString(d *xxhash.Digest, s string) {
	writeNumber(d, uint64(len(s)))
	_, _ = d.WriteString(s) // Digest.Write never fails
}

func writeNumber(d *xxhash.Digest, n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	_, _ = d.Write(b[:]) // Digest.Write never fails
}
