import * as awilix from "awilix";
import * as core from "@boragedale/core";
import * as platform from "@boragedale/platform";
import * as protocol from "@boragedale/protocol";
import * as release from "@boragedale/release";
import * as telemetry from "@boragedale/telemetry";
import * as upstreams from "@boragedale/upstreams";
import * as work from "@boragedale/work";
import * as dispatch from "./dispatch/index.js";
import * as membership from "./membership/index.js";
import type * as settings from "./settings.js";

/** Every part of an instance, by the name under which the container knows it. */
export interface Parts {
    readonly settings: settings.EntrySettings;
    readonly description: core.InstanceDescription;
    readonly clock: core.Clock;
    readonly telemetry: telemetry.Telemetry;
    readonly keyValue: platform.KeyValueService;
    readonly instanceList: platform.InstanceList;
    readonly membership: membership.FleetMembership;
    readonly network: protocol.WebSocketPeerNetwork;
    readonly keeper: release.KeyValueNoteKeeper;
    readonly publisher: release.NotePublisher;
    readonly ledger: work.CallLedger;
    readonly jobs: work.JobStore;
    readonly dispatcher: dispatch.FleetDispatcher;
    readonly executor: work.ItemExecutor;
    readonly runner: work.JobRunner;
    readonly rollout: release.Rollout;
    readonly directory: upstreams.EngineClient;
}

export type PartsContainer = awilix.AwilixContainer<Parts>;

/** Makes the container with the parts that need no start. */
export function createContainer(
    entrySettings: settings.EntrySettings,
    description: core.InstanceDescription,
): PartsContainer {
    const container = awilix.createContainer<Parts>({ strict: true });
    container.register({
        settings: awilix.asValue(entrySettings),
        description: awilix.asValue(description),
        clock: awilix.asFunction(() => new core.SystemClock()).singleton(),
        telemetry: awilix.asFunction(createTelemetry).singleton(),
        instanceList: awilix.asFunction(createInstanceList).singleton(),
    });
    return container;
}

function createTelemetry(parts: Parts): telemetry.Telemetry {
    const { instance, logLevel } = parts.settings;
    return new telemetry.Telemetry({ instance, logLevel }, parts.clock);
}

function createInstanceList(parts: Parts): platform.InstanceList {
    return new platform.HttpInstanceList({ url: parts.settings.instanceListUrl });
}
