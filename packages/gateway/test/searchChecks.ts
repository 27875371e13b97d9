import * as gateway from "@boragedale/gateway";
import * as searchCallers from "./searchCallers.js";
import * as searchUpstreams from "./searchUpstreams.js";

/** What the search checks of each request, by what callers and upstreams have seen. */

export enum FaultKind {
    /** Neither an answer nor a refusal half a second after the deadline. */
    Unanswered = "Unanswered",
    /** The answer was broken off, though no upstream broke it off. */
    BrokenOff = "BrokenOff",
    /** A failure instead of the answer, though every upstream was sound. */
    Failed = "Failed",
    /** A refusal that promises that the request didn't run, though it did. */
    FalsePromise = "FalsePromise",
    Twice = "Twice",
    WrongText = "WrongText",
    /** A sound upstream's run was ended before the deadline, though its silence was not the reason. */
    EndedEarly = "EndedEarly",
    Defect = "Defect",
    Submission = "Submission",
}

export interface Fault {
    readonly kind: FaultKind;
    readonly text: string;
    /** Whether an attempt was ended because its upstream was silent. */
    readonly isSilence: boolean;
}

const TimeoutToleranceMilliseconds = 500;
const PromptSlackMilliseconds = 30;

export class RequestChecks {
    readonly faults: Fault[] = [];

    constructor(private readonly upstreams: searchUpstreams.SimulatedUpstreams) {}

    checkRequests(tries: readonly searchCallers.CallerTry[]): void {
        this.upstreams.defects.forEach(defect =>
            this.faults.push({ kind: FaultKind.Defect, text: defect, isSilence: false }),
        );
        for (const sent of tries) {
            this.checkEnd(sent);
            this.checkRuns(sent);
        }
    }

    private checkEnd(sent: searchCallers.CallerTry): void {
        const { response, kind, prompt, deadline, endedAt } = sent;
        if (sent.hasLeft) {
            return;
        }
        if (endedAt === undefined || endedAt > deadline + TimeoutToleranceMilliseconds) {
            this.reportTry(FaultKind.Unanswered, sent);
            return;
        }
        const isInTime = endedAt < deadline - PromptSlackMilliseconds;
        const isSound = !this.getRuns(sent).some(run => run.isBroken);
        if (!response.writableFinished && isSound && isInTime) {
            this.reportTry(FaultKind.BrokenOff, sent);
        }
        if (response.status >= 500 && response.status !== 503 && isSound && isInTime) {
            this.reportTry(FaultKind.Failed, sent);
        }
        if (response.status === 200) {
            const isStream = kind === searchCallers.RequestKind.Stream;
            const isPlainWrong = !isStream && response.body !== searchUpstreams.createPlainAnswer(prompt);
            const wrong = isStream ? searchCallers.findWrongEvents(sent) : isPlainWrong ? response.body : undefined;
            if (wrong !== undefined) {
                this.reportTry(FaultKind.WrongText, sent, wrong);
            }
        }
    }

    private checkRuns(sent: searchCallers.CallerTry): void {
        const runs = this.getRuns(sent);
        if (sent.response.status === 503 && runs.length > 0) {
            this.reportTry(FaultKind.FalsePromise, sent);
        }
        if (sent.kind === searchCallers.RequestKind.Unsafe && runs.length > 1) {
            this.reportTry(FaultKind.Twice, sent);
        }
        const early = runs.find(
            ({ abortedAt, isBroken }) => !isBroken && abortedAt !== undefined && abortedAt < sent.deadline - 1,
        );
        if (early !== undefined && !sent.hasLeft && !this.isAnsweredBesideSilence(sent)) {
            this.reportTry(FaultKind.EndedEarly, sent, `${early.upstream} at ${early.abortedAt}`);
        }
    }

    /** Whether a safe request ran at two upstreams because one was silent, and the run that answered second was ended. */
    private isAnsweredBesideSilence(sent: searchCallers.CallerTry): boolean {
        const answered = this.getRuns(sent).filter(({ abortedAt, isBroken }) => abortedAt === undefined && !isBroken);
        const isAnswered = sent.response.status === 200 && sent.response.writableFinished;
        return sent.kind === searchCallers.RequestKind.Safe && isAnswered && answered.length === 1;
    }

    private getRuns({ attempt }: searchCallers.CallerTry): searchUpstreams.UpstreamRun[] {
        return this.upstreams.runs.filter(run => run.attempt === attempt);
    }

    private reportTry(kind: FaultKind, sent: searchCallers.CallerTry, detail = ""): void {
        const { attempt, member, sentAt, deadline, endedAt, response } = sent;
        const attempts = member.log.attempts.get(attempt) ?? [];
        const text = [
            `${sent.kind} ${attempt} at ${member.id}: sent at ${Math.round(sentAt)}, deadline ${Math.round(deadline)}`,
            `ended at ${endedAt} with status ${response.status} ${response.writableFinished ? "" : "and broken off"}`,
            ...attempts.map(({ upstream, outcome, text: why, at }) => `${upstream} ${outcome} at ${at}: ${why}`),
            member.log.reasons.get(attempt) ?? "no refusal",
            detail,
        ].join("; ");
        const isSilence = attempts.some(({ outcome }) => outcome === gateway.AttemptOutcomeKind.Silent);
        this.faults.push({ kind, text, isSilence });
    }
}
