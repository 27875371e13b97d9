import type * as standins from "@boragedale/standins";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";
import * as registryScene from "./registryScene.js";

const suite = uvu.suite("registry with faults");

/**
 * Time after the end of all faults, and after a change, within which the platform requires the change to be in force.
 */
const InForceMilliseconds = 3_000;
const RestartMilliseconds = 1_000;
/** Long manual runs set other values. */
const Seed = Number(process.env["BORAGEDALE_SEED"] ?? 40);
const Runs = Number(process.env["BORAGEDALE_RUNS"] ?? 25);

enum Fault {
    /** Killed, and started again a second later. */
    Restart = "Restart",
    /** The store answers none of the member's calls. */
    RejectStoreCalls = "RejectStoreCalls",
    /** The member receives nothing from its peers. */
    DropIncoming = "DropIncoming",
    CutOff = "CutOff",
}

interface Step {
    readonly fault: Fault;
    readonly first: number;
    readonly count: number;
    readonly milliseconds: number;
    readonly pauseMilliseconds: number;
}

const steps = fastCheck.array(
    fastCheck.record<Step>({
        fault: fastCheck.constantFrom(...Object.values(Fault)),
        first: fastCheck.nat(registryScene.MemberCount - 1),
        count: fastCheck.integer({ min: 1, max: registryScene.MemberCount / 2 }),
        milliseconds: fastCheck.integer({ min: 100, max: 9_000 }),
        pauseMilliseconds: fastCheck.nat(3_000),
    }),
    { minLength: 1, maxLength: 6 },
);

/** A member starts as an upstream is removed, and asks a peer that has missed the removal, too. */
const startDuringRemoval: readonly Step[] = [
    { fault: Fault.Restart, first: 0, count: 1, milliseconds: 100, pauseMilliseconds: 646 },
    { fault: Fault.Restart, first: 0, count: 5, milliseconds: 100, pauseMilliseconds: 2_998 },
    { fault: Fault.CutOff, first: 20, count: 3, milliseconds: 100, pauseMilliseconds: 186 },
    { fault: Fault.Restart, first: 1, count: 3, milliseconds: 100, pauseMilliseconds: 682 },
    { fault: Fault.Restart, first: 2, count: 16, milliseconds: 100, pauseMilliseconds: 0 },
];

/** A scene in which faults overlap. */
class FaultyFleet {
    private version = 1;
    private readonly incarnations = new Map<number, number>();
    private readonly ends: Promise<void>[] = [];

    constructor(private readonly scene: registryScene.Scene) {}

    begin(step: Step): void {
        for (let offset = 0; offset < step.count; offset++) {
            this.ends.push(this.injectFault((step.first + offset) % registryScene.MemberCount, step));
        }
    }

    /** Writes a configuration and an upstream, and removes an earlier upstream. */
    change(): void {
        const { metadata } = this.scene;
        this.version++;
        registryScene.changeConfiguration(this.scene, this.version);
        metadata.put(`upstreams/${this.version}`, JSON.stringify(fixtures.createUpstream(String(this.version))));
        metadata.remove(`upstreams/${this.version - 2}`);
    }

    async waitForEnds(): Promise<void> {
        let isOver = false;
        void Promise.all(this.ends).then(() => (isOver = true));
        while (!isOver) {
            await this.scene.clock.advance(100);
        }
    }

    assertInForce(): void {
        const { metadata } = this.scene;
        const upstreams = metadata.list("upstreams/").entries.map(entry => `${entry.key}@${entry.revision}`);
        for (const { id, view } of this.scene.getMembers()) {
            assert.is(view.getConfiguration()?.version, this.version, id);
            const known = view
                .getEntriesAfter(0)
                .filter(entry => entry.key.startsWith("upstreams/") && entry.value !== undefined);
            assert.equal(known.map(entry => `${entry.key}@${entry.revision}`).sort(), upstreams, id);
        }
    }

    private async injectFault(index: number, step: Step): Promise<void> {
        const { clock, hub } = this.scene;
        const member = this.tryGetMember(index);
        if (member === undefined) {
            return;
        }
        switch (step.fault) {
            case Fault.Restart:
                member.kill();
                await clock.sleep(RestartMilliseconds);
                this.incarnations.set(index, this.getIncarnation(index) + 1);
                this.scene.start(index, this.getIncarnation(index));
                return;
            case Fault.RejectStoreCalls:
                member.faults.isDown = true;
                await clock.sleep(step.milliseconds);
                member.faults.isDown = false;
                return;
            case Fault.DropIncoming:
                hub.inboundBlocked.add(member.id);
                await clock.sleep(step.milliseconds);
                hub.inboundBlocked.delete(member.id);
                return;
            case Fault.CutOff:
                hub.offline.add(member.id);
                await clock.sleep(step.milliseconds);
                hub.offline.delete(member.id);
        }
    }

    private tryGetMember(index: number): standins.RegistryMember | undefined {
        return this.scene
            .getMembers()
            .find(member => member.id === registryScene.createId(index, this.getIncarnation(index)));
    }

    private getIncarnation(index: number): number {
        return this.incarnations.get(index) ?? 1;
    }
}

// Guards against a member that keeps an old configuration, or an upstream that left, after overlapping faults have
// ended.
suite("a change made as the last fault ends is in force in time at every member", async () => {
    await fastCheck.assert(
        fastCheck.asyncProperty(steps, async sequence => {
            const scene = await registryScene.createFleet();
            const fleet = new FaultyFleet(scene);
            for (const step of sequence) {
                fleet.begin(step);
                fleet.change();
                await scene.clock.advance(step.pauseMilliseconds);
            }
            await fleet.waitForEnds();
            fleet.change();
            await scene.clock.advance(InForceMilliseconds);
            fleet.assertInForce();
            await registryScene.endFleet(scene);
        }),
        { seed: Seed, numRuns: Runs, examples: [[[...startDuringRemoval]]] },
    );
});

suite.run();
