import * as core from "@boragedale/core";
import * as fleetCapacity from "./fleetCapacity.js";
import * as noteDifferences from "./noteDifferences.js";
import * as noteDocument from "./noteDocument.js";
import * as noteMerge from "./noteMerge.js";
import * as noteSchema from "./noteSchema.js";
import type * as types from "./types.js";

/**
 * Parses a release note and applies it to `base`, the fleet of the note in force (undefined for the first note).
 * Reports all errors at once, each with its line and column. Has no side effects.
 */
export function checkNote(
    source: string,
    file: string,
    base: core.FleetDescription | undefined,
): core.Checked<types.CheckedNote> {
    if (Buffer.byteLength(source) > noteDocument.MaximumSourceBytes) {
        const place: core.FindingPlace = { kind: core.FindingPlaceKind.File, file, line: 1, column: 1 };
        const limit = noteDocument.MaximumSourceBytes;
        return { ok: false, findings: [core.createFinding(core.messages.NoteTooLarge, place, limit)] };
    }
    const document = new noteDocument.NoteDocument(source, file);
    const syntaxFindings = document.getSyntaxFindings();
    if (syntaxFindings.length > 0) {
        return { ok: false, findings: syntaxFindings };
    }
    const plain = document.read();
    if (!plain.ok) {
        return plain;
    }
    const parsed = noteSchema.NoteSchema.safeParse(plain.value);
    if (!parsed.success) {
        return { ok: false, findings: document.createShapeFindings(parsed.error.issues) };
    }
    return checkContent(source, parsed.data, base, document);
}

function checkContent(
    source: string,
    note: noteSchema.Note,
    base: core.FleetDescription | undefined,
    document: noteDocument.NoteDocument,
): core.Checked<types.CheckedNote> {
    const merge = noteMerge.mergeNote(note, base, document);
    const checker = new FleetChecker(merge, base, document);
    const differences = noteDifferences.describeDifferences(base, merge.fleet);
    const findings = [...merge.findings, ...checker.check()];
    if (findings.length === 0 && differences.length === 0) {
        findings.push(core.createWarning(core.messages.NoteEmpty, document.getPlace([])));
    }
    findings.sort(compareByPlace);
    if (core.hasErrors(findings)) {
        return { ok: false, findings };
    }
    const affected = noteDifferences.getAffectedUpstreams(base, merge.fleet);
    const checked: types.CheckedNote = {
        source,
        fleet: merge.fleet,
        differences,
        affectedUpstreams: affected.map(upstream => upstream.id),
        loads: affected.filter(upstream => upstream.needsLoad).length,
        rounds: noteDifferences.countRounds(base, merge.fleet),
    };
    return { ok: true, value: checked, findings };
}

function compareByPlace(left: core.Finding, right: core.Finding): number {
    if (left.place.kind !== core.FindingPlaceKind.File || right.place.kind !== core.FindingPlaceKind.File) {
        return 0;
    }
    return left.place.line - right.place.line || left.place.column - right.place.column;
}

/** Checks constraints across entries: references, floors, duplicate addresses and tokens. */
class FleetChecker {
    private readonly findings: core.Finding[] = [];
    private readonly fleet: core.FleetDescription;

    constructor(
        private readonly merge: noteMerge.MergeResult,
        private readonly base: core.FleetDescription | undefined,
        private readonly document: noteDocument.NoteDocument,
    ) {
        this.fleet = merge.fleet;
    }

    check(): readonly core.Finding[] {
        this.checkUpstreams();
        this.checkServices();
        this.checkCallers();
        for (const model of this.fleet.models) {
            this.checkFloor(model, core.RequestClass.Online, model.onlineFloor);
            this.checkFloor(model, core.RequestClass.Batch, model.batchFloor);
        }
        return this.findings;
    }

    private checkUpstreams(): void {
        const models = new Set(this.fleet.models.map(model => model.id));
        const urls = new Set<string>();
        for (const upstream of this.fleet.upstreams) {
            const subject = `upstream/${upstream.id}`;
            const unknown = upstream.models.filter(model => !models.has(model));
            unknown.forEach(model => this.reportUnknownReference(subject, ["models"], "model", model));
            if (new Set(upstream.models).size < upstream.models.length) {
                this.report(core.messages.NoteDuplicate, subject, ["models"], "a model of upstream", upstream.id);
            }
            if (upstream.kind === core.UpstreamKind.Service && upstream.models.length > 0) {
                const text = "a plain service holds no models";
                this.report(core.messages.NoteShape, subject, ["models"], `${upstream.id}.models`, text);
            }
            if (urls.has(upstream.url)) {
                this.report(core.messages.NoteDuplicate, subject, ["url"], "the address", upstream.url);
            }
            urls.add(upstream.url);
        }
    }

    private checkServices(): void {
        const upstreams = new Map(this.fleet.upstreams.map(upstream => [upstream.id, upstream]));
        for (const service of this.fleet.services) {
            const subject = `service/${service.id}`;
            for (const id of service.upstreams) {
                const upstream = upstreams.get(id);
                if (upstream === undefined) {
                    this.reportUnknownReference(subject, ["upstreams"], "upstream", id);
                }
                else if (upstream.kind !== core.UpstreamKind.Service) {
                    const text = `upstream '${id}' is a model engine`;
                    this.report(core.messages.NoteShape, subject, ["upstreams"], `${service.id}.upstreams`, text);
                }
            }
            service.routes.forEach((route, index) => this.checkRoute(subject, service, route, index));
        }
    }

    private checkRoute(
        subject: string,
        service: core.ServiceDescription,
        route: core.RouteDescription,
        index: number,
    ): void {
        const isAskable = route.safety === core.CallSafety.Askable;
        const name = `${service.id}.routes.${index}.askPath`;
        if (isAskable && route.askPath?.includes("{key}") !== true) {
            const text = "an askable route needs a path with '{key}'";
            this.report(core.messages.NoteShape, subject, ["routes", index, "askPath"], name, text);
        }
        if (!isAskable && route.askPath !== undefined) {
            const text = `only a route of safety '${core.CallSafety.Askable}' has one`;
            this.report(core.messages.NoteShape, subject, ["routes", index, "askPath"], name, text);
        }
        const isSame = (other: core.RouteDescription): boolean =>
            other.method === route.method && other.path === route.path;
        if (service.routes.findIndex(isSame) < index) {
            const text = `${route.method} ${route.path}`;
            this.report(core.messages.NoteDuplicate, subject, ["routes", index], "the route", text);
        }
    }

    /** Two callers with the same token would be indistinguishable, and each could read the other's results. */
    private checkCallers(): void {
        const hashes = new Set<string>();
        for (const caller of this.fleet.callers) {
            if (hashes.has(caller.tokenHash)) {
                const subject = `caller/${caller.id}`;
                this.report(core.messages.NoteDuplicate, subject, ["tokenHash"], "the token of caller", caller.id);
            }
            hashes.add(caller.tokenHash);
        }
    }

    /**
     * Rejects a floor that the assigned upstreams can't meet. Such a floor would block the rollout permanently halfway
     * through, which is the failure that release notes exist to prevent.
     */
    private checkFloor(model: core.ModelDescription, requestClass: core.RequestClass, floor: number): void {
        const assigned = fleetCapacity.countAssignedUpstreams(this.fleet, model.id, requestClass);
        const subject = `model/${model.id}`;
        const field = requestClass === core.RequestClass.Online ? "onlineFloor" : "batchFloor";
        if (floor > assigned) {
            const message = core.messages.NoteFloorUnreachable;
            this.report(message, subject, [field], model.id, floor, requestClass, assigned);
        }
        else if (floor > 0 && floor === assigned && this.changesExistingModel(model)) {
            this.report(core.messages.NoteFloorBlocks, subject, [field], model.id, floor, requestClass);
        }
    }

    private changesExistingModel(model: core.ModelDescription): boolean {
        const before = this.base?.models.find(candidate => candidate.id === model.id);
        const isSame = (left: core.ModelDescription, right: core.ModelDescription): boolean =>
            JSON.stringify([left.version, left.adapters]) === JSON.stringify([right.version, right.adapters]);
        return before !== undefined && !isSame(before, model);
    }

    private reportUnknownReference(subject: string, path: noteDocument.Path, noun: string, key: string): void {
        // Report the reference itself if the note contains it, and otherwise the withdrawal of its target.
        const start = this.merge.places.get(subject) ?? this.merge.places.get(`${noun}/${key}`) ?? [];
        const place = this.document.getPlace(this.merge.places.has(subject) ? [...start, ...path] : start);
        this.findings.push(core.createFinding(core.messages.NoteUnknownReference, place, noun, key));
    }

    private report(
        message: core.messages.Message,
        subject: string,
        path: noteDocument.Path,
        ...values: readonly core.messages.Value[]
    ): void {
        const place = this.document.getPlace([...(this.merge.places.get(subject) ?? []), ...path]);
        this.findings.push(core.createFinding(message, place, ...values));
    }
}
