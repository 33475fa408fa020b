package dispatch

type (
	// ordered is an item of a heap. It has an order and stores its index.
	ordered[T any] interface {
		before(T) bool
		position() *int
	}

	// heap is a binary heap whose items store their index, so that an item can
	// be moved or removed without a search.
	heap[T ordered[T]] struct {
		items []T
	}
)

// notInHeap is the index of an item that is in no heap.
const notInHeap = -1

func (h *heap[T]) empty() bool { return len(h.items) == 0 }

// top returns the first item; the heap must not be empty.
func (h *heap[T]) top() T { return h.items[0] }

func (h *heap[T]) push(item T) {
	*item.position() = len(h.items)
	h.items = append(h.items, item)
	h.up(len(h.items) - 1)
}

// fix restores the order after the item at index i has changed.
func (h *heap[T]) fix(i int) {
	if !h.up(i) {
		h.down(i)
	}
}

func (h *heap[T]) remove(i int) {
	last := len(h.items) - 1
	*h.items[i].position() = notInHeap
	moved := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if i == last {
		return
	}
	h.items[i] = moved
	*moved.position() = i
	h.fix(i)
}

func (h *heap[T]) up(i int) bool {
	moved := false
	for i > 0 {
		parent := (i - 1) / 2
		if !h.items[i].before(h.items[parent]) {
			break
		}
		h.swap(i, parent)
		i = parent
		moved = true
	}
	return moved
}

func (h *heap[T]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if right := child + 1; right < len(h.items) && h.items[right].before(h.items[child]) {
			child = right
		}
		if !h.items[child].before(h.items[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.items[i].position() = i
	*h.items[j].position() = j
}
