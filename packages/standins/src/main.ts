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
 * Runs one stand-in as a process: `npm run standins -- key-value --port 0`. Prints one line of JSON, with the name and
 * the URL, once it listens; ends on SIGTERM or SIGINT.
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

cli.command("key-value", "key-value service, as etcd v3's JSON gateway")
    .option("--port <port>", "TCP port", { default: 0 })
    .action((flags: Flags) => run("key-value", keyValueStandin.createKeyValueStandin({ port: flags.port })));

cli.command("engine", "model engine")
    .option("--port <port>", "TCP port", { default: 0 })
    .option("--models <list>", "models held at the start, such as m@1,n@2", { default: "" })
    .option("--role <role>", "Online, Batch or Mixed", { default: core.UpstreamRole.Mixed })
    .option("--slots <count>", "sequences at once", { default: defaults.slots })
    .option("--base-step <ms>", "time of an empty step", { default: defaults.baseStepMilliseconds })
    .option("--per-sequence <ms>", "what a sequence adds to a step", { default: defaults.sequenceMilliseconds })
    .option("--prefill <ms>", "what a prompt token adds", { default: defaults.prefillMilliseconds })
    .option("--time-scale <factor>", "factor on these times", { default: defaults.timeScale })
    .option("--load-lag <ms>", "age of the load report", { default: defaults.loadLagMilliseconds })
    .option("--load-time <ms>", "time to load a version", { default: 200 })
    .option("--ignore-fencing", "obey orders with old fencing numbers", { default: false })
    .option("--weight-store <url>", "where weights are fetched")
    .action((flags: Flags) => run("engine", createEngine(flags)));

cli.command("service", "plain service that counts its runs")
    .option("--port <port>", "TCP port", { default: 0 })
    .option("--name <name>", "name in its answers", { default: "service" })
    .option("--deduplicate", "answer a key that ran without running", { default: false })
    .option("--run-time <ms>", "time that a run takes", { default: 0 })
    .action((flags: Flags) => run("service", createService(flags)));

cli.command("weight-store", "weight store with a rate limit")
    .option("--port <port>", "TCP port", { default: 0 })
    .option("--downloads-per-second <count>", "429 beyond; 0 for no limit", { default: 0 })
    .action((flags: Flags) => run("weight-store", weightStoreStandin.createWeightStoreStandin(flags)));

cli.command("instance-list", "instance list that lags")
    .option("--port <port>", "TCP port", { default: 0 })
    .option("--lag <ms>", "how long a change stays unseen", { default: 0 })
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

/** Reads `model@version,model@version`. */
function parseModels(list: string): readonly upstreams.HeldModel[] {
    const names = list.split(",").filter(name => name !== "");
    return names.map(name => {
        const [model = "", version = "1"] = name.split("@");
        return { model, version, adapters: [] };
    });
}
