import * as core from "@boragedale/core";

/** Requests of this instance that run on one upstream. */
export interface InFlight {
    readonly online: number;
    readonly batch: number;
}

const None: InFlight = { online: 0, batch: 0 };

/** Counts what this instance has running on each upstream; the base of every choice, since reports lag. */
export class UpstreamLoad {
    private readonly counts = new Map<core.UpstreamId, InFlight>();

    get(upstream: core.UpstreamId): InFlight {
        return this.counts.get(upstream) ?? None;
    }

    getTotal(upstream: core.UpstreamId): number {
        const { online, batch } = this.get(upstream);
        return online + batch;
    }

    /** Adds a request; the returned function takes it away again. */
    add(upstream: core.UpstreamId, requestClass: core.RequestClass): () => void {
        this.change(upstream, requestClass, 1);
        let isCounted = true;
        return () => {
            if (isCounted) {
                isCounted = false;
                this.change(upstream, requestClass, -1);
            }
        };
    }

    private change(upstream: core.UpstreamId, requestClass: core.RequestClass, amount: number): void {
        const { online, batch } = this.get(upstream);
        const next =
            requestClass === core.RequestClass.Online
                ? { online: online + amount, batch }
                : { online, batch: batch + amount };
        if (next.online === 0 && next.batch === 0) {
            this.counts.delete(upstream);
        }
        else {
            this.counts.set(upstream, next);
        }
    }
}
