import type * as core from "@boragedale/core";

/**
 * Number of ids kept for each connection. A second copy of an answer arrives where the next answer on its connection is expected, so one
 * would do; the others allow for copies that are later.
 */
const IdsPerConnection = 4;

/**
 * The ids that were answered last on each open connection to an upstream. An id tells to which request an answer belongs, but not to which
 * of its sendings. A request must therefore not be sent again on a connection where a copy of an earlier answer to it may arrive: a
 * copy of a refusal would be taken for the proof that the later sending didn't run.
 */
export class RecentAnswers {
    private readonly ids = new Map<core.ClientConnection, string[]>();

    /** Call when the answer to a request has begun. */
    note(connection: core.ClientConnection, id: string): void {
        let ids = this.ids.get(connection);
        if (ids === undefined) {
            ids = [];
            this.ids.set(connection, ids);
            connection.onClose(() => this.ids.delete(connection));
        }
        ids.push(id);
        if (ids.length > IdsPerConnection) {
            ids.shift();
        }
    }

    has(id: string): boolean {
        for (const ids of this.ids.values()) {
            if (ids.includes(id)) {
                return true;
            }
        }
        return false;
    }
}
