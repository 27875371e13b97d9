/** Order in which online requests that wait for a slot are served. */
export enum OnlineOrder {
    /** Requests join an engine's own queue and are served in order of arrival. */
    Arrival = "arrival",
    /** Requests wait at the engine's coordinator, and customers share the slots by weight. */
    Shares = "shares",
}

/** Whether placement considers how fast engines are. */
export enum EngineSpeeds {
    /** All engines count as equally fast. */
    Ignored = "ignored",
    /** Speeds are estimated from served requests. */
    Measured = "measured",
}

/** How many slots batch work leaves free for online requests. */
export enum BatchReserve {
    /** A constant number on each engine. */
    Fixed = "fixed",
    /** A number that follows the online demand of the last periods. */
    Demand = "demand",
}

/** The operators' choices of how requests compete for slots. They apply only in fleets whose coordinators grant slots. */
export interface LoadPolicy {
    readonly onlineOrder: OnlineOrder;
    readonly engineSpeeds: EngineSpeeds;
    readonly batchReserve: BatchReserve;
}

export const DefaultLoadPolicy: LoadPolicy = {
    onlineOrder: OnlineOrder.Arrival,
    engineSpeeds: EngineSpeeds.Ignored,
    batchReserve: BatchReserve.Fixed,
};
