import * as customers from "@boragedale/customers";
import * as decisions from "@boragedale/decisions";
import type * as gateway from "@boragedale/gateway";
import * as random from "../random.js";
import * as settledPlay from "../settledPlay.js";
import * as simulation from "../simulation.js";
import * as engineQueue from "./engineQueue.js";
import * as hardLoadBatch from "./hardLoadBatch.js";
import * as hardLoadOnline from "./hardLoadOnline.js";
import * as hardLoadResult from "./hardLoadResult.js";
import * as slotsFleet from "./slotsFleet.js";

/** Square wave of the online demand: factors of the mean and lengths of its steps. */
const LowFactor = 0.39;
const HighFactor = 1.91;
const LowMilliseconds = 3_600;
const HighMilliseconds = 2_400;
/** Mean online load as a share of all slots: at a peak, some 88% of them with the engines' growing step time. */
const MeanLoadShare = 0.43;
/** Time for which a stream holds a slot of an otherwise idle engine of usual speed. */
const StreamMilliseconds = engineQueue.FirstEventMilliseconds + 19 * engineQueue.EventMilliseconds;
const CallersPerInstance = 4.3;
const Customers = 76;
const ZipfExponent = 1.2;
const LimitFactor = 1.6;
/** Smallest burst of a limit; less would refuse most of what a customer with one request in two seconds sends. */
const MinimumBurst = 5;
/**
 * With bursts of one second of the limit, a customer that sends too much never fills the fleet. With 2.5, the 95th
 * percentile of the time to the first event at the peak is that measured on the deployment, about 470 ms.
 */
const DefaultBurstSeconds = 2.5;
/** The customer that sends too much: the largest, since smaller ones can't fill the fleet within their limits. */
const DefaultHotCustomer = 0;
const HotFactor = 6.9;
const HotFromMilliseconds = 9_000;
const HotUntilMilliseconds = 15_000;
const EngineSpeeds = [0.6, 1.0, 1.6];
const SlowShare = 0.15;
const SlowFactor = 2.5;
const SlowMilliseconds = 600;
/** Submissions per second and engine, so that smaller scenes have the same load: 2.67 a second with 62 engines. */
const SubmissionsPerEngine = 2.67 / 62;
const ItemsPerSubmission = 10;
const DueMilliseconds = 18_000;
/** Time after the last arrival in which requests still finish. */
const DrainMilliseconds = 1_000;

export interface HardLoadOptions {
    readonly seed: number;
    /** 24 s if absent. */
    readonly seconds?: number;
    /** 57 if absent. */
    readonly instances?: number;
    /** 62 if absent. */
    readonly engines?: number;
    readonly policy?: gateway.LoadPolicy;
    /** Whether requests above a customer's limit are refused before they ask for a slot; true if absent. */
    readonly enforcesLimits?: boolean;
    /** Whether one customer sends many times its usual rate from second 9 to 15. */
    readonly hasHotCustomer?: boolean;
    /** Rank of that customer by its usual rate; 0, the largest, if absent. */
    readonly hotCustomer?: number;
    /** Burst of each customer, in seconds of its limit; 2.5 if absent. */
    readonly burstSeconds?: number;
    /** Mean online demand relative to the usual one; 1 if absent. */
    readonly demandFactor?: number;
    /** Whether engines differ in speed and slow down at times. */
    readonly hasUnevenEngines?: boolean;
}

interface Customer {
    readonly name: string;
    readonly requestsPerSecond: number;
    readonly limit: number;
    readonly bucket: customers.TokenBucket;
    /** The instance of each of its callers. */
    readonly instances: readonly number[];
}

/** Plays the load with the deployed classes in virtual time. */
export async function runHardLoad(options: HardLoadOptions): Promise<hardLoadResult.HardLoadResult> {
    const scene = new HardLoadScene(options);
    await settledPlay.runSettlingPromises(scene.time, scene.seconds * 1_000 + DrainMilliseconds);
    return scene.getResult();
}

/** The scene before and while it is played; tests of failures can act on its members and engines. */
export class HardLoadScene {
    readonly time = new simulation.Simulation();
    readonly seconds: number;
    readonly members: readonly slotsFleet.Member[];
    readonly engines: ReadonlyMap<string, engineQueue.EngineQueue>;
    readonly requests: hardLoadOnline.OnlineRequest[] = [];
    readonly items: hardLoadBatch.BatchItem[] = [];
    readonly counts: hardLoadBatch.BatchCounts = { started: 0, resumed: 0, preempted: 0 };

    /** Each has its own random source, so that what arrives doesn't depend on the policy. */
    private readonly arrivals: random.Random;
    private readonly submissions: random.Random;
    private readonly onlineMembers: readonly hardLoadOnline.OnlineMember[];
    private readonly drivers: readonly hardLoadBatch.BatchDriver[];
    private readonly customers: readonly Customer[];
    private readonly usualSpeeds = new Map<string, number>();
    private readonly hotCustomer: number;
    private overLimit = 0;
    private hotOverLimit = 0;

    constructor(private readonly options: HardLoadOptions) {
        const { seed, seconds = 24, instances = 57, engines = 62, policy, demandFactor = 1 } = options;
        this.seconds = seconds;
        this.hotCustomer = options.hotCustomer ?? DefaultHotCustomer;
        this.arrivals = createSource(seed, "arrivals");
        this.submissions = createSource(seed, "submissions");
        const fleet = { sharing: slotsFleet.Sharing.Coordinators, instances, engines, slotsPerEngine: 8 };
        this.members = slotsFleet.createFleet(this.time, { ...fleet, seed, dataCentres: 4, policy });
        const engineIds = this.members[0]?.candidates.map(candidate => candidate.id) ?? [];
        this.engines = new Map(engineIds.map(id => [id, new engineQueue.EngineQueue(this.time, fleet.slotsPerEngine)]));
        this.onlineMembers = this.members.map(fleetMember => {
            const source = createSource(seed, fleetMember.id);
            return { fleetMember, random: () => source.next(), meanServiceMilliseconds: undefined };
        });
        this.drivers = this.members.map(
            member => new hardLoadBatch.BatchDriver(this.time, member, this.engines, this.counts),
        );
        const meanSlots = engines * fleet.slotsPerEngine * MeanLoadShare * demandFactor;
        const requestsPerSecond = (meanSlots / StreamMilliseconds) * 1_000;
        this.customers = createCustomers(requestsPerSecond, options, instances);
        this.setSpeeds(createSource(seed, "speeds"));
        this.scheduleArrival();
        this.scheduleSubmission();
    }

    getResult(): hardLoadResult.HardLoadResult {
        const hot = this.customers[this.hotCustomer]?.name;
        return hardLoadResult.createResult({
            requests: this.requests,
            hotFrom: HotFromMilliseconds,
            hotUntil: HotUntilMilliseconds,
            hotCustomer: this.options.hasHotCustomer === true ? hot : undefined,
            overLimit: this.overLimit,
            hotOverLimit: this.hotOverLimit,
            items: this.items,
            counts: this.counts,
            now: this.time.now(),
            work: [...this.engines].map(([id, engine]) => ({
                upstream: id,
                milliseconds: engine.workMilliseconds / (this.usualSpeeds.get(id) ?? 1),
            })),
            traffic: this.members.map(member => member.network.traffic),
        });
    }

    private isOver(): boolean {
        return this.time.now() >= this.seconds * 1_000;
    }

    private scheduleArrival(): void {
        const rates = [...this.customers.keys()].map(index => this.getRate(index));
        const total = rates.reduce((sum, rate) => sum + rate, 0);
        this.time.schedule(this.arrivals.nextExponential(1_000 / total), () => {
            if (this.isOver()) {
                return;
            }
            this.arrive(this.arrivals.pickWeighted(rates));
            this.scheduleArrival();
        });
    }

    private getRate(customer: number): number {
        const now = this.time.now();
        const wave = now % (LowMilliseconds + HighMilliseconds) < LowMilliseconds ? LowFactor : HighFactor;
        const isHot =
            this.options.hasHotCustomer === true &&
            customer === this.hotCustomer &&
            now >= HotFromMilliseconds &&
            now < HotUntilMilliseconds;
        return (this.customers[customer]?.requestsPerSecond ?? 0) * wave * (isHot ? HotFactor : 1);
    }

    private arrive(index: number): void {
        const customer = this.customers[index]!;
        const instance = customer.instances[this.arrivals.nextInteger(customer.instances.length)] ?? 0;
        if (this.options.enforcesLimits !== false && !customer.bucket.tryTake(this.time.now())) {
            this.overLimit++;
            this.hotOverLimit += index === this.hotCustomer ? 1 : 0;
            return;
        }
        const request: hardLoadOnline.OnlineRequest = {
            customer: customer.name,
            weight: customer.limit,
            arrivedAt: this.time.now(),
            firstEventAt: undefined,
            isRefused: false,
        };
        this.requests.push(request);
        void hardLoadOnline.serveOnline(this.time, this.onlineMembers[instance]!, this.engines, request);
    }

    private scheduleSubmission(): void {
        const gap = 1_000 / (SubmissionsPerEngine * this.engines.size);
        this.time.schedule(this.submissions.nextExponential(gap), () => {
            if (this.isOver()) {
                return;
            }
            const dueAt = this.time.now() + DueMilliseconds;
            const items = [...new Array(ItemsPerSubmission).keys()].map((): hardLoadBatch.BatchItem => ({
                dueAt,
                events: 0,
                finishedAt: undefined,
            }));
            this.items.push(...items);
            this.drivers[this.submissions.nextInteger(this.drivers.length)]?.add(items);
            this.scheduleSubmission();
        });
    }

    /** Gives a third of the engines each speed, in random order, and slows a random share of them in each interval. */
    private setSpeeds(source: random.Random): void {
        if (this.options.hasUnevenEngines !== true) {
            return;
        }
        const shuffled = [...this.engines.keys()]
            .map(id => ({ id, order: source.next() }))
            .sort((left, right) => left.order - right.order);
        shuffled.forEach(({ id }, index) => this.usualSpeeds.set(id, EngineSpeeds[index % EngineSpeeds.length]!));
        const draw = (): void => {
            for (const [id, engine] of this.engines) {
                const usual = this.usualSpeeds.get(id) ?? 1;
                engine.speed = source.next() < SlowShare ? usual / SlowFactor : usual;
            }
        };
        draw();
        this.time.repeat(SlowMilliseconds, draw);
    }
}

/** Sources of consecutive seeds start with similar numbers, therefore the seed is hashed. */
function createSource(seed: number, purpose: string): random.Random {
    return new random.Random(Math.floor(decisions.hashToUnit(`${seed}/${purpose}`) * 2 ** 31));
}

function createCustomers(requestsPerSecond: number, options: HardLoadOptions, instances: number): readonly Customer[] {
    const source = createSource(options.seed, "customers");
    const burstSeconds = options.burstSeconds ?? DefaultBurstSeconds;
    const weights = [...new Array(Customers).keys()].map(rank => (rank + 1) ** -ZipfExponent);
    const sum = weights.reduce((total, weight) => total + weight, 0);
    return weights.map((weight, index) => {
        const rate = (requestsPerSecond * weight) / sum;
        const limit = rate * LimitFactor;
        const callers = Math.ceil((instances * CallersPerInstance * weight) / sum);
        const bucketLimit = { requestsPerSecond: limit, burst: Math.max(MinimumBurst, limit * burstSeconds) };
        return {
            name: `customer-${index}`,
            requestsPerSecond: rate,
            limit,
            bucket: new customers.TokenBucket(bucketLimit, 0),
            instances: [...new Array(callers).keys()].map(() => source.nextInteger(instances)),
        };
    });
}
