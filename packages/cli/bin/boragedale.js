#!/usr/bin/env node
// Stands in the repository so that the package manager can link it before the sources are built.
await import("../dist/src/main.js");
