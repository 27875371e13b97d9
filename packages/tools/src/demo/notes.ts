import * as fleet from "./fleet.js";

/** Creates the release notes that the demo publishes. They contain the addresses of the running processes. */

export function createFirstNote(running: Pick<fleet.Fleet, "engineUrls" | "bookingUrl">): string {
    const engines = running.engineUrls.map((url, index) => createEngine(url, index)).join("\n");
    return `weightStore:
    concurrentLoads: 2
policy:
    batchWeight: 0.5
    retentionMilliseconds: 86400000
    onlineDeadlineMilliseconds: 30000
    batchDeadlineMilliseconds: 3600000
    itemAttempts: 3
added:
    models:
        - id: kestrel
          version: "1.0"
          onlineFloor: 1
          batchFloor: 1
    upstreams:
${engines}
        - id: booking-1
          kind: Service
          url: ${running.bookingUrl}
          dataCentre: colombo-1
          concurrency: 32
    services:
        - id: bookings
          upstreams: [booking-1]
          routes:
              - method: POST
                path: /bookings
                safety: Askable
                askPath: /outcomes/{key}
    callers:
        - id: kandula
          tokenHash: ${fleet.getTokenHash()}
          weight: 1
`;
}

/** Creates the note that upgrades the model to a new version on all engines. */
export function createSecondNote(): string {
    return `changed:
    models:
        - id: kestrel
          version: "2.0"
`;
}

function createEngine(url: string, index: number): string {
    return `        - id: engine-${index + 1}
          kind: Engine
          url: ${url}
          dataCentre: ${index % 2 === 0 ? "colombo-1" : "colombo-2"}
          role: Mixed
          models: [kestrel]
          checksFencing: ${index % 2 === 0}
          concurrency: 16`;
}
