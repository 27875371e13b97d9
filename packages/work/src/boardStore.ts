import type * as core from "@boragedale/core";
import * as backing from "@boragedale/backing";
import * as boards from "./board.js";
import * as codec from "./codec.js";
import * as jobRecords from "./jobRecords.js";
import * as swap from "./swap.js";

export interface BoardStoreOptions {
    readonly keyValue: backing.KeyValueService;
    readonly clock: core.Clock;
    readonly createId: () => string;
}

export type BoardResult =
    | { readonly ok: true; readonly board: boards.Board }
    | { readonly ok: false; readonly text: string; readonly mayBeWritten: boolean };

interface KnownBoard {
    readonly board: boards.Board;
    readonly revision: backing.Revision;
    readonly readAt: core.MonotonicMilliseconds;
}

/** More lost races in a row mean that the board is busier than this write is worth now. */
const MaximumConflicts = 16;
const KnownBoards = 256;

/** Reads boards and changes them under their revision, deciding again whenever somebody else was first. */
export class BoardStore {
    private readonly known = new Map<string, KnownBoard>();

    constructor(private readonly options: BoardStoreOptions) {}

    /** A board at most `maximumAge` milliseconds old. */
    async read(job: string, maximumAge = 0): Promise<BoardResult> {
        const known = this.known.get(job);
        if (known !== undefined && this.options.clock.now() - known.readAt < maximumAge) {
            return { ok: true, board: known.board };
        }
        const entry = await this.options.keyValue.get(jobRecords.getBoardKey(job), backing.CallPurpose.Read);
        if (!entry.ok) {
            return { ok: false, text: entry.failure.text, mayBeWritten: false };
        }
        return { ok: true, board: this.adopt(job, entry.value) };
    }

    /** Changes the board; `change` returns undefined where nothing is to be written. Resolves to the board after it. */
    async update(
        job: string,
        purpose: backing.CallPurpose,
        change: (board: boards.Board) => boards.Board | undefined,
    ): Promise<BoardResult> {
        let current = await this.read(job, Infinity);
        for (let conflicts = 0; conflicts < MaximumConflicts && current.ok; conflicts++) {
            const changed = change(current.board);
            if (changed === undefined) {
                return current;
            }
            const board = { ...changed, nonce: this.options.createId() };
            const written = await swap.writeValue(this.options.keyValue, this.options.clock, {
                key: jobRecords.getBoardKey(job),
                expectedRevision: this.known.get(job)?.revision ?? 0,
                value: codec.encode(board),
                purpose,
            });
            switch (written.kind) {
                case swap.WriteKind.Written:
                    this.remember(job, board, written.revision);
                    return { ok: true, board };
                case swap.WriteKind.Conflict:
                    current = { ok: true, board: this.adopt(job, written.current) };
                    break;
                case swap.WriteKind.Failed:
                    return { ok: false, text: written.text, mayBeWritten: false };
                case swap.WriteKind.Unknown:
                    this.known.delete(job);
                    return { ok: false, text: written.text, mayBeWritten: true };
            }
        }
        return current.ok ? { ok: false, text: "the job's board is contended", mayBeWritten: false } : current;
    }

    forget(job: string): void {
        this.known.delete(job);
    }

    private adopt(job: string, entry: backing.Entry | undefined): boards.Board {
        const board = entry === undefined ? boards.createBoard() : codec.decode<boards.Board>(entry.value);
        this.remember(job, board, entry?.revision ?? 0);
        return board;
    }

    private remember(job: string, board: boards.Board, revision: backing.Revision): void {
        this.known.delete(job);
        this.known.set(job, { board, revision, readAt: this.options.clock.now() });
        if (this.known.size > KnownBoards) {
            const [oldest] = this.known.keys();
            this.known.delete(oldest ?? "");
        }
    }
}
