import type * as core from "@boragedale/core";
import * as gateway from "@boragedale/gateway";
import type * as protocol from "@boragedale/protocol";

/** Returns the addresses of the members that this one stays connected to. */
export function chooseNeighbours(
    members: gateway.MemberDirectory,
    hubs: readonly core.InstanceId[],
): readonly protocol.PeerAddress[] {
    return gateway.chooseNeighbours(members, hubs).flatMap(id => tryGetAddress(members, id) ?? []);
}

export function tryGetAddress(members: gateway.MemberDirectory, id: core.InstanceId): protocol.PeerAddress | undefined {
    const member = members.tryGet(id);
    return member === undefined ? undefined : { id, url: `ws://${member.peerAddress}` };
}
