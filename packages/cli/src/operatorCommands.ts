import * as fileSystem from "node:fs";
import * as os from "node:os";
import * as core from "@boragedale/core";
import * as release from "@boragedale/release";
import * as client from "./client.js";
import * as exitCodes from "./exitCodes.js";
import * as fleetView from "./fleetView.js";
import * as output from "./output.js";

/** Address and token of the operator endpoint, and the output format. */
export interface OperatorContext {
    readonly url: string;
    readonly token: string;
    readonly isJson: boolean;
}

/** `publish FILE --replaces GENERATION`: publishes a release note that replaces the given generation. */
export async function publish(
    context: OperatorContext,
    file: string,
    replaces: number,
    author: string | undefined,
): Promise<exitCodes.ExitCode> {
    const source = tryReadFile(file);
    if (source === undefined) {
        return exitCodes.ExitCode.Usage;
    }
    const endpoint = new client.EndpointClient(context.url, context.token);
    const body = { source, file, replaces, author: author ?? os.userInfo().username };
    const answer = await endpoint.post<release.PublishOutcome>("/operator/publish", body);
    const outcome = answer.ok ? answer.body : tryParseOutcome(answer.text);
    if (outcome === undefined) {
        return reportFailure(answer);
    }
    return reportPublishOutcome(context, outcome, replaces);
}

/** `check FILE`: checks a note against the note in force, or as a first note if no instance can be reached. */
export async function check(context: OperatorContext, file: string): Promise<exitCodes.ExitCode> {
    const source = tryReadFile(file);
    if (source === undefined) {
        return exitCodes.ExitCode.Usage;
    }
    const endpoint = new client.EndpointClient(context.url, context.token);
    const answer = await endpoint.post<core.Checked<release.CheckedNote>>("/operator/check", { source, file });
    if (!answer.ok && answer.isReached) {
        return reportFailure(answer);
    }
    const checked = answer.ok ? answer.body : release.checkNote(source, file, undefined);
    if (!answer.ok) {
        output.printError(`${client.getErrorText(answer.text)}; checked as a first note`);
    }
    output.print(context.isJson, checked, () => formatCheck(checked));
    return checked.ok ? exitCodes.ExitCode.Success : exitCodes.ExitCode.Failure;
}

/** `status`: prints whether the note is in force on every live instance, and the progress of each upstream. */
export async function status(context: OperatorContext): Promise<exitCodes.ExitCode> {
    const answer = await fleetView.readFleet(context.url, context.token);
    if (!answer.ok) {
        return reportFailure(answer);
    }
    const fleet = answer.body;
    output.print(context.isJson, fleet, () => formatFleet(fleet));
    const isReached = fleet.upstreams.every(upstream => upstream.phase === release.UpstreamPhase.Reached);
    return fleet.isInForce && isReached ? exitCodes.ExitCode.Success : exitCodes.ExitCode.NotReached;
}

/** `history`: prints every published note with its author and time. */
export async function history(context: OperatorContext): Promise<exitCodes.ExitCode> {
    const endpoint = new client.EndpointClient(context.url, context.token);
    const answer = await endpoint.get<{ readonly history: readonly release.HistoryEntry[] }>("/operator/history");
    if (!answer.ok) {
        return reportFailure(answer);
    }
    output.print(context.isJson, answer.body, () => formatHistory(answer.body.history));
    return exitCodes.ExitCode.Success;
}

/** `timeline`: prints the events of all instances in causal order. */
export async function timeline(context: OperatorContext, filter: URLSearchParams): Promise<exitCodes.ExitCode> {
    const query = filter.size === 0 ? "" : `?${filter.toString()}`;
    const answer = await fleetView.readTimeLine(context.url, context.token, query);
    if (!answer.ok) {
        return reportFailure(answer);
    }
    output.print(context.isJson, answer.body, () =>
        answer.body
            .map(event => {
                const { instance, wallTime, logicalTime, number, name, ...subject } = event;
                const details = Object.entries(subject).map(([key, value]) => `${key}=${String(value)}`);
                return `${output.formatTime(wallTime)} ${logicalTime} ${instance} ${number} ${name} ${details.join(" ")}`;
            })
            .join("\n"),
    );
    return exitCodes.ExitCode.Success;
}

export function reportFailure(answer: client.ClientResult<unknown>): exitCodes.ExitCode {
    core.Debug.assert(!answer.ok, "a failed answer");
    if (!answer.isReached) {
        output.printError(answer.text);
        return exitCodes.ExitCode.Unreachable;
    }
    output.printError(core.messages.formatMessage(core.messages.CommandRefused, client.getErrorText(answer.text)));
    return exitCodes.ExitCode.Failure;
}

export function tryReadFile(file: string): string | undefined {
    try {
        return fileSystem.readFileSync(file, "utf8");
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        output.printError(core.messages.formatMessage(core.messages.FileUnreadable, file, reason));
        return undefined;
    }
}

function tryParseOutcome(text: string): release.PublishOutcome | undefined {
    try {
        const outcome = JSON.parse(text) as Partial<release.PublishOutcome>;
        return outcome.kind === undefined ? undefined : (outcome as release.PublishOutcome);
    }
    catch {
        return undefined;
    }
}

function reportPublishOutcome(
    context: OperatorContext,
    outcome: release.PublishOutcome,
    replaces: number,
): exitCodes.ExitCode {
    switch (outcome.kind) {
        case release.PublishKind.Published:
            output.print(context.isJson, outcome, () =>
                [...outcome.findings.map(core.formatFinding), `published generation ${outcome.note.generation}`].join(
                    "\n",
                ),
            );
            return exitCodes.ExitCode.Success;
        case release.PublishKind.Conflict: {
            const generation = outcome.current?.generation ?? 0;
            output.print(context.isJson, outcome, () =>
                [
                    core.messages.formatMessage(core.messages.PublishConflict, generation, replaces),
                    `by ${outcome.current?.author ?? "nobody"}:`,
                    outcome.current?.source ?? "",
                ].join("\n"),
            );
            return exitCodes.ExitCode.Conflict;
        }
        case release.PublishKind.Invalid:
            output.print(context.isJson, outcome, () => outcome.findings.map(core.formatFinding).join("\n"));
            return exitCodes.ExitCode.Failure;
        case release.PublishKind.Unavailable:
            output.printError(outcome.text);
            return exitCodes.ExitCode.Unreachable;
    }
}

function formatCheck(checked: core.Checked<release.CheckedNote>): string {
    const findings = checked.findings.map(core.formatFinding);
    if (!checked.ok) {
        return findings.join("\n");
    }
    const note = checked.value;
    const summary = `${note.affectedUpstreams.length} upstreams are ordered to change, ${note.loads} loads`;
    return [...findings, ...note.differences, summary].join("\n");
}

function formatFleet(fleet: fleetView.FleetView): string {
    const inForce = fleet.isInForce ? "in force on every live instance" : "NOT in force everywhere";
    const instances = fleet.instances.map(instance => [
        instance.id,
        instance.dataCentre,
        instance.generation === undefined ? "-" : String(instance.generation),
        instance.isInForce ? "yes" : "no",
        instance.remark,
    ]);
    const upstreams = fleet.upstreams.map(upstream => [
        upstream.upstream,
        upstream.phase,
        upstream.desired,
        upstream.actual,
        output.formatTime(upstream.since),
        upstream.reason,
    ]);
    return [
        `generation ${fleet.generation}: ${inForce}`,
        "",
        output.formatTable(["instance", "data centre", "generation", "in force", "remark"], instances),
        "",
        output.formatTable(["upstream", "phase", "desired", "actual", "since", "reason"], upstreams),
    ].join("\n");
}

function formatHistory(entries: readonly release.HistoryEntry[]): string {
    return entries
        .map(entry => {
            const title = `${entry.generation}  ${output.formatTime(entry.publishedAt)}  ${entry.author}`;
            return [title, ...entry.differences.map(difference => `    ${difference}`)].join("\n");
        })
        .join("\n");
}
