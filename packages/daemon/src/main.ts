import * as core from "@boragedale/core";
import * as defects from "./defects.js";
import * as eventLog from "./eventLog.js";
import * as gatewayProcess from "./gatewayProcess.js";
import * as settingsReader from "./settings.js";
import * as settingsWatcher from "./settingsWatcher.js";
import * as stopSignals from "./stopSignals.js";
import * as storageProcess from "./storageProcess.js";

/** Role of the process, given as the first command-line argument. */
enum Role {
    Gateway = "gateway",
    Storage = "storage",
    /** Loads all modules and exits. The bundler uses this to create the cache of compiled code. */
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
    const stop = stopSignals.waitForStop(process);
    await using log = new eventLog.EventLog(clock, settings.value.instance, settings.value.logLevel);
    await using watcher = new settingsWatcher.SettingsWatcher({
        file: core.Debug.checkDefined(
            process.env[settingsReader.SettingsVariable],
            "the settings were read from the file that this variable names",
        ),
        initial: settings.value,
        onRead: (changed, findings) => log.recordReload(changed, findings),
    });
    process.on("SIGHUP", () => watcher.reload());
    defects.logUnhandledRejections(process, log);
    process.on("uncaughtExceptionMonitor", error => defects.writeFatalError(error, text => process.stderr.write(text)));
    switch (role) {
        case Role.Gateway:
            await gatewayProcess.runGatewayProcess({ getSettings: () => watcher.get(), clock, log, stop });
            break;
        case Role.Storage:
            await storageProcess.runStorageProcess(settings.value, clock, log, stop);
            break;
        default:
            process.stderr.write(`usage: boragedale-daemon ${Role.Gateway} | ${Role.Storage}\n`);
            process.exitCode = UsageExitCode;
            return;
    }
    // Pending timers of abandoned waits would keep the process alive, although the role has finished.
    setImmediate(() => process.exit(0));
}
