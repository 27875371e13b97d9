import * as core from "@boragedale/core";
import type * as noteDocument from "./noteDocument.js";
import * as noteSchema from "./noteSchema.js";

interface ModelAdapter extends core.AdapterDescription {
    readonly model: core.ModelId;
}

/** The additions, changes and withdrawals of one section of a note, with the entries that they apply to. */
interface SectionDelta<T, C> {
    /** Section name, such as `models`. */
    readonly section: string;
    /** What findings call one entry, such as `model`. */
    readonly noun: string;
    readonly base: readonly T[];
    readonly getKey: (value: T) => string;
    readonly added: readonly T[];
    readonly changed: readonly C[];
    readonly getChangedKey: (change: C) => string;
    readonly applyChange: (value: T, change: C) => T;
    readonly withdrawn: readonly string[];
}

/** The fleet after a note was applied, with the place of each entry in the note. */
export interface MergeResult {
    readonly fleet: core.FleetDescription;
    readonly findings: readonly core.Finding[];
    /** Path in the note at which an entry is added, changed or withdrawn, by keys such as `upstream/engine-1`. */
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

/**
 * Applies a note to the previous fleet. Reports entries that are mentioned twice, that are added although they exist,
 * and that are changed or withdrawn although they don't exist.
 */
export function mergeNote(
    note: noteSchema.Note,
    base: core.FleetDescription | undefined,
    document: noteDocument.NoteDocument,
): MergeResult {
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
    const adapters = merger.merge<ModelAdapter, ModelAdapter>({
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
    reportAdaptersOfUnknownModels(adapters, fleet, merger);
    return { fleet, findings: merger.findings, places: merger.places };
}

class Merger {
    readonly findings: core.Finding[] = [];
    readonly places = new Map<string, noteDocument.Path>();

    constructor(private readonly document: noteDocument.NoteDocument) {}

    merge<T, C>(delta: SectionDelta<T, C>): readonly T[] {
        const result = new Map(delta.base.map(value => [delta.getKey(value), value]));
        delta.changed.forEach((change, index) => {
            const key = delta.getChangedKey(change);
            const present = result.get(key);
            if (
                !this.registerMention(delta, "changed", index, key) ||
                !this.requirePresent(delta, "changed", index, key, present)
            ) {
                return;
            }
            result.set(key, delta.applyChange(present, change));
        });
        delta.withdrawn.forEach((key, index) => {
            const isFirst = this.registerMention(delta, "withdrawn", index, key);
            if (isFirst && this.requirePresent(delta, "withdrawn", index, key, result.get(key))) {
                result.delete(key);
            }
        });
        delta.added.forEach((value, index) => {
            const key = delta.getKey(value);
            if (!this.registerMention(delta, "added", index, key)) {
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

    /**
     * Registers the single place at which a note may mention an entry. An entry that is both added and withdrawn would
     * be ambiguous: the result would depend on the processing order.
     */
    private registerMention<T, C>(delta: SectionDelta<T, C>, part: string, index: number, key: string): boolean {
        const name = `${delta.noun}/${key}`;
        if (this.places.has(name)) {
            this.report(core.messages.NoteDuplicate, [part, delta.section, index], delta.noun, key);
            return false;
        }
        this.places.set(name, [part, delta.section, index]);
        return true;
    }

    private requirePresent<T, C>(
        delta: SectionDelta<T, C>,
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
): Pick<SectionDelta<T, Named>, "getKey" | "added" | "changed" | "getChangedKey" | "applyChange" | "withdrawn"> {
    return {
        getKey: value => value.id,
        added,
        changed,
        getChangedKey: change => change.id,
        applyChange: applyDefined,
        withdrawn,
    };
}

/** Applies the fields that the change defines; the other fields keep their values. */
function applyDefined<T extends object>(value: T, change: object): T {
    const named = Object.entries(change).filter(([, field]) => field !== undefined);
    return { ...value, ...Object.fromEntries(named) };
}

/** Returns the existing adapters without those of withdrawn models, which are withdrawn with their model. */
function getKeptAdapters(base: core.FleetDescription, note: noteSchema.Note): readonly ModelAdapter[] {
    return base.models
        .filter(model => !note.withdrawn.models.includes(model.id))
        .flatMap(model => model.adapters.map(adapter => ({ ...adapter, model: model.id })));
}

function getAdapterKey(adapter: { readonly model: string; readonly id: string }): string {
    return `${adapter.model}/${adapter.id}`;
}

function getAdaptersOf(model: core.ModelId, adapters: readonly ModelAdapter[]): readonly core.AdapterDescription[] {
    return adapters
        .filter(adapter => adapter.model === model)
        .map(adapter => ({ id: adapter.id, version: adapter.version }));
}

function reportAdaptersOfUnknownModels(
    adapters: readonly ModelAdapter[],
    fleet: core.FleetDescription,
    merger: Merger,
): void {
    const models = new Set(fleet.models.map(model => model.id));
    for (const adapter of adapters.filter(candidate => !models.has(candidate.model))) {
        const path = merger.places.get(`adapter/${getAdapterKey(adapter)}`) ?? [];
        merger.report(core.messages.NoteUnknownReference, path, "model", adapter.model);
    }
}
