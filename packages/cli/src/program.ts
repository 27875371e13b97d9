import * as fileSystem from "node:fs";
import * as cac from "cac";
import * as core from "@boragedale/core";
import * as entry from "@boragedale/entry";
import * as commandSettings from "./commandSettings.js";
import * as entryCommand from "./entryCommand.js";
import * as exitCodes from "./exitCodes.js";
import * as explainCommand from "./explainCommand.js";
import * as jobCommands from "./jobCommands.js";
import * as operatorCommands from "./operatorCommands.js";
import * as output from "./output.js";

type Flags = Readonly<Record<string, unknown>>;
type Action = () => Promise<exitCodes.ExitCode>;

/** Runs one command line and returns the exit code of the process. */
export async function run(argumentVector: readonly string[]): Promise<exitCodes.ExitCode> {
    const program = createProgram();
    try {
        program.parse([...argumentVector], { run: false });
        if (program.options["help"] === true || program.options["version"] === true) {
            return exitCodes.ExitCode.Success;
        }
        if (program.matchedCommand === undefined) {
            return reportUnknownCommand(program);
        }
        const action = program.runMatchedCommand() as Action | undefined;
        return (await action?.()) ?? exitCodes.ExitCode.Usage;
    }
    catch (error) {
        output.printError(error instanceof Error ? error.message : String(error));
        return exitCodes.ExitCode.Usage;
    }
}

function createProgram(): cac.CAC {
    const program = cac.cac("boragedale");
    addEntryCommand(program);
    addOperatorCommands(program);
    addJobCommands(program);
    program
        .command("explain <id> [...files]", "Show the log lines of all processes about a request, submission or item")
        .action(
            (id: string, files: readonly string[]): Action =>
                async () =>
                    explainCommand.runExplain(id, files),
        );
    program.version(getVersion());
    program.help();
    return program;
}

function reportUnknownCommand(program: cac.CAC): exitCodes.ExitCode {
    const name = program.args[0];
    if (name === undefined) {
        program.outputHelp();
        return exitCodes.ExitCode.Usage;
    }
    output.printError(core.messages.formatMessage(core.messages.CommandUnknown, name));
    return exitCodes.ExitCode.Usage;
}

function addEntryCommand(program: cac.CAC): void {
    const command = program.command("entry", "Run an entry instance until SIGTERM, then drain and stop");
    for (const setting of entry.EntrySettingDefinitions) {
        addOption(command, setting);
    }
    // cac passes flag names in camel case; settings are looked up by the name as written on the command line.
    command.action(
        (flags: Flags): Action =>
            () =>
                entryCommand.runEntry(restoreFlagNames(flags)),
    );
}

function addOperatorCommands(program: cac.CAC): void {
    addOperatorOptions(program.command("publish <file>", "Publish a release note"))
        .option("--replaces <generation>", "Generation that the note replaces; 0 for the first")
        .option("--author <name>", "Name in the history (default: the user's)")
        .action((file: string, flags: Flags): Action => {
            const replaces = Number(flags["replaces"]);
            if (!Number.isInteger(replaces) || replaces < 0) {
                throw new Error("--replaces needs the generation that the note replaces, as status shows it");
            }
            const author = flags["author"] === undefined ? undefined : String(flags["author"]);
            return () =>
                withOperatorContext(flags, context => operatorCommands.publish(context, file, replaces, author));
        });
    addOperatorOptions(program.command("check <file>", "Check a release note and show what it changes")).action(
        (file: string, flags: Flags): Action =>
            () =>
                withOperatorContext(flags, context => operatorCommands.check(context, file)),
    );
    addOperatorOptions(
        program.command("status", "Show whether the note is in force, and the progress of upstreams"),
    ).action(
        (flags: Flags): Action =>
            () =>
                withOperatorContext(flags, operatorCommands.status),
    );
    addOperatorOptions(program.command("history", "List the release notes")).action(
        (flags: Flags): Action =>
            () =>
                withOperatorContext(flags, operatorCommands.history),
    );
    addOperatorOptions(program.command("timeline", "Show the events of all instances in causal order"))
        .option("--request <id>", "Only events of this request")
        .option("--job <id>", "Only events of this job")
        .option("--upstream <id>", "Only events of this upstream")
        .option("--generation <number>", "Only events of this release note")
        .option("--number <number>", "Only events of this number")
        .action(
            (flags: Flags): Action =>
                () =>
                    withOperatorContext(flags, context =>
                        operatorCommands.timeline(context, createTimelineFilter(flags)),
                    ),
        );
}

function addJobCommands(program: cac.CAC): void {
    const command = program.command(
        "jobs <action> [argument]",
        "submit FILE | list | show ID | cancel ID | results ID",
    );
    for (const setting of commandSettings.CallerSettings) {
        addOption(command, setting);
    }
    command
        .option("--json", "Print JSON")
        .option("--key <text>", "submit: idempotency key; submitting again with the same key returns the same job")
        .option("--window <time>", "submit: time to complete, such as 24h, 30m or 90s")
        .option("--endpoint <path>", "submit: path of every item (default: /v1/chat/completions)")
        .option("--errors", "results: the error file instead of the output file")
        .action(
            (action: string, argument: string | undefined, flags: Flags): Action =>
                () =>
                    withCallerContext(flags, context => runJobAction(context, action, argument, flags)),
        );
}

async function runJobAction(
    context: jobCommands.CallerContext,
    action: string,
    argument: string | undefined,
    flags: Flags,
): Promise<exitCodes.ExitCode> {
    if (action === "list") {
        return jobCommands.list(context);
    }
    if (argument === undefined) {
        output.printError(`jobs ${action} needs an argument`);
        return exitCodes.ExitCode.Usage;
    }
    switch (action) {
        case "submit":
            return jobCommands.submit(context, argument, {
                key: flags["key"] === undefined ? undefined : String(flags["key"]),
                window: flags["window"] === undefined ? undefined : String(flags["window"]),
                endpoint: String(flags["endpoint"] ?? "/v1/chat/completions"),
            });
        case "show":
            return jobCommands.show(context, argument);
        case "cancel":
            return jobCommands.cancel(context, argument);
        case "results":
            return jobCommands.results(context, argument, flags["errors"] === true);
        default:
            output.printError(core.messages.formatMessage(core.messages.CommandUnknown, `jobs ${action}`));
            return exitCodes.ExitCode.Usage;
    }
}

function addOperatorOptions(command: ReturnType<cac.CAC["command"]>): ReturnType<cac.CAC["command"]> {
    for (const setting of commandSettings.OperatorSettings) {
        addOption(command, setting);
    }
    return command.option("--json", "Print JSON");
}

function addOption(
    command: ReturnType<cac.CAC["command"]>,
    setting: {
        readonly flag: string;
        readonly unit: string;
        readonly meaning: string;
        readonly default: string | undefined;
    },
): void {
    const variable = entry.getVariableName(setting.flag);
    const defaultText = setting.default === undefined ? "required" : `default: ${setting.default || "none"}`;
    command.option(`--${setting.flag} <${setting.unit}>`, `${setting.meaning} [${variable}; ${defaultText}]`);
}

async function withOperatorContext(
    flags: Flags,
    action: (context: operatorCommands.OperatorContext) => Promise<exitCodes.ExitCode>,
): Promise<exitCodes.ExitCode> {
    return withSettings(commandSettings.OperatorSettings, flags, values =>
        action({
            url: values.get("operator-url") ?? "",
            token: values.get("operator-token") ?? "",
            isJson: flags["json"] === true,
        }),
    );
}

async function withCallerContext(
    flags: Flags,
    action: (context: jobCommands.CallerContext) => Promise<exitCodes.ExitCode>,
): Promise<exitCodes.ExitCode> {
    return withSettings(commandSettings.CallerSettings, flags, values =>
        action({
            url: values.get("caller-url") ?? "",
            token: values.get("caller-token") ?? "",
            isJson: flags["json"] === true,
        }),
    );
}

async function withSettings(
    definitions: readonly commandSettings.CommandSettingDefinition[],
    flags: Flags,
    action: (values: ReadonlyMap<string, string>) => Promise<exitCodes.ExitCode>,
): Promise<exitCodes.ExitCode> {
    const checked = commandSettings.readCommandSettings(definitions, restoreFlagNames(flags), process.env);
    if (!checked.ok) {
        checked.findings.forEach(finding => output.printError(core.formatFinding(finding)));
        return exitCodes.ExitCode.Usage;
    }
    return action(checked.value);
}

function createTimelineFilter(flags: Flags): URLSearchParams {
    const names = ["request", "job", "upstream", "generation", "number"];
    const givenNames = names.filter(name => flags[name] !== undefined);
    return new URLSearchParams(Object.fromEntries(givenNames.map(name => [name, String(flags[name])])));
}

function restoreFlagNames(flags: Flags): Flags {
    const entries = Object.entries(flags).map(([name, value]) => [
        name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`),
        value,
    ]);
    return Object.fromEntries(entries) as Flags;
}

function getVersion(): string {
    const file = new URL("../../package.json", import.meta.url);
    return (JSON.parse(fileSystem.readFileSync(file, "utf8")) as { readonly version: string }).version;
}
