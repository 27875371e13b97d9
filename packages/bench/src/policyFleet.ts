import * as fleets from "./fleet.js";
import * as policyInstance from "./policyInstance.js";
import type * as workload from "./workload.js";

const TickMilliseconds = 20;

/** A fleet whose instances run the decisions and exchange messages with a delay. */
export class PolicyFleet extends fleets.Fleet {
    private readonly instances: policyInstance.PolicyInstance[];

    constructor(context: fleets.RunContext) {
        super(context);
        const ids = Array.from(Array(context.scenario.instances).keys(), index => `instance-${index}`);
        this.instances = ids.map(
            id =>
                new policyInstance.PolicyInstance(
                    id,
                    ids,
                    context,
                    (to, deliver) => this.send(to, deliver),
                    arrival => this.resend(arrival),
                ),
        );
    }

    override start(): void {
        for (const instance of this.instances) {
            this.context.simulation.repeat(TickMilliseconds, () => instance.tick());
        }
    }

    override receive(arrival: workload.OnlineArrival): void {
        // The callers' load balancer checks the instances each second; it is modelled as avoiding a lost one at once.
        const live = this.instances.filter(instance => instance.isLive);
        live[Math.floor(arrival.balancerDraw * live.length)]?.receive(arrival);
    }

    override removeInstance(index: number, lagMilliseconds: number): void {
        const removed = this.instances[index]!;
        removed.stop();
        for (const instance of this.instances) {
            this.context.simulation.schedule(lagMilliseconds * this.context.random.next(), () =>
                instance.removeInstance(removed.id),
            );
        }
    }

    private send(to: string, deliver: (instance: policyInstance.PolicyInstance) => void): void {
        this.context.simulation.schedule(policyInstance.PeerDelayMilliseconds, () => {
            const instance = this.instances.find(candidate => candidate.id === to);
            if (instance?.isLive === true) {
                deliver(instance);
            }
        });
    }
}
