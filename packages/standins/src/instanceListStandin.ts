import * as core from "@boragedale/core";
import * as httpServer from "./httpServer.js";

/** Faults of the instance list. */
export interface InstanceListFaults extends httpServer.ConnectionFaults {
    /** Delay until a change becomes visible. */
    lagMilliseconds: number;
}

export interface InstanceListOptions extends httpServer.StandinOptions {
    readonly lagMilliseconds?: number;
    readonly instances?: readonly core.InstanceDescription[];
}

export interface InstanceListStandin extends httpServer.Standin<InstanceListFaults> {
    readonly put: (instance: core.InstanceDescription) => void;
    readonly remove: (id: core.InstanceId) => void;
}

/** Starts a stand-in for the instance list, in which each change becomes visible only after a delay. */
export async function createInstanceListStandin(options: InstanceListOptions = {}): Promise<InstanceListStandin> {
    const clock = options.clock ?? new core.SystemClock();
    const faults = { ...httpServer.createConnectionFaults(), lagMilliseconds: options.lagMilliseconds ?? 0 };
    const list = new DelayedInstanceList(clock, faults, options.instances ?? []);
    const server = new httpServer.StandinServer();
    httpServer.addFaultInjection({ server, faults, clock });
    server.app.get("/instances", async () => ({ instances: list.read() }));
    server.app.put<{ Params: { id: string } }>("/instances/:id", async request => {
        list.put({ ...(request.body as core.InstanceDescription), id: request.params.id });
        return {};
    });
    server.app.delete<{ Params: { id: string } }>("/instances/:id", async request => {
        list.remove(request.params.id);
        return {};
    });
    return {
        url: await server.listen(options.port),
        faults,
        put: instance => list.put(instance),
        remove: id => list.remove(id),
        [Symbol.asyncDispose]: () => server[Symbol.asyncDispose](),
    };
}

interface ListSnapshot {
    readonly at: core.MonotonicMilliseconds;
    readonly instances: ReadonlyMap<core.InstanceId, core.InstanceDescription>;
}

class DelayedInstanceList {
    /** Oldest first; the first one is always old enough to be visible. */
    private snapshots: ListSnapshot[];

    constructor(
        private readonly clock: core.Clock,
        private readonly faults: InstanceListFaults,
        instances: readonly core.InstanceDescription[],
    ) {
        this.snapshots = [{ at: -Infinity, instances: new Map(instances.map(instance => [instance.id, instance])) }];
    }

    read(): readonly core.InstanceDescription[] {
        const visibleUntil = this.clock.now() - this.faults.lagMilliseconds;
        const visible = this.snapshots.filter(snapshot => snapshot.at <= visibleUntil);
        this.snapshots = this.snapshots.slice(Math.max(0, visible.length - 1));
        return [...(this.snapshots[0]?.instances.values() ?? [])];
    }

    put(instance: core.InstanceDescription): void {
        this.change(instances => instances.set(instance.id, instance));
    }

    remove(id: core.InstanceId): void {
        this.change(instances => instances.delete(id));
    }

    private change(edit: (instances: Map<core.InstanceId, core.InstanceDescription>) => void): void {
        const instances = new Map(this.snapshots.at(-1)?.instances);
        edit(instances);
        this.snapshots.push({ at: this.clock.now(), instances });
    }
}
