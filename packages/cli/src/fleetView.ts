import type * as core from "@boragedale/core";
import type * as entry from "@boragedale/entry";
import type * as release from "@boragedale/release";
import * as telemetry from "@boragedale/telemetry";
import * as client from "./client.js";

/** State of the fleet, as reported by the instances that answered. */
export interface FleetView {
    /** Highest generation that any instance reports. */
    readonly generation: core.Generation;
    /** True only if every live instance reports that generation. */
    readonly isInForce: boolean;
    readonly instances: readonly InstanceView[];
    readonly upstreams: readonly release.UpstreamProgress[];
}

export interface InstanceView {
    readonly id: core.InstanceId;
    readonly dataCentre: core.DataCentre;
    readonly generation: core.Generation | undefined;
    readonly isInForce: boolean;
    /** Why the instance couldn't be queried, isn't ready or is leaving; else empty. */
    readonly remark: string;
}

/** Gets the list of instances from one instance, then queries each of them. Fails if the first instance doesn't answer. */
export async function readFleet(operatorUrl: string, token: string): Promise<client.ClientResult<FleetView>> {
    const first = await new client.EndpointClient(operatorUrl, token).get<entry.InstanceStatus>("/operator/status");
    if (!first.ok) {
        return first;
    }
    const statuses = await readStatuses(first.body, token);
    return { ok: true, status: 200, body: createFleetView(first.body, statuses) };
}

/** Reads the time lines of all live instances and merges them in causal order. Instances that don't answer are left out. */
export async function readTimeLine(
    operatorUrl: string,
    token: string,
    query: string,
): Promise<client.ClientResult<readonly telemetry.TimeLineEvent[]>> {
    const first = await new client.EndpointClient(operatorUrl, token).get<entry.InstanceStatus>("/operator/status");
    if (!first.ok) {
        return first;
    }
    const lines = await Promise.all(
        first.body.instances.map(async instance => {
            const endpoint = new client.EndpointClient(instance.operatorUrl, token);
            const answer = await endpoint.get<{ events: telemetry.TimeLineEvent[] }>(`/operator/timeline${query}`);
            return answer.ok ? answer.body.events : [];
        }),
    );
    return { ok: true, status: 200, body: telemetry.mergeTimeLines(lines) };
}

type StatusById = ReadonlyMap<core.InstanceId, client.ClientResult<entry.InstanceStatus>>;

async function readStatuses(first: entry.InstanceStatus, token: string): Promise<StatusById> {
    const answers = await Promise.all(
        first.instances.map(async instance => {
            const endpoint = new client.EndpointClient(instance.operatorUrl, token);
            return [instance.id, await endpoint.get<entry.InstanceStatus>("/operator/status")] as const;
        }),
    );
    return new Map(answers);
}

function createFleetView(first: entry.InstanceStatus, statuses: StatusById): FleetView {
    const answered = [...statuses.values()].filter(status => status.ok).map(status => status.body);
    const generation = Math.max(first.generation, ...answered.map(status => status.generation));
    const instances = first.instances.map(instance => createInstanceView(instance, statuses, generation));
    return {
        generation,
        isInForce: generation > 0 && instances.length > 0 && instances.every(instance => instance.isInForce),
        instances,
        upstreams: selectNewestProgress(answered.flatMap(status => status.upstreams)),
    };
}

function createInstanceView(
    instance: core.InstanceDescription,
    statuses: StatusById,
    generation: core.Generation,
): InstanceView {
    const status = statuses.get(instance.id);
    const base = { id: instance.id, dataCentre: instance.dataCentre };
    if (status === undefined || !status.ok) {
        const remark = status === undefined ? "not asked" : client.getErrorText(status.text);
        return { ...base, generation: undefined, isInForce: false, remark };
    }
    const isInForce = status.body.generation === generation;
    const remark = status.body.unreadiness ?? (status.body.isDraining ? "leaving" : "");
    return { ...base, generation: status.body.generation, isInForce, remark };
}

/** While an upstream moves to another coordinator, both may report its progress; the newer report is used. */
function selectNewestProgress(all: readonly release.UpstreamProgress[]): readonly release.UpstreamProgress[] {
    const newest = new Map<core.UpstreamId, release.UpstreamProgress>();
    for (const progress of all) {
        const known = newest.get(progress.upstream);
        if (known === undefined || isNewer(progress, known)) {
            newest.set(progress.upstream, progress);
        }
    }
    return [...newest.values()].sort((left, right) => (left.upstream < right.upstream ? -1 : 1));
}

function isNewer(left: release.UpstreamProgress, right: release.UpstreamProgress): boolean {
    return left.generation > right.generation || (left.generation === right.generation && left.since > right.since);
}
