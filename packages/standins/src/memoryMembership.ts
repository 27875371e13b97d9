import * as core from "@boragedale/core";
import * as protocol from "@boragedale/protocol";

/**
 * A membership that a test sets explicitly. An assignment's hash, modulo the number of live instances, selects its
 * holder.
 */
export class MemoryMembership extends protocol.Membership {
    readonly removed = new Set<core.InstanceId>();
    private readonly listeners = new Set<() => void>();
    private live: readonly core.InstanceDescription[];

    constructor(
        private readonly self: core.InstanceId,
        live: readonly core.InstanceId[] = [self],
    ) {
        super();
        this.live = live.map(createDescription);
    }

    setLive(live: readonly core.InstanceId[]): void {
        this.live = live.map(createDescription);
        this.listeners.forEach(listener => listener());
    }

    override getSelf(): core.InstanceId {
        return this.self;
    }

    override getLiveInstances(): readonly core.InstanceDescription[] {
        return this.live;
    }

    override tryGetHolder(assignment: string): core.InstanceId | undefined {
        const hash = [...assignment].reduce((sum, letter) => (sum * 31 + letter.charCodeAt(0)) >>> 0, 7);
        return this.live[hash % Math.max(1, this.live.length)]?.id;
    }

    override tryGetHolderIn(dataCentre: core.DataCentre, assignment: string): core.InstanceId | undefined {
        return this.tryGetHolder(assignment);
    }

    override isRemoved(instance: core.InstanceId): boolean {
        return this.removed.has(instance);
    }

    override onChange(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }
}

function createDescription(id: core.InstanceId): core.InstanceDescription {
    const url = `http://${id}.invalid`;
    return { id, dataCentre: "test", state: core.LifecycleState.Live, callerUrl: url, peerUrl: url, operatorUrl: url };
}
