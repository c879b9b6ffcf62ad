package slots

import (
	"container/heap"
	"time"
)

// heapItem is an item of a timeHeap. Its time must not change while it is in the heap.
type heapItem interface {
	heapTime() time.Time
	heapIndex() *int
}

// heapEntry is embedded in an item, and has its index in the heap. An item is in one heap at a time.
type heapEntry struct{ index int }

func (x *heapEntry) heapIndex() *int { return &x.index }

// timeHeap has items in order of their times, the earliest at index 0.
type timeHeap[T heapItem] []T

func (h *timeHeap[T]) push(item T)   { heap.Push((*heapSlice[T])(h), item) }
func (h *timeHeap[T]) pop() T        { return heap.Pop((*heapSlice[T])(h)).(T) }
func (h *timeHeap[T]) remove(item T) { heap.Remove((*heapSlice[T])(h), *item.heapIndex()) }

// heapSlice implements heap.Interface for timeHeap.
type heapSlice[T heapItem] []T

func (h heapSlice[T]) Len() int           { return len(h) }
func (h heapSlice[T]) Less(i, j int) bool { return h[i].heapTime().Before(h[j].heapTime()) }
func (h heapSlice[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	*h[i].heapIndex() = i
	*h[j].heapIndex() = j
}
func (h *heapSlice[T]) Push(x any) {
	item := x.(T)
	*item.heapIndex() = len(*h)
	*h = append(*h, item)
}
func (h *heapSlice[T]) Pop() any {
	old := *h
	last := len(old) - 1
	item := old[last]
	clear(old[last:])
	*h = old[:last]
	return item
}
