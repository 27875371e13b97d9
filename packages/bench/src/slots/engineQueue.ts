import type * as simulation from "../simulation.js";

/** Time from the start of a request on the engine to its first event. */
const FirstEventMilliseconds = 12;

interface WaitingStream {
    readonly milliseconds: number;
    readonly onFirstEvent: () => void;
    readonly onEnd: () => void;
}

/** A simulated engine reduced to its slots: runs up to `slots` requests concurrently, in order of arrival. */
export class EngineQueue {
    private running = 0;
    private readonly waiting: WaitingStream[] = [];

    constructor(
        private readonly time: simulation.Simulation,
        private readonly slots: number,
    ) {}

    add(milliseconds: number, onFirst: () => void, onEnd: () => void): void {
        this.waiting.push({ milliseconds, onFirstEvent: onFirst, onEnd });
        this.startWaiting();
    }

    private startWaiting(): void {
        while (this.running < this.slots) {
            const next = this.waiting.shift();
            if (next === undefined) {
                return;
            }
            this.running++;
            this.time.schedule(FirstEventMilliseconds, next.onFirstEvent);
            this.time.schedule(next.milliseconds, () => {
                this.running--;
                next.onEnd();
                this.startWaiting();
            });
        }
    }
}
