#!/usr/bin/env node
// Isn't a build result, so that the package manager can link it before the sources are built.
await import("../dist/src/main.js");
