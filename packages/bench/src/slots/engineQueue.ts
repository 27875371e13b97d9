import type * as simulation from "../simulation.js";

/** Time from the start of a request on an engine of usual speed to its first event. */
export const FirstEventMilliseconds = 12;
/** Time between two events of a request that runs alone on an engine of usual speed. */
export const EventMilliseconds = 36;
/** Growth of the time between events from an engine with one request to one whose slots are all occupied. */
const FillGrowth = 0.1;

/** A request whose events are produced one by one, so that changes of the engine's speed apply to it while it runs. */
export interface EventRequest {
    readonly events: number;
    readonly onEvent: (isFirst: boolean) => void;
    readonly onEnd: () => void;
}

interface QueuedRequest {
    isEnded: boolean;
    /** Absent until the request has a slot. */
    end?: () => void;
    readonly run: () => void;
}

/** A simulated engine reduced to its slots: runs up to `slots` requests concurrently, in order of arrival. */
export class EngineQueue {
    /** Speed relative to the usual one; may change while requests run. */
    speed = 1;
    /** Work done for requests with events, as the time that it takes on an engine of usual speed with one request. */
    workMilliseconds = 0;

    private running = 0;
    private readonly waiting: QueuedRequest[] = [];

    constructor(
        private readonly time: simulation.Simulation,
        private readonly slots: number,
    ) {}

    add(milliseconds: number, onFirst: () => void, onEnd: () => void): void {
        this.enqueue(queued => {
            this.time.schedule(FirstEventMilliseconds, onFirst);
            this.time.schedule(milliseconds, () => {
                onEnd();
                queued.end?.();
            });
        });
    }

    /** Returns a function that aborts the request, which frees its slot at once; `onEnd` isn't called then. */
    addRequest(request: EventRequest): () => void {
        const queued = this.enqueue(entry => this.produce(entry, request, 1, FirstEventMilliseconds));
        return () => {
            if (queued.isEnded) {
                return;
            }
            queued.isEnded = true;
            queued.end?.();
        };
    }

    private produce(queued: QueuedRequest, request: EventRequest, event: number, work: number): void {
        const fill = event === 1 ? 0 : ((this.running - 1) / Math.max(1, this.slots - 1)) * FillGrowth;
        this.time.schedule((work * (1 + fill)) / this.speed, () => {
            if (queued.isEnded) {
                return;
            }
            this.workMilliseconds += work;
            request.onEvent(event === 1);
            if (event < request.events) {
                this.produce(queued, request, event + 1, EventMilliseconds);
                return;
            }
            queued.isEnded = true;
            request.onEnd();
            queued.end?.();
        });
    }

    private enqueue(run: (queued: QueuedRequest) => void): QueuedRequest {
        const queued: QueuedRequest = { isEnded: false, run: () => run(queued) };
        this.waiting.push(queued);
        this.startWaiting();
        return queued;
    }

    private startWaiting(): void {
        while (this.running < this.slots) {
            const next = this.waiting.shift();
            if (next === undefined) {
                return;
            }
            if (next.isEnded) {
                continue;
            }
            this.running++;
            next.end = () => {
                this.running--;
                this.startWaiting();
            };
            next.run();
        }
    }
}
