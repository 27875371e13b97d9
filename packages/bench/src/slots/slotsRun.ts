import * as random from "../random.js";
import * as settledPlay from "../settledPlay.js";
import * as simulation from "../simulation.js";
import * as engineQueue from "./engineQueue.js";
import * as slotsFleet from "./slotsFleet.js";

/** Mean online load as a share of all slots, and the factors and lengths of its alternating low and high steps. */
const MeanLoadShare = 0.5;
const LowFactor = 0.383;
const HighFactor = 1.87;
const LowMilliseconds = 3_400;
const HighMilliseconds = 2_400;
/** A stream holds its slot for 0.7 s, varied by up to a quarter either way. */
const StreamMilliseconds = 700;
const StreamSpread = 0.5;
/** Callers per instance. A hash assigns each to one instance, so that some instances have twice the load of others. */
const CallersPerInstance = 4.3;
/** A first event after this time counts as late. */
const FirstEventTargetMilliseconds = 300;

export interface SlotsOptions extends slotsFleet.FleetOptions {
    readonly seconds: number;
}

export interface SlotsResult {
    readonly sharing: slotsFleet.Sharing;
    readonly instances: number;
    readonly engines: number;
    readonly requests: number;
    /** Time to the first event, in milliseconds. */
    readonly p50: number;
    readonly p99: number;
    /** Share of requests whose first event came after the target. */
    readonly late: number;
    /** Control messages and bytes per second, sent and received: of the mean and of the busiest instance. */
    readonly messages: number;
    readonly bytes: number;
    readonly mostBytes: number;
    /** Processor time per instance as a share of a core, including the simulation itself. */
    readonly processorShare: number;
}

/** Simulates online load with one way of sharing slots. */
export async function runSlots(options: SlotsOptions): Promise<SlotsResult> {
    const time = new simulation.Simulation();
    const members = slotsFleet.createFleet(time, options);
    const waits: number[] = [];
    startLoad(time, members, options, waits);
    const before = process.cpuUsage();
    await settledPlay.runSettlingPromises(time, options.seconds * 1_000);
    const spent = process.cpuUsage(before);
    waits.sort((left, right) => left - right);
    const trafficByMember = members.map(member => member.network.traffic);
    const perSecond = (value: number): number => value / options.seconds;
    const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;
    return {
        sharing: options.sharing,
        instances: options.instances,
        engines: options.engines,
        requests: waits.length,
        p50: getQuantile(waits, 0.5),
        p99: getQuantile(waits, 0.99),
        late: waits.filter(wait => wait > FirstEventTargetMilliseconds).length / Math.max(1, waits.length),
        messages: perSecond(mean(trafficByMember.map(one => one.messages))),
        bytes: perSecond(mean(trafficByMember.map(one => one.bytes))),
        mostBytes: perSecond(Math.max(...trafficByMember.map(one => one.bytes))),
        processorShare: perSecond((spent.user + spent.system) / 1e6) / members.length,
    };
}

/** Starts the requests of callers, each of which the load balancer's hash assigns to one instance. */
function startLoad(
    time: simulation.Simulation,
    members: readonly slotsFleet.Member[],
    options: SlotsOptions,
    waits: number[],
): void {
    const engines = new Map(
        getEngineIds(members).map(id => [id, new engineQueue.EngineQueue(time, options.slotsPerEngine)]),
    );
    const source = new random.Random(options.seed);
    const callers = [...new Array(Math.round(options.instances * CallersPerInstance)).keys()].map(() =>
        source.nextInteger(members.length),
    );
    const meanGap = StreamMilliseconds / (options.engines * options.slotsPerEngine * MeanLoadShare);
    const arrive = (): void => {
        const member = members[callers[source.nextInteger(callers.length)] ?? 0];
        const milliseconds = StreamMilliseconds * (1 + StreamSpread * (source.next() - 0.5));
        if (member !== undefined) {
            void serve(time, member, engines, milliseconds, waits);
        }
        time.schedule(source.nextExponential(meanGap / getLoadFactor(time.now())), arrive);
    };
    time.schedule(0, arrive);
}

async function serve(
    time: simulation.Simulation,
    member: slotsFleet.Member,
    engines: ReadonlyMap<string, engineQueue.EngineQueue>,
    milliseconds: number,
    waits: number[],
): Promise<void> {
    const startedAt = time.now();
    const choice = await member.slots.chooseOnline(slotsFleet.Service, member.candidates);
    const engine = choice === undefined ? undefined : engines.get(choice.id);
    if (choice === undefined || engine === undefined) {
        return;
    }
    member.slots.take(choice.id, false, choice.isCounted);
    engine.add(
        milliseconds,
        () => waits.push(time.now() - startedAt),
        () => member.slots.release(choice.id, false),
    );
}

function getLoadFactor(now: number): number {
    return now % (LowMilliseconds + HighMilliseconds) < LowMilliseconds ? LowFactor : HighFactor;
}

function getEngineIds(members: readonly slotsFleet.Member[]): readonly string[] {
    return [...new Set(members.flatMap(member => member.candidates.map(candidate => candidate.id)))];
}

function getQuantile(sorted: readonly number[], quantile: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;
}
