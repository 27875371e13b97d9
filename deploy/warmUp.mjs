import * as fileSystem from "node:fs";
import * as http from "node:http";
import * as os from "node:os";
import * as path from "node:path";
import * as platform from "@boragedale/platform";
import * as standins from "@boragedale/platform-standins";

/**
 * Runs a fleet of gateways within this process against stand-ins of the store and the engines, so that the code which a gateway runs
 * in its first seconds has been compiled when the bundler stores the compiled code. Without this, each start of each process parses
 * and compiles these functions again when they are first called.
 */

/** The smallest fleet in which coordinators grant slots: more than 15 other members. */
const GatewayCount = 17;
const EngineCount = 4;
const StreamsPerGateway = 3;
const ItemCount = 40;
const PollMilliseconds = 50;
/** Time for members to register, list each other and open their links. */
const LinkMilliseconds = 3_000;
const TimeoutMilliseconds = 30_000;
const StandardOutput = 1;

/** `startGateway` evaluates the bundle, which reads the role and the settings file from the process's arguments and environment. */
export async function warmUp(startGateway) {
    const folder = fileSystem.mkdtempSync(path.join(os.tmpdir(), "boragedale-bundle-"));
    const logged = interceptOutput();
    process.setMaxListeners(0);
    try {
        await Promise.race([
            serve(folder, startGateway, logged),
            sleep(TimeoutMilliseconds).then(() => Promise.reject(new Error("no result in time"))),
        ]);
    }
    finally {
        logged.restore();
        fileSystem.rmSync(folder, { recursive: true });
    }
}

async function serve(folder, startGateway, logged) {
    const store = await standins.startStoreServer();
    const customers = [{ name: "warm", keys: ["key"], requestsPerSecond: 1_000, burst: 1_000 }];
    standins.writeConfiguration(store.metadata, { version: 1, customers });
    for (let index = 0; index < EngineCount; index++) {
        const id = `engine-${index}`;
        const engine = await standins.startUpstreamServer({ id, events: 20, eventMilliseconds: 5, isEngine: true });
        standins.writeUpstream(store.metadata, id, "engines", engine.address);
    }
    const service = await standins.startUpstreamServer({
        id: "service",
        events: 0,
        eventMilliseconds: 5,
        isEngine: false,
    });
    standins.writeUpstream(store.metadata, "service", "services", service.address);
    for (let index = 0; index < GatewayCount; index++) {
        process.argv[2] = "gateway";
        process.env.BORAGEDALE_SETTINGS = writeSettings(folder, `gateway-${index}`, store.address);
        void startGateway();
    }
    while (logged.callers.size < GatewayCount) {
        await sleep(PollMilliseconds);
    }
    await sleep(LinkMilliseconds);
    const callers = [...logged.callers];
    const batch = submitAndRead(callers);
    for (let round = 0; round < StreamsPerGateway; round++) {
        const targets = ["/stream/x", "/once/x", "/safe/x"];
        await Promise.all(callers.flatMap(caller => targets.map(target => send(caller, target, `${caller}-${round}`))));
    }
    await batch;
}

function writeSettings(folder, instance, storeAddress) {
    const file = path.join(folder, `${instance}.json`);
    const settings = {
        instance,
        dataCentre: "a",
        storeAddress,
        callerAddress: "127.0.0.1:0",
        readinessAddress: "127.0.0.1:0",
        metricsAddress: "127.0.0.1:0",
        peerAddress: "127.0.0.1:0",
        peerKey: "key of the bundler",
    };
    fileSystem.writeFileSync(file, JSON.stringify(settings));
    return file;
}

async function submitAndRead(callers) {
    const items = [...new Array(ItemCount).keys()].map(index => ({
        Id: `item-${index}`,
        Path: "/batch/x",
        Headers: {},
        Body: Buffer.from("item").toString("base64"),
        Tokens: 20,
    }));
    await send(callers[0], "/batch/x", "submission", JSON.stringify({ Items: items }));
    let count = 0;
    while (count < ItemCount) {
        await sleep(PollMilliseconds);
        const text = await send(
            callers[1],
            `${platform.names.SubmissionPathPrefix}submission?After=0`,
            "read",
            undefined,
        );
        count = text.startsWith("{") ? (JSON.parse(text).Results?.length ?? 0) : 0;
    }
}

async function send(address, target, attempt, body = "prompt") {
    const headers = {
        Host: standins.DemoHost,
        Authorization: "Bearer key",
        [platform.names.AttemptIdHeader]: attempt,
        [platform.names.TimeoutHeader]: "5000",
    };
    return new Promise((resolve, reject) => {
        const method = attempt === "read" ? "GET" : "POST";
        const request = http.request(`http://${address}${target}`, { method, headers }, response => {
            let text = "";
            response.on("data", data => (text += data.toString()));
            response.on("end", () => resolve(text));
            response.on("error", reject);
        });
        request.on("error", reject);
        request.end(attempt === "read" ? undefined : body);
    });
}

/** Drops what the gateways log, apart from the addresses that they announce. */
function interceptOutput() {
    const callers = new Set();
    const { write } = fileSystem.default;
    fileSystem.default.write = (file, data, ...rest) => {
        if (file !== StandardOutput) {
            return write(file, data, ...rest);
        }
        for (const [, address] of String(data).matchAll(/"address":"([^"]+)"/g)) {
            callers.add(address);
        }
        process.nextTick(rest.at(-1), undefined, Buffer.byteLength(data));
        return undefined;
    };
    return { callers, restore: () => (fileSystem.default.write = write) };
}

async function sleep(milliseconds) {
    await new Promise(resolve => setTimeout(resolve, milliseconds));
}
