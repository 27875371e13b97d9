/** The ledger of non-idempotent calls, and batch jobs: submission, chunks, results and cancellation. */
export * from "./types.js";
export * from "./services.js";
export * from "./ledger.js";
export { getLedgerAssignment as getLedgerAssignment } from "./ledgerRouter.js";
export { createJobStore, KeyValueJobStore, type KeyValueJobStoreOptions } from "./jobStore.js";
export * from "./jobRunner.js";
export * from "./commitPacer.js";
export * from "./jobSelection.js";
export type { SpoolFiles } from "./resultSpool.js";
