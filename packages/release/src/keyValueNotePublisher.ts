import * as crypto from "node:crypto";
import * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as telemetry from "@boragedale/telemetry";
import * as noteChecker from "./noteChecker.js";
import * as noteStore from "./noteStore.js";
import * as services from "./services.js";
import * as types from "./types.js";

export interface PublisherOptions {
    readonly keyValue: backing.KeyValueService;
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    /** Creates the text by which a publisher recognises its own write; random by default. */
    readonly createNonce?: () => string;
}

/**
 * Attempts of one publish while the service does not answer, and the delay after the first attempt; the delay doubles
 * after each attempt.
 */
const MaximumAttempts = 5;
const FirstRetryDelayMilliseconds = 50;
const HistoryPageSize = 200;

interface CurrentNote {
    readonly revision: backing.Revision;
    readonly note: core.NoteInForce | undefined;
}

type Attempt =
    | { readonly isFinal: true; readonly outcome: types.PublishOutcome }
    | { readonly isFinal: false; readonly text: string; readonly mayBeWritten: boolean };

/**
 * Publishes a note by a compare-and-swap on the current note. When two operators replace the same generation, one of
 * them gets a conflict with the note that was published first. When the reply to a write is lost, the note is read back
 * and recognised by its nonce, so that it is never published twice.
 */
export class KeyValueNotePublisher extends services.NotePublisher {
    private readonly createNonce: () => string;

    constructor(private readonly options: PublisherOptions) {
        super();
        this.createNonce = options.createNonce ?? ((): string => crypto.randomUUID());
    }

    override async publish(request: types.PublishRequest): Promise<types.PublishOutcome> {
        const nonce = this.createNonce();
        let text = "";
        let mayBeWritten = false;
        let attemptsLeft = MaximumAttempts;
        for (let delayMilliseconds = FirstRetryDelayMilliseconds; attemptsLeft > 0; delayMilliseconds *= 2) {
            const result = await this.tryPublish(request, nonce);
            if (result.isFinal) {
                return result.outcome;
            }
            text = result.text;
            attemptsLeft--;
            if (result.mayBeWritten && !mayBeWritten) {
                // A note that may have been written must be read back, even when the reply to the last attempt was
                // lost.
                mayBeWritten = true;
                attemptsLeft = MaximumAttempts;
                delayMilliseconds = FirstRetryDelayMilliseconds;
            }
            await this.options.clock.sleep(delayMilliseconds);
        }
        const hint = mayBeWritten ? "; it may be in force: publish the same note again to know" : "";
        return { kind: types.PublishKind.Unavailable, text: text + hint };
    }

    override async readHistory(): Promise<core.Outcome<readonly types.HistoryEntry[]>> {
        const current = await this.readCurrent();
        if (!current.ok) {
            return createUnavailable();
        }
        const entries: types.HistoryEntry[] = [];
        let after: string | undefined;
        for (;;) {
            const page = await this.options.keyValue.list({
                prefix: noteStore.getHistoryPrefix(),
                after,
                limit: HistoryPageSize,
                purpose: backing.CallPurpose.Read,
            });
            if (!page.ok) {
                return createUnavailable();
            }
            entries.push(...page.value.flatMap(entry => createHistoryEntry(entry)));
            after = page.value.at(-1)?.key;
            if (page.value.length < HistoryPageSize) {
                const inForce = current.value.note?.generation ?? 0;
                const complete = addMissingCurrent(entries, current.value.note);
                return core.createSuccess(complete.map(entry => addOutcome(entry, inForce)));
            }
        }
    }

    /** Makes one attempt. Repeating it is harmless, since the revision that it replaces can be replaced only once. */
    private async tryPublish(request: types.PublishRequest, nonce: string): Promise<Attempt> {
        const current = await this.readCurrent();
        if (!current.ok) {
            return { isFinal: false, text: current.text, mayBeWritten: false };
        }
        const { note, revision } = current.value;
        if (note !== undefined && isSamePublish(note, request, nonce)) {
            return this.createPublished(note, []);
        }
        if ((note?.generation ?? 0) !== request.replaces) {
            return this.resolveConflict(request, nonce, note);
        }
        const checked = noteChecker.checkNote(request.source, request.file, note?.fleet);
        if (!checked.ok) {
            return { isFinal: true, outcome: { kind: types.PublishKind.Invalid, findings: checked.findings } };
        }
        if (note !== undefined) {
            await this.writeHistory(note, undefined);
        }
        return this.swapCurrentNote(this.createNote(request, checked.value, nonce), revision, checked);
    }

    private createNote(request: types.PublishRequest, checked: types.CheckedNote, nonce: string): core.NoteInForce {
        return {
            generation: request.replaces + 1,
            fleet: checked.fleet,
            source: request.source,
            author: request.author,
            publishedAt: this.options.clock.wallNow(),
            nonce,
        };
    }

    private async swapCurrentNote(
        note: core.NoteInForce,
        revision: backing.Revision,
        checked: core.Checked<types.CheckedNote> & { readonly ok: true },
    ): Promise<Attempt> {
        const value = noteStore.encodeNote(note);
        if (value.byteLength > backing.MaximumValueBytes) {
            return { isFinal: true, outcome: createTooLarge(note) };
        }
        const result = await this.options.keyValue.compareAndSwap({
            key: noteStore.CurrentNoteKey,
            expectedRevision: revision,
            value,
            purpose: backing.CallPurpose.Note,
        });
        if (!result.ok) {
            const mayBeWritten = result.failure.kind === backing.KeyValueFailureKind.ReplyLost;
            return { isFinal: false, text: result.failure.text, mayBeWritten };
        }
        if (!result.value.swapped) {
            // The next attempt reads the note that won, which may be the one that an earlier attempt of this publish
            // wrote.
            return { isFinal: false, text: "another note was published at the same moment", mayBeWritten: false };
        }
        await this.writeHistory(note, checked.value.differences);
        return this.createPublished(note, checked.findings);
    }

    /**
     * Handles a current generation that differs from the one to replace. After a lost reply the request's own note may
     * have been in force and been replaced already; its history record still has the nonce.
     */
    private async resolveConflict(
        request: types.PublishRequest,
        nonce: string,
        current: core.NoteInForce | undefined,
    ): Promise<Attempt> {
        const key = noteStore.getHistoryKey(request.replaces + 1);
        const entry = await this.options.keyValue.get(key, backing.CallPurpose.Note);
        if (!entry.ok) {
            return { isFinal: false, text: entry.failure.text, mayBeWritten: false };
        }
        const record = entry.value === undefined ? undefined : noteStore.tryDecodeHistory(entry.value.value);
        if (record?.nonce === nonce && current !== undefined) {
            return this.createPublished(current, []);
        }
        return { isFinal: true, outcome: { kind: types.PublishKind.Conflict, current } };
    }

    private createPublished(note: core.NoteInForce, findings: readonly core.Finding[]): Attempt {
        this.options.telemetry.record(telemetry.events.NotePublished, { generation: note.generation });
        return { isFinal: true, outcome: { kind: types.PublishKind.Published, note, findings } };
    }

    /**
     * Writes a history record on a best-effort basis. When a publisher fails between writing the note and its record,
     * the next publisher writes the missing record before it replaces the note. The write requires that the key is
     * absent, so repeating it is harmless.
     */
    private async writeHistory(note: core.NoteInForce, differences: readonly string[] | undefined): Promise<void> {
        const record: noteStore.HistoryRecord = {
            generation: note.generation,
            author: note.author,
            publishedAt: note.publishedAt,
            differences: differences ?? [],
            source: note.source,
            nonce: note.nonce,
        };
        await this.options.keyValue.compareAndSwap({
            key: noteStore.getHistoryKey(note.generation),
            expectedRevision: 0,
            value: noteStore.encodeHistory(record),
            purpose: backing.CallPurpose.Note,
        });
    }

    private async readCurrent(): Promise<
        { readonly ok: true; readonly value: CurrentNote } | { readonly ok: false; readonly text: string }
    > {
        const result = await this.options.keyValue.get(noteStore.CurrentNoteKey, backing.CallPurpose.Note);
        if (!result.ok) {
            return { ok: false, text: result.failure.text };
        }
        if (result.value === undefined) {
            return { ok: true, value: { revision: 0, note: undefined } };
        }
        const note = noteStore.tryDecodeNote(result.value.value);
        return note === undefined
            ? { ok: false, text: "the stored note can't be read by this version" }
            : { ok: true, value: { revision: result.value.revision, note } };
    }
}

/**
 * Whether the note is the write of an earlier attempt, or the same note that an operator publishes again after the
 * answer to the first request was lost.
 */
function isSamePublish(note: core.NoteInForce, request: types.PublishRequest, nonce: string): boolean {
    const isRepeated = note.source === request.source && note.author === request.author;
    return note.generation === request.replaces + 1 && (note.nonce === nonce || isRepeated);
}

function createHistoryEntry(entry: backing.Entry): readonly types.HistoryEntry[] {
    const record = noteStore.tryDecodeHistory(entry.value);
    if (record === undefined) {
        return [];
    }
    const { generation, author, publishedAt, differences, reachedAt } = record;
    return [{ generation, author, publishedAt, differences, reachedAt }];
}

function addOutcome(entry: types.HistoryEntry, inForce: core.Generation): types.HistoryEntry {
    const unreached = entry.generation < inForce ? types.NoteOutcome.Replaced : types.NoteOutcome.InProgress;
    return { ...entry, outcome: entry.reachedAt === undefined ? unreached : types.NoteOutcome.Reached };
}

function addMissingCurrent(
    entries: readonly types.HistoryEntry[],
    note: core.NoteInForce | undefined,
): readonly types.HistoryEntry[] {
    if (note === undefined || entries.some(entry => entry.generation === note.generation)) {
        return entries;
    }
    const { generation, author, publishedAt } = note;
    return [...entries, { generation, author, publishedAt, differences: [] }];
}

function createTooLarge(note: core.NoteInForce): types.PublishOutcome {
    const place: core.FindingPlace = { kind: core.FindingPlaceKind.Request, path: `generation ${note.generation}` };
    const finding = core.createFinding(core.messages.NoteTooLarge, place, backing.MaximumValueBytes);
    return { kind: types.PublishKind.Invalid, findings: [finding] };
}

function createUnavailable(): core.Outcome<never> {
    return core.createFailure(
        core.createRefusal({
            kind: core.RefusalKind.KeyValueDown,
            message: core.messages.KeyValueDown,
            certainty: core.RunCertainty.NotRun,
            retryAfterMilliseconds: 1_000,
        }),
    );
}
