#!/usr/bin/env node
import * as program from "./program.js";

// Exits with success when the reader closes the pipe, as in `boragedale timeline | head`.
process.stdout.on("error", () => process.exit(0));
process.exitCode = await program.run(process.argv);
