import type * as core from "@boragedale/core";
import * as customers from "@boragedale/customers";
import * as gateway from "@boragedale/gateway";
import * as random from "../random.js";
import type * as simulation from "../simulation.js";
import * as simulatedNetwork from "../slots/simulatedNetwork.js";
import * as simulationClock from "../slots/simulationClock.js";
import * as quotaWays from "./quotaWays.js";

/** How instances hold a customer to its limit over all of them. */
export enum QuotaWay {
    /** Each gives out an even share of the limit. */
    Shares = "Shares",
    /** Each admits up to the whole limit and reports to the keeper, which tells all when a customer is at its limit. */
    Reports = "Reports",
    /** One instance keeps a customer's limit and is asked before each request. What is deployed. */
    Keeper = "Keeper",
}

export interface QuotaMember {
    readonly id: core.InstanceId;
    readonly network: simulatedNetwork.SimulatedNetwork;
    readonly directory: gateway.MemberDirectory;
    readonly claim: (customer: customers.Customer) => Promise<boolean>;
}

export interface QuotaFleet {
    readonly hub: simulatedNetwork.SimulatedHub;
    readonly members: QuotaMember[];
    /** What the members go by from now on: a change is known to all of them at once. */
    readonly setCustomers: (all: readonly customers.Customer[]) => void;
    /** The member that keeps a customer's limit, and those that do next. */
    readonly rankKeepers: (customer: string) => readonly core.InstanceId[];
    /** Ends a member as a kill does; the others list it until its lease has ended. */
    readonly kill: (member: QuotaMember) => void;
    /** Starts a member on another machine and lists it. */
    readonly add: () => QuotaMember;
    /** Starts the killed members again, as other lives of the same instances. */
    readonly restartKilled: () => void;
    /** Ends the leases of members that were killed. */
    readonly delistKilled: () => void;
}

export function createFleet(
    time: simulation.Simulation,
    way: QuotaWay,
    instanceCount: number,
    seed: number,
): QuotaFleet {
    const hub = new simulatedNetwork.SimulatedHub(new simulationClock.SimulationClock(time));
    let inForce = new customers.CustomerDirectory([]);
    const getCustomers = (): customers.CustomerDirectory => inForce;
    const members: QuotaMember[] = [];
    const listed = new Map<core.InstanceId, gateway.StoreEntry>();
    const killed: core.InstanceId[] = [];
    let revision = 0;
    let started = 0;
    const list = (entry: gateway.StoreEntry): void => {
        listed.set(entry.key, entry);
        members.forEach(member => member.directory.apply([entry]));
    };
    const start = (index: number, life: string): QuotaMember => {
        const id = gateway.createMemberId(`front-${index}`, life);
        const dataCentre = `centre-${index % 3}`;
        const self = { id, dataCentre, peerAddress: "127.0.0.1:1" };
        const member = createMember({ hub, way, getCustomers, self, seed: seed * 1_000 + index });
        member.directory.apply([...listed.values()]);
        members.push(member);
        // Links are opened as the members are listed; which are kept is not modelled: keepers are linked to all.
        hub.networks.forEach((network, peer) => (peer === id ? undefined : hub.link(id, peer)));
        const value = gateway.encodeMember(self);
        list({ key: gateway.MemberPrefix + id, revision: ++revision, value });
        return member;
    };
    const add = (): QuotaMember => start(started++, "0123abcd");
    for (let index = 0; index < instanceCount; index++) {
        add();
    }
    const kill = (member: QuotaMember): void => {
        hub.remove(member.id);
        members.splice(members.indexOf(member), 1);
        killed.push(member.id);
    };
    const delistKilled = (): void =>
        killed.splice(0).forEach(id => {
            list({ key: gateway.MemberPrefix + id, revision: ++revision, value: undefined });
        });
    const setCustomers = (all: readonly customers.Customer[]): void => {
        inForce = new customers.CustomerDirectory(all);
    };
    const restartKilled = (): void => killed.forEach(id => start(Number(/\d+/.exec(id)?.[0]), "4567cdef"));
    const rankKeepers = (customer: string): readonly core.InstanceId[] => {
        const [member] = members;
        return member === undefined ? [] : new gateway.QuotaOwners(member.directory).rank(customer);
    };
    return { hub, members, setCustomers, rankKeepers, kill, add, restartKilled, delistKilled };
}

interface MemberOptions {
    readonly hub: simulatedNetwork.SimulatedHub;
    readonly way: QuotaWay;
    readonly getCustomers: () => customers.CustomerDirectory;
    readonly self: gateway.Member;
    readonly seed: number;
}

function createMember({ hub, way, getCustomers, self, seed }: MemberOptions): QuotaMember {
    const network = hub.createNetwork(self.id);
    const directory = new gateway.MemberDirectory(self);
    const keepers = new gateway.QuotaOwners(directory);
    const { clock } = hub;
    const common = { id: self.id, network, directory };
    switch (way) {
        case QuotaWay.Shares: {
            const shares = new quotaWays.EvenShares(keepers, clock);
            return { ...common, claim: async customer => shares.claim(customer) };
        }
        case QuotaWay.Reports: {
            const reports = new quotaWays.Reports(self.id, keepers, network, clock);
            return { ...common, claim: async customer => reports.claim(customer) };
        }
        case QuotaWay.Keeper: {
            const source = new random.Random(seed);
            const quotas = new gateway.CustomerQuotas({
                self: self.id,
                owners: keepers,
                network,
                getCustomers,
                clock,
                terms: quotaWays.Terms,
                random: () => source.next(),
            });
            return { ...common, claim: async customer => (await quotas.claim(customer)).isGranted };
        }
    }
}
