import * as core from "@boragedale/core";
import * as eventLog from "./eventLog.js";
import * as gatewayProcess from "./gatewayProcess.js";
import * as settingsReader from "./settings.js";
import * as settingsKeeper from "./settingsKeeper.js";
import * as storageProcess from "./storageProcess.js";

/** What a process does; the first word of its command line. */
enum Role {
    Gateway = "gateway",
    Storage = "storage",
    /** Loads all modules and ends: the build keeps the code that this compiles. */
    Load = "load",
}

const UsageExitCode = 2;

if (process.argv[2] !== Role.Load) {
    await main(process.argv[2]);
}

async function main(role: string | undefined): Promise<void> {
    const settings = settingsReader.readSettings(process.env);
    if (!settings.ok) {
        settings.findings.forEach(finding => process.stderr.write(core.formatFinding(finding) + "\n"));
        process.exitCode = UsageExitCode;
        return;
    }
    const clock = new core.SystemClock();
    const stop = new Promise<void>(resolve => {
        process.once("SIGTERM", () => resolve());
        process.once("SIGINT", () => resolve());
    });
    await using log = new eventLog.EventLog(clock, settings.value.instance, settings.value.logLevel);
    await using keeper = new settingsKeeper.SettingsKeeper({
        file: core.Debug.checkDefined(process.env[settingsReader.SettingsVariable], "the settings were read from it"),
        initial: settings.value,
        onRead: (changed, findings) => log.noteReload(changed, findings),
    });
    process.on("SIGHUP", () => keeper.reload());
    switch (role) {
        case Role.Gateway:
            await gatewayProcess.runGatewayProcess({ getSettings: () => keeper.get(), clock, log, stop });
            break;
        case Role.Storage:
            await storageProcess.runStorageProcess(settings.value, clock, log, stop);
            break;
        default:
            process.stderr.write(`usage: boragedale-daemon ${Role.Gateway} | ${Role.Storage}\n`);
            process.exitCode = UsageExitCode;
            return;
    }
    // Timers of abandoned waits would keep the process; everything that has to end has ended.
    setImmediate(() => process.exit(0));
}
