/**
 * A binary heap. Items of equal priority are removed in the order in which they were added, so that runs are
 * reproducible.
 */
export class PriorityQueue<T> {
    private readonly heap: { readonly item: T; readonly priority: number; readonly order: number }[] = [];
    private nextOrder = 0;

    get length(): number {
        return this.heap.length;
    }

    /** Adds an item; the lowest priority is removed first. */
    push(item: T, priority: number): void {
        this.heap.push({ item, priority, order: this.nextOrder++ });
        this.siftUp(this.heap.length - 1);
    }

    peek(): T | undefined {
        return this.heap[0]?.item;
    }

    pop(): T | undefined {
        const first = this.heap[0];
        const last = this.heap.pop();
        if (first === undefined || last === undefined || this.heap.length === 0) {
            return first?.item;
        }
        this.heap[0] = last;
        this.siftDown(0);
        return first.item;
    }

    /** Keeps only the wanted items; used when most entries are stale. */
    filter(isWanted: (item: T) => boolean): void {
        const kept = this.heap.filter(entry => isWanted(entry.item));
        this.heap.length = 0;
        for (const entry of kept) {
            this.heap.push(entry);
            this.siftUp(this.heap.length - 1);
        }
    }

    private siftUp(start: number): void {
        let index = start;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!this.isBefore(index, parent)) {
                return;
            }
            this.swap(index, parent);
            index = parent;
        }
    }

    private siftDown(start: number): void {
        let index = start;
        for (;;) {
            const left = 2 * index + 1;
            const right = left + 1;
            let first = index;
            if (left < this.heap.length && this.isBefore(left, first)) {
                first = left;
            }
            if (right < this.heap.length && this.isBefore(right, first)) {
                first = right;
            }
            if (first === index) {
                return;
            }
            this.swap(index, first);
            index = first;
        }
    }

    private isBefore(left: number, right: number): boolean {
        const one = this.heap[left]!;
        const other = this.heap[right]!;
        return one.priority < other.priority || (one.priority === other.priority && one.order < other.order);
    }

    private swap(left: number, right: number): void {
        const held = this.heap[left]!;
        this.heap[left] = this.heap[right]!;
        this.heap[right] = held;
    }
}
