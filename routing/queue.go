package routing

import "amaranthpaddle/request"

// ClassQueue is a bounded priority queue: items of interactive callers come
// before those of batch callers and displace them when the queue is full.
type ClassQueue[T comparable] struct {
	waiting [2][]T // by class
}

// Len returns the number of items in the queue.
func (q *ClassQueue[T]) Len() int {
	return len(q.waiting[request.Batch]) + len(q.waiting[request.Interactive])
}

// Push adds item and reports whether it did. If the queue already holds limit
// items, a batch item is refused and an interactive item replaces the newest
// batch item, which is returned as displaced; without one it is refused too.
func (q *ClassQueue[T]) Push(class request.Class, item T, limit int) (displaced T, pushed bool) {
	if q.Len() >= limit {
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

// Remove removes item and reports whether it was in the queue.
func (q *ClassQueue[T]) Remove(class request.Class, item T) bool {
	for i, other := range q.waiting[class] {
		if other == item {
			q.waiting[class] = append(q.waiting[class][:i], q.waiting[class][i+1:]...)
			return true
		}
	}
	return false
}
