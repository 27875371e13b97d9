/** Programs for development: the test runner, the demos, the measurements and the generator. */
export * from "./demo/report.js";
