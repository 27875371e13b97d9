/** One event as a caller received it. */
export interface SeenEvent {
    readonly softwareVersion: string;
    readonly number: number;
}

/** One attempt of a caller at a gateway. */
export interface SeenAttempt {
    readonly gateway: number;
    /** Milliseconds since the start of the run. */
    readonly startedAt: number;
    readonly endedAt: number;
    /** 0 if there was no answer. */
    readonly status: number;
    /** The answer's body as far as it was received. */
    readonly text: string;
    /** Whether the answer ended as complete. */
    readonly isComplete: boolean;
    /** Whether an upstream of the version that began the stream was ready when the attempt ended. */
    readonly isVersionReady: boolean;
}

export enum Violation {
    JoinedByCaller = "joined by take-up",
    JoinedWithinAnswer = "joined within one answer",
    Missing = "event missing",
    Doubled = "event doubled",
    EndedEarly = "complete before the last event",
    Malformed = "malformed event",
}

export enum StreamEnd {
    Whole = "whole",
    /** The last attempt was refused. */
    Refused = "refused to the end",
    /** The last attempt broke off, or brought another failure. */
    Broken = "not finished",
}

export interface StreamVerdict {
    readonly end: StreamEnd;
    readonly violations: readonly Violation[];
    /** Attempts to continue that brought events. */
    readonly continued: number;
    /** Refused attempts to continue, although an upstream of the version that began the stream was ready. */
    readonly refusedThoughReady: number;
}

const EventPattern = /^id: (\d+)\ndata: (\S+) (\d+)$/;

/** Splits an answer into its complete events. An incomplete one at the end is discarded, as callers do. */
export function parseEvents(text: string): { readonly events: readonly SeenEvent[]; readonly malformed: number } {
    const events: SeenEvent[] = [];
    let malformed = 0;
    for (const piece of text.split("\n\n").slice(0, -1)) {
        const match = EventPattern.exec(piece);
        if (match?.[1] === undefined || match[1] !== match[3]) {
            malformed++;
            continue;
        }
        events.push({ softwareVersion: match[2] ?? "", number: Number(match[1]) });
    }
    return { events, malformed };
}

/** Judges all attempts of one stream that must have `expected` events. */
export function judgeStream(attempts: readonly SeenAttempt[], expected: number): StreamVerdict {
    const violations: Violation[] = [];
    let softwareVersion: string | undefined;
    let next = 0;
    let continued = 0;
    let refusedThoughReady = 0;
    for (const attempt of attempts) {
        if (attempt.status !== 200) {
            const isRefusal = attempt.status === 503 || attempt.status === 429;
            refusedThoughReady += next > 0 && isRefusal && attempt.isVersionReady ? 1 : 0;
            continue;
        }
        const { events, malformed } = parseEvents(attempt.text);
        violations.push(...new Array<Violation>(malformed).fill(Violation.Malformed));
        continued += next > 0 && events.length > 0 ? 1 : 0;
        for (const [index, event] of events.entries()) {
            if (softwareVersion !== undefined && event.softwareVersion !== softwareVersion) {
                violations.push(index === 0 ? Violation.JoinedByCaller : Violation.JoinedWithinAnswer);
            }
            softwareVersion = event.softwareVersion;
            if (event.number !== next) {
                violations.push(event.number > next ? Violation.Missing : Violation.Doubled);
            }
            next = Math.max(next, event.number + 1);
        }
        if (attempt.isComplete && next < expected) {
            violations.push(Violation.EndedEarly);
        }
    }
    const last = attempts.at(-1);
    const isWhole = next === expected && last?.isComplete === true && last.status === 200;
    const isRefused = last?.status === 503 || last?.status === 429;
    const end = isWhole ? StreamEnd.Whole : isRefused ? StreamEnd.Refused : StreamEnd.Broken;
    return { end, violations, continued, refusedThoughReady };
}

/** Judges the text of a finished batch item, which consists of the data of all events. */
export function judgeItem(text: string, expected: number): readonly Violation[] {
    const events = text.split("\n").map((line, index) => `id: ${line.split(" ")[1] ?? index}\ndata: ${line}\n\n`);
    const attempt = { gateway: 0, startedAt: 0, endedAt: 0, status: 200, isComplete: true, isVersionReady: false };
    return judgeStream([{ ...attempt, text: events.join("") }], expected).violations;
}
