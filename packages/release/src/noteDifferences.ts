import * as core from "@boragedale/core";
import type * as upstreams from "@boragedale/upstreams";
import * as fleetCapacity from "./fleetCapacity.js";

/** An engine that a note changes, and whether weights must be read from the weight store for it. */
export interface AffectedUpstream {
    readonly id: core.UpstreamId;
    readonly needsLoad: boolean;
}

/** One line for each thing that `after` has and `before` has not, has otherwise, or has no more. */
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

/** Engines whose desired state differs between the two fleets. */
export function getAffectedUpstreams(
    before: core.FleetDescription | undefined,
    after: core.FleetDescription,
): readonly AffectedUpstream[] {
    const affected: AffectedUpstream[] = [];
    for (const upstream of after.upstreams.filter(candidate => candidate.kind === core.UpstreamKind.Engine)) {
        const old = before?.upstreams.find(candidate => candidate.id === upstream.id);
        const oldModels = before === undefined || old === undefined ? [] : getDesiredModels(before, old);
        const newModels = getDesiredModels(after, upstream);
        if (old?.role !== upstream.role || !holdsSame(oldModels, newModels)) {
            affected.push({ id: upstream.id, needsLoad: needsLoad(oldModels, newModels) });
        }
    }
    return affected;
}

/**
 * How many loads the longest way takes one after the other. The store's rate allows `concurrentLoads` at once; a
 * model's floor allows as many of its engines to be away as it has above it. Engines that served nothing before the
 * note are held up by no floor.
 */
export function countRounds(before: core.FleetDescription | undefined, after: core.FleetDescription): number {
    const loading = getAffectedUpstreams(before, after).filter(upstream => upstream.needsLoad);
    const byRate = Math.ceil(loading.length / after.weightStore.concurrentLoads);
    const byFloors = after.models.map(model => countRoundsOfModel(before, after, model, loading));
    return Math.max(byRate, ...byFloors);
}

function countRoundsOfModel(
    before: core.FleetDescription | undefined,
    after: core.FleetDescription,
    model: core.ModelDescription,
    loading: readonly AffectedUpstream[],
): number {
    const held = (before?.upstreams ?? []).filter(upstream => upstream.models.includes(model.id));
    const taken = held.filter(upstream => loading.some(candidate => candidate.id === upstream.id)).length;
    const getSpare = (requestClass: core.RequestClass, floor: number): number =>
        fleetCapacity.countAssigned(after, model.id, requestClass) - floor;
    const spare = Math.min(
        getSpare(core.RequestClass.Online, model.onlineFloor),
        getSpare(core.RequestClass.Batch, model.batchFloor),
    );
    return taken === 0 ? 0 : Math.ceil(taken / Math.max(1, spare));
}

/** What an engine is to hold: its models at the versions and with the adapters of the note, sorted by name. */
export function getDesiredModels(
    fleet: core.FleetDescription,
    upstream: core.UpstreamDescription,
): readonly upstreams.HeldModel[] {
    return fleet.models
        .filter(model => upstream.models.includes(model.id))
        .map(model => ({ model: model.id, version: model.version, adapters: model.adapters }));
}

export function holdsSame(left: readonly upstreams.HeldModel[], right: readonly upstreams.HeldModel[]): boolean {
    return formatHeldModels(left) === formatHeldModels(right);
}

/** Whether something of `right` (a version or an adapter) has to be read from the weight store. */
export function needsLoad(left: readonly upstreams.HeldModel[], right: readonly upstreams.HeldModel[]): boolean {
    return right.some(wanted => {
        const held = left.find(candidate => candidate.model === wanted.model && candidate.version === wanted.version);
        const isHeld = (adapter: core.AdapterDescription): boolean =>
            held?.adapters.some(other => other.id === adapter.id && other.version === adapter.version) === true;
        return held === undefined || !wanted.adapters.every(isHeld);
    });
}

/** `heron@2.1+booking@4`, the same text for the same state whatever order an engine reports it in. */
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
