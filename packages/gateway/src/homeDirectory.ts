import type * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import type * as fleetView from "./fleetView.js";
import type * as memberDirectory from "./memberDirectory.js";
import type * as types from "./types.js";

/**
 * In fleets with up to this many other members, every member is linked to all others and knows the use of every slot.
 * In larger fleets each member stays linked to this many others, because the number of messages to all members grows
 * with the square of the fleet.
 */
export const NeighbourCount = 15;

/** The subset of each list of other members, which stays the same object until the members change. */
const subsets = new WeakMap<readonly memberDirectory.Member[], readonly core.InstanceId[]>();

/** The members that this one stays linked to: a subset of the fleet, and those that watch the store for it. */
export function chooseNeighbours(
    members: memberDirectory.MemberDirectory,
    watchers: readonly core.InstanceId[],
): readonly core.InstanceId[] {
    const others = members.getOthers();
    if (others.length <= NeighbourCount) {
        return others.map(member => member.id);
    }
    return [...new Set([...chooseSubset(members), ...watchers.filter(id => id !== members.self.id)])];
}

function chooseSubset(members: memberDirectory.MemberDirectory): readonly core.InstanceId[] {
    const others = members.getOthers();
    const known = subsets.get(others);
    if (known !== undefined) {
        return known;
    }
    const ids = others.map(member => member.id);
    const chosen = decisions.chooseSubset(members.self.id, ids, NeighbourCount);
    subsets.set(others, chosen);
    return chosen;
}

/** Determines which member coordinates which engine. The coordinator decides who may use the engine's slots. */
export class CoordinatorDirectory {
    /** Computed on first use after a change. */
    private coordinators: ReadonlyMap<core.UpstreamId, core.InstanceId> | undefined;
    private readonly enginesByCoordinator = new Map<core.InstanceId, core.UpstreamId[]>();
    private readonly otherCoordinators = new Map<string, ReadonlySet<core.InstanceId>>();

    constructor(
        private readonly members: memberDirectory.MemberDirectory,
        private readonly view: fleetView.FleetView,
        private readonly clock: core.Clock,
    ) {
        members.onChange(() => (this.coordinators = undefined));
        view.onChange(() => (this.coordinators = undefined));
    }

    /**
     * Whether coordinators grant slots, because the fleet is too large for every member to know the use of every slot.
     */
    areSlotsGranted(): boolean {
        return this.members.getOthers().length > NeighbourCount;
    }

    /**
     * Whether the service's upstreams are engines. Only slots of engines are granted: a plain service answers in tens
     * of milliseconds, and asking first would take a considerable part of that.
     */
    isEngineService(service: string): boolean {
        return this.view.getConfiguration()?.services.find(({ name }) => name === service)?.isEngine === true;
    }

    /** `SelfInstance` for this member; undefined for an upstream that is not known as an engine. */
    tryGetCoordinator(upstream: core.UpstreamId): core.InstanceId | undefined {
        this.coordinators ??= this.assign();
        const coordinator = this.coordinators.get(upstream);
        return coordinator === this.members.self.id ? decisions.SelfInstance : coordinator;
    }

    /** The engines of a service that this member coordinates. */
    getOwnEngines(service: string): readonly types.UpstreamEntry[] {
        const now = this.clock.now();
        this.coordinators ??= this.assign();
        const ids = this.enginesByCoordinator.get(this.members.self.id) ?? [];
        return ids.flatMap(id => {
            const entry = this.view.tryGetUsable(id, now);
            return entry?.service === service ? [entry] : [];
        });
    }

    /** The engines of all services that this member coordinates. */
    getAllOwnEngines(): readonly types.UpstreamEntry[] {
        const services = this.view.getConfiguration()?.services.filter(service => service.isEngine) ?? [];
        return services.flatMap(({ name }) => this.getOwnEngines(name));
    }

    /** The other members that coordinate an engine of the service. */
    getOtherCoordinators(service: string): ReadonlySet<core.InstanceId> {
        this.coordinators ??= this.assign();
        return this.otherCoordinators.get(service) ?? new Set();
    }

    /** The engines of a service that a member coordinates, as far as known here. */
    getEnginesOf(member: core.InstanceId, service: string): readonly core.UpstreamId[] {
        this.coordinators ??= this.assign();
        return (this.enginesByCoordinator.get(member) ?? []).filter(
            id => this.view.tryGetUpstream(id)?.service === service,
        );
    }

    /** The usable engines of a service. */
    getEngines(service: string): readonly core.UpstreamId[] {
        return this.view.getUsable(service, this.clock.now()).map(known => known.entry.id);
    }

    tryGetService(upstream: core.UpstreamId): string | undefined {
        return this.view.tryGetUpstream(upstream)?.service;
    }

    isInSameDataCentre(coordinator: core.InstanceId): boolean {
        return this.members.tryGet(coordinator)?.dataCentre === this.members.self.dataCentre;
    }

    private assign(): ReadonlyMap<core.UpstreamId, core.InstanceId> {
        const members = this.members.getMembers();
        const services = this.view.getConfiguration()?.services.filter(service => service.isEngine) ?? [];
        const assigned = new Map<core.UpstreamId, core.InstanceId>();
        this.otherCoordinators.clear();
        for (const { name } of services) {
            const upstreams = this.view.getUsable(name, this.clock.now()).map(known => known.entry);
            const ofService = decisions.assignCoordinators(upstreams, members);
            ofService.forEach((coordinator, upstream) => assigned.set(upstream, coordinator));
            const coordinators = new Set(ofService.values());
            coordinators.delete(this.members.self.id);
            this.otherCoordinators.set(name, coordinators);
        }
        this.enginesByCoordinator.clear();
        assigned.forEach((coordinator, upstream) =>
            this.enginesByCoordinator.set(coordinator, [
                ...(this.enginesByCoordinator.get(coordinator) ?? []),
                upstream,
            ]),
        );
        return assigned;
    }
}
