import * as core from "@boragedale/core";
import type * as upstreams from "@boragedale/upstreams";
import * as fleetCapacity from "./fleetCapacity.js";

/** An engine whose desired state a note changes, and whether the change reads from the weight store. */
export interface AffectedUpstream {
    readonly id: core.UpstreamId;
    readonly needsLoad: boolean;
}

/** Returns one line for each addition (`+`), change (`~`) and removal (`-`) between the two fleets. */
export function describeDifferences(
    before: core.FleetDescription | undefined,
    after: core.FleetDescription,
): readonly string[] {
    return [
        ...describeList("model", before?.models ?? [], after.models),
        ...describeList("upstream", before?.upstreams ?? [], after.upstreams),
        ...describeList("service", before?.services ?? [], after.services),
        ...describeList("caller", before?.callers ?? [], after.callers),
        ...describeFields("policy", before?.policy ?? {}, after.policy),
        ...describeFields("weightStore", before?.weightStore ?? {}, after.weightStore),
    ];
}

/** Returns the engines whose desired state differs between the two fleets. */
export function getAffectedUpstreams(
    before: core.FleetDescription | undefined,
    after: core.FleetDescription,
): readonly AffectedUpstream[] {
    const affected: AffectedUpstream[] = [];
    for (const upstream of after.upstreams.filter(candidate => candidate.kind === core.UpstreamKind.Engine)) {
        const old = before?.upstreams.find(candidate => candidate.id === upstream.id);
        const oldModels = before === undefined || old === undefined ? [] : getDesiredModels(before, old);
        const newModels = getDesiredModels(after, upstream);
        if (old?.role !== upstream.role || !holdsSameModels(oldModels, newModels)) {
            affected.push({ id: upstream.id, needsLoad: needsLoad(oldModels, newModels) });
        }
    }
    return affected;
}

/**
 * Returns a lower bound of the number of sequential loads. The weight store allows `concurrentLoads` loads at once; a
 * model's floor limits how many of the engines that serve it may load at once. Engines that did not serve the model
 * before the note aren't limited by its floor.
 */
export function countRounds(before: core.FleetDescription | undefined, after: core.FleetDescription): number {
    const loading = getAffectedUpstreams(before, after).filter(upstream => upstream.needsLoad);
    const byLoadLimit = Math.ceil(loading.length / after.weightStore.concurrentLoads);
    const byFloors = after.models.map(model => countRoundsOfModel(before, after, model, loading));
    return Math.max(byLoadLimit, ...byFloors);
}

function countRoundsOfModel(
    before: core.FleetDescription | undefined,
    after: core.FleetDescription,
    model: core.ModelDescription,
    loading: readonly AffectedUpstream[],
): number {
    const held = (before?.upstreams ?? []).filter(upstream => upstream.models.includes(model.id));
    const affectedCount = held.filter(upstream => loading.some(candidate => candidate.id === upstream.id)).length;
    const getSpare = (requestClass: core.RequestClass, floor: number): number =>
        fleetCapacity.countAssignedUpstreams(after, model.id, requestClass) - floor;
    const spare = Math.min(
        getSpare(core.RequestClass.Online, model.onlineFloor),
        getSpare(core.RequestClass.Batch, model.batchFloor),
    );
    return affectedCount === 0 ? 0 : Math.ceil(affectedCount / Math.max(1, spare));
}

/**
 * Returns the models that an engine has to hold, with their versions and adapters, in the order of the fleet's models.
 */
export function getDesiredModels(
    fleet: core.FleetDescription,
    upstream: core.UpstreamDescription,
): readonly upstreams.HeldModel[] {
    return fleet.models
        .filter(model => upstream.models.includes(model.id))
        .map(model => ({ model: model.id, version: model.version, adapters: model.adapters }));
}

export function holdsSameModels(left: readonly upstreams.HeldModel[], right: readonly upstreams.HeldModel[]): boolean {
    return formatHeldModels(left) === formatHeldModels(right);
}

/** Whether going from `left` to `right` reads a model version or an adapter from the weight store. */
export function needsLoad(left: readonly upstreams.HeldModel[], right: readonly upstreams.HeldModel[]): boolean {
    return right.some(wanted => {
        const held = left.find(candidate => candidate.model === wanted.model && candidate.version === wanted.version);
        const isHeld = (adapter: core.AdapterDescription): boolean =>
            held?.adapters.some(other => other.id === adapter.id && other.version === adapter.version) === true;
        return held === undefined || !wanted.adapters.every(isHeld);
    });
}

/**
 * Formats held models as in `heron@2.1+booking@4`. Models and adapters are sorted, so that the text doesn't depend on
 * the order in which an engine reports them.
 */
export function formatHeldModels(models: readonly upstreams.HeldModel[]): string {
    const formatModel = (held: upstreams.HeldModel): string => {
        const adapters = held.adapters.map(adapter => `+${adapter.id}@${adapter.version}`).sort();
        return `${held.model}@${held.version}${adapters.join("")}`;
    };
    return models.map(formatModel).sort().join(", ");
}

function describeList<T extends { readonly id: string }>(
    noun: string,
    before: readonly T[],
    after: readonly T[],
): readonly string[] {
    const old = new Map(before.map(value => [value.id, value]));
    const kept = new Set(after.map(value => value.id));
    const lines = after.flatMap(value => {
        const previous = old.get(value.id);
        return previous === undefined
            ? [`+ ${noun} ${value.id}`]
            : describeFields(`${noun} ${value.id}`, previous, value);
    });
    return [...lines, ...before.filter(value => !kept.has(value.id)).map(value => `- ${noun} ${value.id}`)];
}

function describeFields(subject: string, before: object, after: object): readonly string[] {
    const old = new Map(Object.entries(before));
    return Object.entries(after)
        .filter(([field, value]) => JSON.stringify(old.get(field)) !== JSON.stringify(value))
        .map(([field, value]) => `~ ${subject}: ${field} ${formatValue(old.get(field))} -> ${formatValue(value)}`);
}

function formatValue(value: unknown): string {
    return value === undefined ? "unset" : typeof value === "string" ? value : JSON.stringify(value);
}
