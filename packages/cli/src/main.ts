#!/usr/bin/env node
import * as program from "./program.js";

// A closed pipe (`boragedale timeline | head`) is no error of ours.
process.stdout.on("error", () => process.exit(0));
process.exitCode = await program.run(process.argv);
