package routing

import "amaranthpaddle/request"

// ClassQueue is a bounded queue in which interactive callers go before batch
// callers, and displace them when it is full.
type ClassQueue[T comparable] struct {
	waiting [2][]T // by class
}

// Len returns the number of those who wait.
func (q *ClassQueue[T]) Len() int {
	return len(q.waiting[request.Batch]) + len(q.waiting[request.Interactive])
}

// Push adds item unless bound are waiting already. An interactive item then
// takes the place of the newest batch item, which is returned as displaced.
func (q *ClassQueue[T]) Push(class request.Class, item T, bound int) (displaced T, pushed bool) {
	if q.Len() >= bound {
		batch := q.waiting[request.Batch]
		if class != request.Interactive || len(batch) == 0 {
			return displaced, false
		}
		displaced = batch[len(batch)-1]
		q.waiting[request.Batch] = batch[:len(batch)-1]
	}
	q.waiting[class] = append(q.waiting[class], item)
	return displaced, true
}

// Pop removes and returns the oldest interactive item, or else the oldest batch item.
func (q *ClassQueue[T]) Pop() (item T, ok bool) {
	for _, class := range []request.Class{request.Interactive, request.Batch} {
		if queue := q.waiting[class]; len(queue) > 0 {
			q.waiting[class] = queue[1:]
			return queue[0], true
		}
	}
	return item, false
}

// Remove takes item out and reports whether it was still waiting.
func (q *ClassQueue[T]) Remove(class request.Class, item T) bool {
	for i, other := range q.waiting[class] {
		if other == item {
			q.waiting[class] = append(q.waiting[class][:i], q.waiting[class][i+1:]...)
			return true
		}
	}
	return false
}
