import * as core from "@boragedale/core";

/** Counts the upstreams that are assigned to a model, serve the class of requests and are not leaving. */
export function countAssignedUpstreams(
    fleet: core.FleetDescription,
    model: core.ModelId,
    requestClass: core.RequestClass,
): number {
    return fleet.upstreams.filter(
        upstream => upstream.models.includes(model) && !upstream.isLeaving && servesClass(upstream.role, requestClass),
    ).length;
}

export function servesClass(role: core.UpstreamRole, requestClass: core.RequestClass): boolean {
    switch (role) {
        case core.UpstreamRole.Mixed:
            return true;
        case core.UpstreamRole.Online:
            return requestClass === core.RequestClass.Online;
        case core.UpstreamRole.Batch:
            return requestClass === core.RequestClass.Batch;
    }
}
