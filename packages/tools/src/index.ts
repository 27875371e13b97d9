/** Development programs: test runner, demo, generators. */
export * from "./demo/report.js";
