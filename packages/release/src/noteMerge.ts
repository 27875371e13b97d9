import * as core from "@boragedale/core";
import type * as noteDocument from "./noteDocument.js";
import * as noteSchema from "./noteSchema.js";

interface PlacedAdapter extends core.AdapterDescription {
    readonly model: core.ModelId;
}

/** What one section of a note does to the things of one kind. */
interface Delta<T, C> {
    /** Section name, such as `models`. */
    readonly section: string;
    /** What one thing is called in a finding, such as `model`. */
    readonly noun: string;
    readonly base: readonly T[];
    readonly getKey: (value: T) => string;
    readonly added: readonly T[];
    readonly changed: readonly C[];
    readonly getChangedKey: (change: C) => string;
    readonly applyChange: (value: T, change: C) => T;
    readonly withdrawn: readonly string[];
}

/** The fleet after a note, with the place of everything that the note mentions. */
export interface Merge {
    readonly fleet: core.FleetDescription;
    readonly findings: readonly core.Finding[];
    /** Where the note adds, changes or withdraws a thing; keys such as `upstream/engine-1`. */
    readonly places: ReadonlyMap<string, noteDocument.Path>;
}

const EmptyFleet: core.FleetDescription = {
    models: [],
    upstreams: [],
    services: [],
    callers: [],
    weightStore: noteSchema.DefaultWeightStore,
    policy: noteSchema.DefaultPolicy,
};

/** Puts a note upon the fleet before it. Findings name what is added twice, or changed or withdrawn without being. */
export function mergeNote(
    note: noteSchema.Note,
    base: core.FleetDescription | undefined,
    document: noteDocument.NoteDocument,
): Merge {
    const merger = new Merger(document);
    const before = base ?? EmptyFleet;
    const bareModels = merger.merge({
        section: "models",
        noun: "model",
        base: before.models.map(model => ({ ...model, adapters: [] })),
        getKey: model => model.id,
        added: note.added.models.map(model => ({ ...model, adapters: [] })),
        changed: note.changed.models,
        getChangedKey: change => change.id,
        applyChange: applyDefined,
        withdrawn: note.withdrawn.models,
    });
    const adapters = merger.merge<PlacedAdapter, PlacedAdapter>({
        section: "adapters",
        noun: "adapter",
        base: getKeptAdapters(before, note),
        getKey: getAdapterKey,
        added: note.added.adapters,
        changed: note.changed.adapters,
        getChangedKey: getAdapterKey,
        applyChange: applyDefined,
        withdrawn: note.withdrawn.adapters.map(getAdapterKey),
    });
    const fleet: core.FleetDescription = {
        models: bareModels.map(model => ({ ...model, adapters: getAdaptersOf(model.id, adapters) })),
        upstreams: merger.merge({
            ...getIdDelta<core.UpstreamDescription>(
                note.added.upstreams,
                note.changed.upstreams,
                note.withdrawn.upstreams,
            ),
            section: "upstreams",
            noun: "upstream",
            base: before.upstreams,
        }),
        services: merger.merge({
            ...getIdDelta<core.ServiceDescription>(note.added.services, note.changed.services, note.withdrawn.services),
            section: "services",
            noun: "service",
            base: before.services,
        }),
        callers: merger.merge({
            ...getIdDelta<core.CallerDescription>(note.added.callers, note.changed.callers, note.withdrawn.callers),
            section: "callers",
            noun: "caller",
            base: before.callers,
        }),
        weightStore: applyDefined(before.weightStore, note.weightStore ?? {}),
        policy: applyDefined(before.policy, note.policy ?? {}),
    };
    reportStrayAdapters(adapters, fleet, merger);
    return { fleet, findings: merger.findings, places: merger.places };
}

class Merger {
    readonly findings: core.Finding[] = [];
    readonly places = new Map<string, noteDocument.Path>();

    constructor(private readonly document: noteDocument.NoteDocument) {}

    merge<T, C>(delta: Delta<T, C>): readonly T[] {
        const result = new Map(delta.base.map(value => [delta.getKey(value), value]));
        delta.changed.forEach((change, index) => {
            const key = delta.getChangedKey(change);
            const present = result.get(key);
            if (!this.claim(delta, "changed", index, key) || !this.require(delta, "changed", index, key, present)) {
                return;
            }
            result.set(key, delta.applyChange(present, change));
        });
        delta.withdrawn.forEach((key, index) => {
            const isFirst = this.claim(delta, "withdrawn", index, key);
            if (isFirst && this.require(delta, "withdrawn", index, key, result.get(key))) {
                result.delete(key);
            }
        });
        delta.added.forEach((value, index) => {
            const key = delta.getKey(value);
            if (!this.claim(delta, "added", index, key)) {
                return;
            }
            if (result.has(key)) {
                this.report(core.messages.NoteExists, ["added", delta.section, index], delta.noun, key);
            }
            result.set(key, value);
        });
        return [...result.values()];
    }

    report(message: core.messages.Message, path: noteDocument.Path, ...values: readonly core.messages.Value[]): void {
        this.findings.push(core.createFinding(message, this.document.getPlace(path), ...values));
    }

    /** A thing may stand in a note once: added and withdrawn together would depend on the order of reading. */
    private claim<T, C>(delta: Delta<T, C>, part: string, index: number, key: string): boolean {
        const name = `${delta.noun}/${key}`;
        if (this.places.has(name)) {
            this.report(core.messages.NoteDuplicate, [part, delta.section, index], delta.noun, key);
            return false;
        }
        this.places.set(name, [part, delta.section, index]);
        return true;
    }

    private require<T, C>(
        delta: Delta<T, C>,
        part: string,
        index: number,
        key: string,
        present: T | undefined,
    ): present is T {
        if (present === undefined) {
            this.report(core.messages.NoteMissing, [part, delta.section, index], delta.noun, key, part);
        }
        return present !== undefined;
    }
}

interface Named {
    readonly id: string;
}

function getIdDelta<T extends Named>(
    added: readonly T[],
    changed: readonly Named[],
    withdrawn: readonly string[],
): Pick<Delta<T, Named>, "getKey" | "added" | "changed" | "getChangedKey" | "applyChange" | "withdrawn"> {
    return {
        getKey: value => value.id,
        added,
        changed,
        getChangedKey: change => change.id,
        applyChange: applyDefined,
        withdrawn,
    };
}

/** Takes over what the change names; a field that it leaves out keeps its value. */
function applyDefined<T extends object>(value: T, change: object): T {
    const named = Object.entries(change).filter(([, field]) => field !== undefined);
    return { ...value, ...Object.fromEntries(named) };
}

/** The adapters of a withdrawn model go with it. */
function getKeptAdapters(base: core.FleetDescription, note: noteSchema.Note): readonly PlacedAdapter[] {
    return base.models
        .filter(model => !note.withdrawn.models.includes(model.id))
        .flatMap(model => model.adapters.map(adapter => ({ ...adapter, model: model.id })));
}

function getAdapterKey(adapter: { readonly model: string; readonly id: string }): string {
    return `${adapter.model}/${adapter.id}`;
}

function getAdaptersOf(model: core.ModelId, adapters: readonly PlacedAdapter[]): readonly core.AdapterDescription[] {
    return adapters
        .filter(adapter => adapter.model === model)
        .map(adapter => ({ id: adapter.id, version: adapter.version }));
}

function reportStrayAdapters(adapters: readonly PlacedAdapter[], fleet: core.FleetDescription, merger: Merger): void {
    const models = new Set(fleet.models.map(model => model.id));
    for (const adapter of adapters.filter(candidate => !models.has(candidate.model))) {
        const path = merger.places.get(`adapter/${getAdapterKey(adapter)}`) ?? [];
        merger.report(core.messages.NoteUnknownReference, path, "model", adapter.model);
    }
}
