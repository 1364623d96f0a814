package admission

// link places a value in at most one list without an allocation.
type link[T any] struct {
	prev, next *link[T]
	value      *T
}

// list is a doubly linked list of links that are embedded in their values.
type list[T any] struct {
	head, tail *link[T]
	len        int
}

func (l *list[T]) front() *T {
	if l.head == nil {
		return nil
	}
	return l.head.value
}

func (l *list[T]) back() *T {
	if l.tail == nil {
		return nil
	}
	return l.tail.value
}

func (l *list[T]) pushBack(n *link[T]) {
	n.prev, n.next = l.tail, nil
	if l.tail == nil {
		l.head = n
	} else {
		l.tail.next = n
	}
	l.tail = n
	l.len++
}

func (l *list[T]) remove(n *link[T]) {
	if n.prev == nil {
		l.head = n.next
	} else {
		n.prev.next = n.next
	}
	if n.next == nil {
		l.tail = n.prev
	} else {
		n.next.prev = n.prev
	}
	n.prev, n.next = nil, nil
	l.len--
}
