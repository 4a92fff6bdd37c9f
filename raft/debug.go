package raft

import "fmt"

func (r *Raft) Debug(id uint64) string { return fmt.Sprintf("%+v", r.progress[id]) }
