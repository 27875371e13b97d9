import * as core from "@boragedale/core";
import * as entry from "@boragedale/entry";
import * as exitCodes from "./exitCodes.js";
import * as output from "./output.js";

/** `entry`: runs an entry instance. Returns after a stop signal, when the last request in progress has ended. */
export async function runEntry(flags: Readonly<Record<string, unknown>>): Promise<exitCodes.ExitCode> {
    const settings = entry.readEntrySettings(flags, process.env);
    if (!settings.ok) {
        settings.findings.forEach(finding => output.printError(core.formatFinding(finding)));
        return exitCodes.ExitCode.Usage;
    }
    await using instance = await entry.startInstance(settings.value);
    // Prints one line of JSON with the actual ports, so that the parent process knows them when port 0 was requested.
    process.stdout.write(JSON.stringify(instance.description) + "\n");
    const stop = (): void => instance.drain();
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
    await instance.waitUntilDrained();
    return exitCodes.ExitCode.Success;
}
