import * as core from "@boragedale/core";
import * as gateway from "@boragedale/gateway";
import * as platform from "@boragedale/platform";
import * as telemetry from "@boragedale/telemetry";
import * as composition from "./composition.js";
import type * as eventLog from "./eventLog.js";
import type * as settingsReader from "./settings.js";

const WatchWaitMilliseconds = 10_000;
const RetryDelayMilliseconds = 300;

/**
 * Runs the process on the machines with disks. All durable data is in the platform's store, so that the machine is always empty.
 * The only task of the process is to confirm this when the operators want to retire the machine.
 */
export async function runStorageProcess(
    settings: settingsReader.Settings,
    clock: core.Clock,
    log: eventLog.EventLog,
    stop: Promise<void>,
): Promise<void> {
    await using disposables = new core.DisposalStack();
    const codec = new platform.PlatformRegistryCodec();
    const store = disposables.use(
        new platform.PlatformStore({
            address: settings.storeAddress,
            callTimeoutMilliseconds: composition.StoreTimeoutMilliseconds,
        }),
    );
    const key = codec.retirementPrefix + settings.instance;
    const confirmIfRetiring = (entries: readonly gateway.StoreEntry[]): void => {
        if (entries.some(entry => entry.key === key && entry.value !== undefined)) {
            void confirmEmpty(store, codec, settings.instance, clock, log);
        }
    };
    const watcher = disposables.use(
        new gateway.StoreWatcher(
            { store, clock, log },
            {
                prefix: key,
                waitMilliseconds: WatchWaitMilliseconds,
                longestGatherMilliseconds: 0,
                applyListing: listing => confirmIfRetiring(listing.entries),
                applyChanges: confirmIfRetiring,
            },
        ),
    );
    void watcher.run();
    log.record(telemetry.events.InstanceStarted, { member: settings.instance });
    await stop;
    log.record(telemetry.events.InstanceStopped, {});
}

async function confirmEmpty(
    store: gateway.MetadataStore,
    codec: gateway.RegistryCodec,
    machine: string,
    clock: core.Clock,
    log: eventLog.EventLog,
): Promise<void> {
    const put = codec.createRetirementConfirmation(machine);
    for (;;) {
        const result = await store.transact({ preconditions: [], puts: [put], deletes: [] });
        if (result.ok) {
            log.record(telemetry.events.MachineEmptied, { machine });
            return;
        }
        await clock.sleep(RetryDelayMilliseconds);
    }
}
