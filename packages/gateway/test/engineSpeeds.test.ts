import * as core from "@boragedale/core";
import * as decisions from "@boragedale/decisions";
import * as gateway from "@boragedale/gateway";
import type * as protocol from "@boragedale/protocol";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fixtures from "./fixtures.js";

const suite = uvu.suite("engineSpeeds");

const EventMilliseconds = 40;
const Engines = 20;

interface TestMember {
    readonly id: string;
    readonly speeds: gateway.EngineSpeedSharing;
    readonly coordinators: gateway.CoordinatorDirectory;
    readonly changes: decisions.ExclusionChange[];
}

/** Creates members of a fleet that is large enough for coordinators to grant slots. They are connected by the tests. */
function createMembers(clock: core.VirtualClock): readonly TestMember[] {
    const ids = [...new Array(20).keys()].map(index => gateway.createMemberId(`member-${index}`, "1"));
    const entries = ids.map((id, index) => ({
        key: gateway.MemberPrefix + id,
        revision: index + 1,
        value: gateway.encodeMember({ id, dataCentre: "a", peerAddress: "127.0.0.1:1" }),
    }));
    const engines = [...new Array(Engines).keys()].map(index =>
        fixtures.createEntry(`upstreams/e${index}`, index + 2, fixtures.createUpstream(`e${index}`, { slots: 8 })),
    );
    return ids.map(id => {
        const directory = new gateway.MemberDirectory({ id, dataCentre: "a", peerAddress: "127.0.0.1:1" });
        directory.apply(entries);
        const view = new gateway.FleetView(new fixtures.TestCodec(), () => undefined);
        view.apply([fixtures.createEntry("configuration", 1, fixtures.createConfiguration(1)), ...engines], 0);
        const coordinators = new gateway.CoordinatorDirectory(directory, view, clock);
        const changes: decisions.ExclusionChange[] = [];
        const speeds = new gateway.EngineSpeedSharing({
            clock,
            slotTable: new decisions.SlotTable(
                () => 0.5,
                () => 0,
            ),
            coordinators,
            onExclusion: change => changes.push(change),
            onOwnEngine: () => undefined,
        });
        return { id, speeds, coordinators, changes };
    });
}

/** Plays three streams of a member on each engine; `getTime` returns an engine's time per event. */
async function play(
    clock: core.VirtualClock,
    member: TestMember,
    milliseconds: number,
    getTime: (engine: string) => number,
): Promise<void> {
    const end = clock.now() + milliseconds;
    for (let index = 0; index < Engines; index++) {
        for (let stream = 0; stream < 3; stream++) {
            const meter = member.speeds.startStream(`e${index}`, "service");
            const arrive = (): void => {
                if (clock.now() <= end) {
                    meter?.onEvents(1, clock.now());
                    clock.schedule(getTime(`e${index}`), arrive);
                }
            };
            clock.schedule(stream * 13, arrive);
        }
    }
    await clock.advance(milliseconds);
}

function getOwn(member: TestMember): readonly string[] {
    return member.coordinators.getOwnEngines("service").map(entry => entry.id);
}

/** Sends what the member has measured to an engine's coordinator. */
function notify(member: TestMember, coordinator: TestMember): void {
    coordinator.speeds.addRows(member.speeds.takeRows(coordinator.id));
}

/** Plays streams of a member and sends a notice each 150 ms, about as often as a member's streams end on an engine. */
async function playWithNotices(
    clock: core.VirtualClock,
    member: TestMember,
    coordinator: TestMember,
    milliseconds: number,
    getTime: (engine: string) => number,
): Promise<void> {
    const stop = [...new Array(Math.floor(milliseconds / 150)).keys()].map(index =>
        clock.schedule((index + 1) * 150, () => notify(member, coordinator)),
    );
    await play(clock, member, milliseconds, getTime);
    stop.forEach(cancel => cancel());
}

function getPair(clock: core.VirtualClock): { member: TestMember; coordinator: TestMember; engine: string } {
    const members = createMembers(clock);
    const coordinator = core.Debug.checkDefined(
        members.find(one => getOwn(one).length > 0),
        "one coordinates an engine",
    );
    const member = core.Debug.checkDefined(
        members.find(one => one !== coordinator),
        "there are others",
    );
    return { member, coordinator, engine: getOwn(coordinator)[0]! };
}

// Guards against a coordinator that trusts only itself, and against requesters that don't learn what it knows.
suite("a coordinator learns its engine's speed from notices and passes it on with a reply", async () => {
    const clock = new core.VirtualClock();
    const { member, coordinator, engine } = getPair(clock);
    const getTime = (id: string): number => (id === engine ? EventMilliseconds / 1.6 : EventMilliseconds);
    await playWithNotices(clock, member, coordinator, 1_500, getTime);
    await play(clock, coordinator, 1_500, id => (id === engine ? Infinity : EventMilliseconds));
    assert.ok(coordinator.speeds.getRelativeSpeed("service", engine) > 1.3);
    const requester = getPair(clock).member;
    await play(clock, requester, 1_000, id => (id === engine ? Infinity : EventMilliseconds));
    const rows = coordinator.speeds.createReplyRows("service", requester.id);
    assert.ok(rows?.some(([id]) => id === engine));
    requester.speeds.takeOverRows(rows, coordinator.id);
    assert.ok(requester.speeds.getRelativeSpeed("service", engine) > 1.3);
    await clock.advance(300);
    assert.is(coordinator.speeds.createReplyRows("service", requester.id), undefined, "nothing has changed");
});

// Guards against a sender that marks its engines slow because its own event loop stalls: events arrive late everywhere.
suite("a member whose event loop is slow excludes no engine and reports none", async () => {
    const clock = new core.VirtualClock();
    const { member, coordinator } = getPair(clock);
    await play(clock, member, 2_000, () => EventMilliseconds);
    assert.is(member.speeds.takeRows(coordinator.id), undefined, "all engines are equal");
    await play(clock, member, 1_000, () => EventMilliseconds * 3);
    assert.equal(member.changes, []);
    assert.is(member.speeds.takeRows(coordinator.id), undefined);
});

// Guards against excluding engines one after the other while all of them are slow: no other engine is faster.
suite("no engine is excluded if all become slow at once", async () => {
    const clock = new core.VirtualClock();
    const { member, coordinator } = getPair(clock);
    for (const factor of [1, 1, 2.5, 2.5, 2.5]) {
        await play(clock, member, 400, () => EventMilliseconds * factor);
        notify(member, coordinator);
        await play(clock, coordinator, 400, () => EventMilliseconds * factor);
    }
    assert.equal([...member.changes, ...coordinator.changes], []);
});

// Guards against a slowdown that isn't reported because a row about the engine was sent a moment before.
suite("a slow engine is reported with the next notices, and excluded by its coordinator", async () => {
    const clock = new core.VirtualClock();
    const { member, coordinator, engine } = getPair(clock);
    await playWithNotices(clock, member, coordinator, 1_500, () => EventMilliseconds);
    await playWithNotices(clock, member, coordinator, 300, id =>
        id === engine ? EventMilliseconds * 2.5 : EventMilliseconds,
    );
    assert.equal(
        coordinator.changes.map(change => [change.upstream, change.isExcluded]),
        [[engine, true]],
    );
});

// Guards against estimates that outlive lost notices, and against rows about engines that the sender doesn't coordinate.
suite("without further notices an estimate decays, and foreign rows are ignored", async () => {
    const clock = new core.VirtualClock();
    const { member, coordinator, engine } = getPair(clock);
    await play(clock, member, 1_000, () => EventMilliseconds);
    const row: protocol.EngineSpeedRow = [engine, EventMilliseconds * 4, 0, 100];
    member.speeds.takeOverRows([row], member.id);
    assert.is(member.speeds.getRelativeSpeed("service", engine), 1);
    member.speeds.addRows([row]);
    assert.is(member.speeds.getRelativeSpeed("service", engine), 1);
    member.speeds.takeOverRows([row], coordinator.id);
    assert.ok(member.speeds.getRelativeSpeed("service", engine) < 0.5);
    await clock.advance(13_000);
    assert.is(member.speeds.getRelativeSpeed("service", engine), 1);
});

suite.run();
