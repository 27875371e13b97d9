import type * as core from "@boragedale/core";
import * as eventSource from "eventsource-parser";
import * as eventSplitter from "./eventSplitter.js";
import type * as ownedSubmission from "./ownedSubmission.js";
import * as rawHeaderList from "./rawHeaders.js";
import * as upstreamExchange from "./upstreamExchange.js";
import type * as wire from "./wire.js";

/** Outcome of one run of an item at one upstream. */
export enum ItemOutcomeKind {
    Completed = "Completed",
    /** The upstream ran the item and failed. Counts towards the item's attempts. */
    Failed = "Failed",
    /** The upstream rejected the item as impossible to complete. */
    Impossible = "Impossible",
    /** The upstream proved that it did not run the item. */
    NotRun = "NotRun",
    /** Another upstream answers at the address. It did not run the item. */
    Misdirected = "Misdirected",
    /** No connection was established. */
    NotSent = "NotSent",
    /** The run broke off. The item continues at any upstream. */
    Lost = "Lost",
    /** The run was stopped because nothing arrived for a while. The item continues at any upstream. */
    Silent = "Silent",
    /** The gateway stopped the run, for example to free the slot for an online request. */
    Stopped = "Stopped",
}

export interface ItemOutcome {
    readonly kind: ItemOutcomeKind;
    readonly text: string;
}

/** Status codes for batch items, as the platform defines them. */
const ServerFailedStatus = 500;
const ImpossibleStatus = 422;

/** Maximum size of a failure's or refusal's body that is read, so that the connection can be kept: those of sound upstreams are short. */
const MaximumFailureBytes = 65_536;
/** Maximum size of an item's texts. An upstream may send events without end, and a result of more than a megabyte couldn't be stored. */
const MaximumTextLength = 1_048_576;

/** One run of a batch item: collects its events and determines the outcome. */
export class ItemRun implements upstreamExchange.ExchangeHandler {
    readonly outcome: Promise<ItemOutcome>;
    private resolveOutcome: (outcome: ItemOutcome) => void = () => undefined;
    private exchange: upstreamExchange.RunningExchange | undefined;
    private isSettled = false;
    private status = 0;
    private failureBytes = 0;
    private textLength: number;
    /** Set if the answer proves that the item was not run. */
    private notRunKind: ItemOutcomeKind.NotRun | ItemOutcomeKind.Misdirected | undefined;
    private framing: core.BodyFraming | undefined;
    private readonly splitter = new eventSplitter.EventSplitter();
    private readonly parser: eventSource.EventSourceParser;

    constructor(
        readonly owned: ownedSubmission.OwnedItem,
        private readonly callerWire: wire.CallerWire,
        private readonly onProgress: () => void,
        /** Called with the number of events that arrived together. */
        private readonly onEvents: (count: number) => void = () => undefined,
    ) {
        this.outcome = new Promise(resolve => (this.resolveOutcome = resolve));
        this.textLength = owned.texts.reduce((sum, text) => sum + text.length, 0);
        this.parser = eventSource.createParser({ onEvent: event => this.handleEvent(event) });
    }

    attach(exchange: upstreamExchange.RunningExchange): void {
        this.exchange = exchange;
        if (this.isSettled) {
            exchange.abort();
        }
    }

    stop(kind: ItemOutcomeKind.Stopped | ItemOutcomeKind.Lost | ItemOutcomeKind.Silent, text: string): void {
        this.settle({ kind, text });
        this.exchange?.abort();
    }

    /** Returns undefined if no headers have arrived. */
    getFraming(): core.BodyFraming | undefined {
        return this.framing;
    }

    onSent(): void {}

    onHeaders(status: number, rawHeaders: string[]): void {
        if (this.isSettled) {
            return;
        }
        this.status = status;
        this.framing = rawHeaderList.getBodyFraming(status, rawHeaders);
        const head = this.callerWire.readAnswer(status, rawHeaders);
        const notRunKind = head.isMisdirected ? ItemOutcomeKind.Misdirected : ItemOutcomeKind.NotRun;
        this.notRunKind = head.isNotRun ? notRunKind : undefined;
        const isForOtherAttempt = head.attemptId !== undefined && head.attemptId !== this.owned.item.id;
        const isUnverified = status === 200 && (!head.isStamped || head.isEncoded);
        if (isForOtherAttempt || isUnverified) {
            this.stop(
                ItemOutcomeKind.Lost,
                isForOtherAttempt ? "an answer to another request" : "an answer without proof",
            );
        }
        this.onProgress();
    }

    onData(data: Buffer): boolean {
        if (!this.isSettled && this.status !== 200) {
            this.failureBytes += data.length;
            if (this.failureBytes > MaximumFailureBytes) {
                this.onComplete();
                this.exchange?.abort();
            }
        }
        else if (!this.isSettled) {
            const events = this.splitter.push(data);
            if (events === undefined) {
                this.stop(ItemOutcomeKind.Lost, "not an event stream");
                return true;
            }
            const eventsBefore = this.owned.texts.length;
            for (const event of events) {
                this.parser.feed(event.bytes.toString("utf8"));
            }
            const newEvents = this.owned.texts.length - eventsBefore;
            if (newEvents > 0) {
                this.onProgress();
                this.onEvents(newEvents);
            }
        }
        return true;
    }

    onComplete(): void {
        if (this.isSettled) {
            return;
        }
        if (this.notRunKind !== undefined) {
            this.settle({ kind: this.notRunKind, text: `status ${this.status}` });
            return;
        }
        const kind = toOutcomeKind(this.status);
        const breakReason = kind === ItemOutcomeKind.Completed ? this.tryGetBreakReason() : undefined;
        if (breakReason !== undefined) {
            if (this.splitter.getEventCount() === 0 && this.splitter.getRemainder().length === 0) {
                this.dropLastEvent();
            }
            this.settle({ kind: ItemOutcomeKind.Lost, text: breakReason });
            return;
        }
        this.settle({ kind, text: `status ${this.status}` });
    }

    onFailure(failure: upstreamExchange.ExchangeFailure): void {
        const isNotSent = failure.kind === upstreamExchange.ExchangeFailureKind.NotSent;
        if (this.status === ServerFailedStatus || this.status === ImpossibleStatus) {
            this.onComplete();
            return;
        }
        this.settle({
            kind: isNotSent ? ItemOutcomeKind.NotSent : (this.notRunKind ?? ItemOutcomeKind.Lost),
            text: failure.text,
        });
    }

    private handleEvent(event: eventSource.EventSourceMessage): void {
        if (this.isSettled) {
            return;
        }
        const id = event.id === undefined ? undefined : Number(event.id);
        const last = this.owned.lastEventId;
        if (id !== undefined && last !== undefined && id !== last + 1) {
            this.stop(ItemOutcomeKind.Lost, `event ${id} follows event ${last}`);
            return;
        }
        this.owned.lastEventId = id ?? last;
        this.owned.texts.push(event.data);
        this.textLength += event.data.length;
        if (this.textLength > MaximumTextLength) {
            // Which events are no part of the item's output can't be told.
            this.owned.texts.length = 0;
            this.owned.lastEventId = undefined;
            this.stop(ItemOutcomeKind.Lost, `texts of more than ${MaximumTextLength} characters`);
        }
    }

    /**
     * Makes the next run ask for the last event again. If the item already had all its events, a run that continues after the last one
     * has none, and where the connection's close is its only end, it could never be recognised as complete.
     */
    private dropLastEvent(): void {
        this.owned.texts.pop();
        const { lastEventId } = this.owned;
        this.owned.lastEventId =
            lastEventId === undefined || this.owned.texts.length === 0 ? undefined : lastEventId - 1;
    }

    private tryGetBreakReason(): string | undefined {
        return this.framing === undefined ? undefined : this.splitter.tryGetBreakReason(this.framing);
    }

    private settle(outcome: ItemOutcome): void {
        if (!this.isSettled) {
            this.isSettled = true;
            this.resolveOutcome(outcome);
        }
    }
}

function toOutcomeKind(status: number): ItemOutcomeKind {
    switch (status) {
        case 200:
            return ItemOutcomeKind.Completed;
        case ServerFailedStatus:
            return ItemOutcomeKind.Failed;
        case ImpossibleStatus:
            return ItemOutcomeKind.Impossible;
        default:
            return ItemOutcomeKind.Lost;
    }
}
