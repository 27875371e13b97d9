import * as cac from "cac";
import * as core from "@boragedale/core";
import type * as upstreams from "@boragedale/upstreams";
import * as engineModel from "./engineModel.js";
import * as engineStandin from "./engineStandin.js";
import type * as httpServer from "./httpServer.js";
import * as instanceListStandin from "./instanceListStandin.js";
import * as keyValueStandin from "./keyValueStandin.js";
import * as serviceStandin from "./serviceStandin.js";
import * as weightStoreStandin from "./weightStoreStandin.js";

/**
 * Runs one stand-in as a process: `npm run standins -- key-value --port 0`. Prints one line of JSON with the
 * stand-in's name and URL once it listens; stops on SIGTERM or SIGINT.
 */

interface Flags {
    readonly port: number;
    readonly models: string;
    readonly role: core.UpstreamRole;
    readonly slots: number;
    readonly baseStep: number;
    readonly perSequence: number;
    readonly prefill: number;
    readonly timeScale: number;
    readonly loadLag: number;
    readonly loadTime: number;
    readonly ignoreFencing: boolean;
    readonly weightStore?: string;
    readonly name: string;
    readonly deduplicate: boolean;
    readonly runTime: number;
    readonly downloadsPerSecond: number;
    readonly lag: number;
}

const CrashExitCode = 70;
const defaults = engineModel.DefaultEngineModelOptions;
const cli = cac.cac("standins");

cli.command("key-value", "key-value service with etcd v3's JSON gateway API")
    .option("--port <port>", "TCP port", { default: 0 })
    .action((flags: Flags) => run("key-value", keyValueStandin.createKeyValueStandin({ port: flags.port })));

cli.command("engine", "model engine")
    .option("--port <port>", "TCP port", { default: 0 })
    .option("--models <list>", "models loaded at startup, such as m@1,n@2", { default: "" })
    .option("--role <role>", "Online, Batch or Mixed", { default: core.UpstreamRole.Mixed })
    .option("--slots <count>", "maximum number of concurrent sequences", { default: defaults.slots })
    .option("--base-step <ms>", "duration of an empty step", { default: defaults.baseStepMilliseconds })
    .option("--per-sequence <ms>", "time that a sequence adds to a step", { default: defaults.sequenceMilliseconds })
    .option("--prefill <ms>", "time that an uncached prompt token adds to a step", {
        default: defaults.prefillMilliseconds,
    })
    .option("--time-scale <factor>", "factor on these times", { default: defaults.timeScale })
    .option("--load-lag <ms>", "age of the load report", { default: defaults.loadLagMilliseconds })
    .option("--load-time <ms>", "time to load a version", { default: 200 })
    .option("--ignore-fencing", "accept orders with outdated fencing numbers", { default: false })
    .option("--weight-store <url>", "base URL of the weight store")
    .action((flags: Flags) => run("engine", createEngine(flags)));

cli.command("service", "plain service that counts its runs")
    .option("--port <port>", "TCP port", { default: 0 })
    .option("--name <name>", "service name in its responses", { default: "service" })
    .option("--deduplicate", "run each idempotency key at most once", { default: false })
    .option("--run-time <ms>", "duration of a run", { default: 0 })
    .action((flags: Flags) => run("service", createService(flags)));

cli.command("weight-store", "weight store with a rate limit")
    .option("--port <port>", "TCP port", { default: 0 })
    .option("--downloads-per-second <count>", "downloads admitted per second, 429 for more; 0 for no limit", {
        default: 0,
    })
    .action((flags: Flags) => run("weight-store", weightStoreStandin.createWeightStoreStandin(flags)));

cli.command("instance-list", "instance list with delayed changes")
    .option("--port <port>", "TCP port", { default: 0 })
    .option("--lag <ms>", "delay until a change becomes visible", { default: 0 })
    .action((flags: Flags) => run("instance-list", createInstanceList(flags)));

cli.help();
cli.parse(process.argv, { run: false });
if (cli.matchedCommand === undefined) {
    cli.outputHelp();
    process.exitCode = 2;
}
else {
    await cli.runMatchedCommand();
}

async function run(name: string, starting: Promise<httpServer.Standin<unknown>>): Promise<void> {
    const standin = await starting;
    const stop = (): void => {
        void standin[Symbol.asyncDispose]().then(() => process.exit(0));
    };
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
    console.log(JSON.stringify({ standin: name, url: standin.url }));
}

function createEngine(flags: Flags): Promise<engineStandin.EngineStandin> {
    return engineStandin.createEngineStandin({
        port: flags.port,
        model: {
            slots: flags.slots,
            baseStepMilliseconds: flags.baseStep,
            sequenceMilliseconds: flags.perSequence,
            prefillMilliseconds: flags.prefill,
            timeScale: flags.timeScale,
            loadLagMilliseconds: flags.loadLag,
        },
        holdings: {
            models: parseModels(flags.models),
            role: flags.role,
            checksFencing: !flags.ignoreFencing,
            loadMilliseconds: flags.loadTime,
            weightStoreUrl: flags.weightStore,
        },
        onCrash: () => process.exit(CrashExitCode),
    });
}

function createService(flags: Flags): Promise<serviceStandin.ServiceStandin> {
    const { port, name, deduplicate, runTime } = flags;
    return serviceStandin.createServiceStandin({ port, name, deduplicates: deduplicate, runMilliseconds: runTime });
}

function createInstanceList(flags: Flags): Promise<instanceListStandin.InstanceListStandin> {
    return instanceListStandin.createInstanceListStandin({ port: flags.port, lagMilliseconds: flags.lag });
}

/** Parses a list such as `model@version,model@version`. */
function parseModels(list: string): readonly upstreams.HeldModel[] {
    const names = list.split(",").filter(name => name !== "");
    return names.map(name => {
        const [model = "", version = "1"] = name.split("@");
        return { model, version, adapters: [] };
    });
}
